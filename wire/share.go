package wire

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusreel/membership"
	"arbutusreel/wiregen"
)

// originID identifies an origin's start in few bytes.
func originID(origin string, incarnation int64) uint64 {
	return xxhash.Sum64String(origin + "\x00" + strconv.FormatInt(incarnation, 10))
}

// EncodeMarks returns the messages of the marks.
func EncodeMarks(marks []membership.Mark) []*wiregen.ShareMark {
	return mapAll(marks, func(m membership.Mark) *wiregen.ShareMark {
		return &wiregen.ShareMark{Id: originID(m.Origin, m.Incarnation), Version: m.Version, Beat: m.Beat}
	})
}

// DecodeMarks returns the marks of the messages whose origins are among the known ones; others are left out.
func DecodeMarks(ms []*wiregen.ShareMark, known []membership.Mark) []membership.Mark {
	origins := map[uint64]membership.Mark{}
	for _, k := range known {
		origins[originID(k.Origin, k.Incarnation)] = k
	}
	var marks []membership.Mark
	for _, m := range ms {
		if k, ok := origins[m.GetId()]; ok {
			marks = append(marks, membership.Mark{Origin: k.Origin, Incarnation: k.Incarnation, Version: m.GetVersion(), Beat: m.GetBeat()})
		}
	}
	return marks
}

// EncodeDeltas returns the messages of the deltas, whose loads are aged by now; a delta that follows on a mark names its origin by its id.
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
	case f.Summary != nil:
		m.Fact = &wiregen.ShareItem_Summary{Summary: EncodeSummaries(now, []membership.Summary{*f.Summary})[0]}
	}
	return m
}

// DecodeDeltas returns the deltas of the messages as heard now; one of an origin that is neither named nor known is left out.
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

// decodeItem returns an item; one whose fact is malformed counts as dropped.
func decodeItem(now time.Time, m *wiregen.ShareItem) membership.Item[membership.Fact] {
	item := membership.Item[membership.Fact]{Key: m.GetKey(), Version: m.GetVersion(), Dropped: m.GetDropped()}
	switch f := m.GetFact().(type) {
	case *wiregen.ShareItem_Endpoint:
		e, err := DecodeAnnouncement(now, f.Endpoint)
		item.Value.Endpoint = &e
		item.Dropped = err != nil
	case *wiregen.ShareItem_Entry:
		e := decodeEntry(f.Entry)
		item.Value.Entry = &e
	case *wiregen.ShareItem_Summary:
		item.Value.Summary = &DecodeSummaries(now, []*wiregen.RegionSummary{f.Summary})[0]
	default:
		item.Dropped = true
	}
	return item
}
