package wire

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusreel/membership"
	"arbutusreel/wiregen"
)

// originID returns a 64-bit hash that identifies an incarnation of an origin.
func originID(origin string, incarnation int64) uint64 {
	return xxhash.Sum64String(origin + "\x00" + strconv.FormatInt(incarnation, 10))
}

// markIDBits is the length, in bits, of the hash that identifies an origin within one message.
const markIDBits = 14

// markID returns the identifier of an origin within the message with the salt.
func markID(salt, origin uint64) uint32 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], salt)
	binary.LittleEndian.PutUint64(b[8:], origin)
	return uint32(xxhash.Sum64(b[:]) >> (64 - markIDBits))
}

// EncodeMarks returns the message for the marks. The salt must differ between messages, so that two origins whose
// identifiers collide in one message do not collide in the next.
func EncodeMarks(salt uint64, marks []membership.Mark) *wiregen.ShareMarks {
	m := &wiregen.ShareMarks{Salt: salt}
	for _, mark := range marks {
		m.Ids = append(m.Ids, markID(salt, originID(mark.Origin, mark.Incarnation)))
		m.Versions = append(m.Versions, mark.Version)
		m.Beats = append(m.Beats, mark.Beat)
	}
	return m
}

// DecodeMarks returns the marks in the message whose origins are among the known ones, and their positions in the
// message.
//
// Because of hash collisions, an id may stand for an origin other than the sender meant. A delta computed from such a
// mark has no effect at the sender, and the heartbeat counters are protected by a checksum.
func DecodeMarks(m *wiregen.ShareMarks, known []membership.Mark) (marks []membership.Mark, positions map[string]int) {
	byID := map[uint32]int{}
	for i, id := range m.GetIds() {
		byID[id] = i
	}
	positions = map[string]int{}
	for _, k := range known {
		i, ok := byID[markID(m.GetSalt(), originID(k.Origin, k.Incarnation))]
		if !ok || i >= len(m.GetVersions()) || i >= len(m.GetBeats()) {
			continue
		}
		marks = append(marks, membership.Mark{Origin: k.Origin, Incarnation: k.Incarnation, Version: m.GetVersions()[i], Beat: m.GetBeats()[i]})
		positions[k.Origin] = i
	}
	return marks, positions
}

// EncodeBeats returns the message for the deltas that only raise the heartbeat counter of a mark in the request,
// and the remaining deltas. The message is nil if there are no such deltas.
func EncodeBeats(deltas []membership.Delta[membership.Fact], request *wiregen.ShareMarks, positions map[string]int) (*wiregen.ShareBeats, []membership.Delta[membership.Fact]) {
	m := &wiregen.ShareBeats{}
	var rest []membership.Delta[membership.Fact]
	var origins []uint64
	for _, d := range deltas {
		i, ok := positions[d.Mark.Origin]
		if !ok || d.Full || len(d.Items) > 0 || d.Mark.Beat <= request.GetBeats()[i] {
			rest = append(rest, d)
			continue
		}
		m.Positions = append(m.Positions, uint32(i))
		m.Rises = append(m.Rises, d.Mark.Beat-request.GetBeats()[i])
		origins = append(origins, originID(d.Mark.Origin, d.Mark.Incarnation))
	}
	if len(origins) == 0 {
		return nil, rest
	}
	m.Check = checksum(origins)
	return m, rest
}

// DecodeBeats returns the heartbeat counters received in answer to the requested marks as deltas. It returns nil if the
// checksum shows that the responder mistook the origin of a mark.
func DecodeBeats(m *wiregen.ShareBeats, requested []membership.Mark) []membership.Delta[membership.Fact] {
	var deltas []membership.Delta[membership.Fact]
	var origins []uint64
	for i, position := range m.GetPositions() {
		if int(position) >= len(requested) || i >= len(m.GetRises()) {
			return nil
		}
		mark := requested[position]
		origins = append(origins, originID(mark.Origin, mark.Incarnation))
		mark.Beat += m.GetRises()[i]
		deltas = append(deltas, membership.Delta[membership.Fact]{Mark: mark, Since: mark.Version})
	}
	if m.GetCheck() != checksum(origins) {
		return nil
	}
	return deltas
}

// checksum hashes the origins in their order.
func checksum(origins []uint64) uint64 {
	b := make([]byte, 0, 8*len(origins))
	for _, o := range origins {
		b = binary.LittleEndian.AppendUint64(b, o)
	}
	return xxhash.Sum64(b)
}

// EncodeDeltas returns the messages for the deltas. Load reports carry their age at the time now. A delta that builds
// on a known mark identifies its origin by its id.
func EncodeDeltas(now time.Time, deltas []membership.Delta[membership.Fact]) []*wiregen.ShareDelta {
	return mapAll(deltas, func(d membership.Delta[membership.Fact]) *wiregen.ShareDelta {
		m := &wiregen.ShareDelta{Version: d.Mark.Version, Beat: d.Mark.Beat, Since: d.Since, Full: d.Full}
		if d.Full {
			m.Origin, m.Incarnation = d.Mark.Origin, d.Mark.Incarnation
		} else {
			m.Id = originID(d.Mark.Origin, d.Mark.Incarnation)
		}
		for _, item := range d.Items {
			m.Items = append(m.Items, encodeItem(now, item))
		}
		return m
	})
}

func encodeItem(now time.Time, item membership.Item[membership.Fact]) *wiregen.ShareItem {
	m := &wiregen.ShareItem{Key: item.Key, Version: item.Version, Dropped: item.Dropped}
	switch f := item.Value; {
	case item.Dropped:
	case f.Endpoint != nil:
		m.Fact = &wiregen.ShareItem_Endpoint{Endpoint: EncodeAnnouncement(now, *f.Endpoint)}
	case f.Entry != nil:
		m.Fact = &wiregen.ShareItem_Entry{Entry: EncodeEntry(*f.Entry)}
	case f.Load != nil:
		m.Fact = &wiregen.ShareItem_Load{Load: &wiregen.EndpointLoad{Sequence: f.Load.Sequence, Load: encodeLoad(now, f.Load.Load)}}
	case f.Crashes != nil:
		m.Fact = &wiregen.ShareItem_Crashes{Crashes: EncodeCrashes(*f.Crashes)}
	case f.Summary != nil:
		m.Fact = &wiregen.ShareItem_Summary{Summary: EncodeSummaries(now, []membership.Summary{*f.Summary})[0]}
	}
	return m
}

// DecodeDeltas returns the deltas of messages received at the time now. It skips deltas whose origin is neither named
// nor known.
func DecodeDeltas(now time.Time, ms []*wiregen.ShareDelta, known []membership.Mark) []membership.Delta[membership.Fact] {
	origins := map[uint64]membership.Mark{}
	for _, k := range known {
		origins[originID(k.Origin, k.Incarnation)] = k
	}
	var deltas []membership.Delta[membership.Fact]
	for _, m := range ms {
		mark := membership.Mark{Origin: m.GetOrigin(), Incarnation: m.GetIncarnation()}
		if mark.Origin == "" {
			mark = origins[m.GetId()]
		}
		if mark.Origin == "" {
			continue
		}
		mark.Version, mark.Beat = m.GetVersion(), m.GetBeat()
		d := membership.Delta[membership.Fact]{Mark: mark, Since: m.GetSince(), Full: m.GetFull()}
		for _, item := range m.GetItems() {
			d.Items = append(d.Items, decodeItem(now, item))
		}
		deltas = append(deltas, d)
	}
	return deltas
}

// decodeItem returns an item; one with a malformed fact is marked as dropped.
func decodeItem(now time.Time, m *wiregen.ShareItem) membership.Item[membership.Fact] {
	item := membership.Item[membership.Fact]{Key: m.GetKey(), Version: m.GetVersion(), Dropped: m.GetDropped()}
	switch f := m.GetFact().(type) {
	case *wiregen.ShareItem_Endpoint:
		e, err := DecodeAnnouncement(now, f.Endpoint)
		item.Value.Endpoint = &e
		item.Dropped = err != nil
	case *wiregen.ShareItem_Load:
		item.Value.Load = &membership.EndpointLoad{Sequence: f.Load.GetSequence(), Load: decodeLoad(now, f.Load.GetLoad())}
		item.Dropped = checkLoad(f.Load.GetLoad()) != nil
	case *wiregen.ShareItem_Entry:
		e := decodeEntry(f.Entry)
		item.Value.Entry = &e
	case *wiregen.ShareItem_Summary:
		item.Value.Summary = &DecodeSummaries(now, []*wiregen.RegionSummary{f.Summary})[0]
	case *wiregen.ShareItem_Crashes:
		facts := DecodeCrashes(f.Crashes)
		item.Value.Crashes = &facts
	default:
		item.Dropped = true
	}
	return item
}
