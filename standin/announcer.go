package standin

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"arbutusreel/clock"
	"arbutusreel/directory"
	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// Announcing limits.
const (
	announceTimeout = 500 * time.Millisecond
	// announceFallback is the time to the next announcement if no entry took the last.
	announceFallback = 100 * time.Millisecond
	// announceEntries is how many entries are tried: one, and a fall-back if it does not answer.
	announceEntries   = 2
	announcesPerLease = 2
	leavingPeriod     = 100 * time.Millisecond
	// loadPeriods is in how many renewals at the least a load is told, and loadThreshold by which share it changes to be told at once.
	loadPeriods   = 4
	loadThreshold = 0.1
)

// announcer announces one endpoint to an entry of its region until stopped, or to the fall-back if that does not answer.
type announcer struct {
	directory *directory.Client
	region    string
	client    *http.Client
	describe  func() *wiregen.Announcement
	sequence  int64
	addresses []string
	lease     time.Duration
	// holder is the address of the entry that took the last announcement, or empty, and whole what it was told in whole.
	holder string
	whole  *wiregen.Announcement
	// load is the load that was told last, and loadAge how many renewals ago.
	load    *wiregen.LoadReport
	loadAge int
	// cacheSequence is the sequence of the next cache event that the holder expects.
	cacheSequence int64
}

// newAnnouncer returns an announcer of what describe returns.
func newAnnouncer(d *directory.Client, region string, describe func() *wiregen.Announcement) *announcer {
	return &announcer{directory: d, region: region, client: &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableCompression: true}}, describe: describe}
}

// run announces until ctx ends, and then as leaving until the notice has passed.
func (a *announcer) run(ctx context.Context, notice time.Duration) {
	for ctx.Err() == nil {
		a.announce(ctx, false)
		select {
		case <-ctx.Done():
		case <-time.After(a.period()):
		}
	}
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), notice)
	defer cancel()
	a.announce(context.WithoutCancel(ctx), true)
	for clock.Sleep(leaving, leavingPeriod) {
		a.announce(leaving, true)
	}
}

func (a *announcer) period() time.Duration {
	if a.lease <= 0 || a.holder == "" {
		return announceFallback
	}
	return a.lease / announcesPerLease
}

// announce renews what the holder knows, or tells all to it or another entry.
func (a *announcer) announce(ctx context.Context, leaving bool) {
	a.look(ctx)
	m := a.describe()
	a.sequence++
	m.Sequence = a.sequence
	m.Leaving = leaving
	silent := ""
	if len(a.addresses) > 0 && a.addresses[0] == a.holder && a.renews(m) {
		reply, ok := a.send(ctx, a.holder, a.renewal(m))
		if ok && !reply.GetWantsWhole() {
			a.told(m)
			return
		}
		if !ok {
			silent = a.holder
		}
		a.sequence++
		m.Sequence = a.sequence
	}
	a.tellWhole(ctx, m, silent)
}

// tellWhole tells all to the first entry that answers, without the one that was just found silent.
func (a *announcer) tellWhole(ctx context.Context, m *wiregen.Announcement, silent string) {
	a.holder = ""
	for _, address := range a.addresses {
		if address == silent {
			continue
		}
		reply, ok := a.send(ctx, address, m)
		if !ok {
			continue
		}
		a.lease = time.Duration(reply.GetLeaseMillis()) * time.Millisecond
		a.holder, a.whole, a.load = address, m, nil
		a.told(m)
		return
	}
}

// renews reports whether m says nothing that the last whole announcement did not say, beside load and cache events.
func (a *announcer) renews(m *wiregen.Announcement) bool {
	return !m.GetLeaving() && proto.Equal(lasting(m), lasting(a.whole))
}

// lasting returns what an announcement says beside what each renewal tells anew.
func lasting(m *wiregen.Announcement) *wiregen.Announcement {
	m = proto.CloneOf(m)
	m.Sequence, m.Load, m.CacheEvents, m.CacheSequence = 0, nil, nil, 0
	return m
}

// renewal returns the message that renews the last whole announcement.
func (a *announcer) renewal(m *wiregen.Announcement) *wiregen.Announcement {
	r := &wiregen.Announcement{Name: m.GetName(), Incarnation: m.GetIncarnation(), Sequence: m.GetSequence(), Renews: a.whole.GetSequence()}
	if a.loadAge+1 >= loadPeriods || loadDiffers(m.GetLoad(), a.load) {
		r.Load = m.GetLoad()
	}
	if len(m.GetCacheEvents()) > 0 || m.GetCacheSequence() != a.cacheSequence {
		r.CacheEvents, r.CacheSequence = m.GetCacheEvents(), m.GetCacheSequence()
	}
	return r
}

// told notes what the holder knows.
func (a *announcer) told(m *wiregen.Announcement) {
	a.cacheSequence = m.GetCacheSequence() + int64(len(m.GetCacheEvents()))
	a.loadAge++
	if a.load == nil || a.loadAge >= loadPeriods || loadDiffers(m.GetLoad(), a.load) {
		a.load, a.loadAge = m.GetLoad(), 0
	}
}

// loadDiffers reports whether a load is to be told in place of one that was told.
func loadDiffers(m, told *wiregen.LoadReport) bool {
	if m.GetAgeMillis() > 0 || told.GetAgeMillis() > 0 {
		return true
	}
	return differs(float64(m.GetRunning()), float64(told.GetRunning())) || differs(float64(m.GetQueued()), float64(told.GetQueued())) ||
		differs(float64(m.GetQueuedTokens()), float64(told.GetQueuedTokens())) || differs(m.GetTokensPerSecond(), told.GetTokensPerSecond()) ||
		differs(m.GetPrefillTokensPerSecond(), told.GetPrefillTokensPerSecond()) || differs(m.GetCacheUse(), told.GetCacheUse())
}

func differs(a, b float64) bool { return math.Abs(a-b) > loadThreshold*max(a, b) }

// look reads the entries of the region from the directory; the last known ones are kept if it gives no answer.
func (a *announcer) look(ctx context.Context) {
	entries, err := a.directory.Entries(ctx)
	if err != nil {
		return
	}
	var addresses []string
	for _, e := range entries {
		if e.Region == a.region {
			addresses = append(addresses, e.EndpointAddress)
		}
	}
	if len(addresses) > 0 {
		a.addresses = membership.Rendezvous(a.describe().GetName(), addresses, announceEntries)
	}
}

// send posts a message and reports whether the entry took it; a renewal that was taken has an empty reply.
func (a *announcer) send(ctx context.Context, address string, m *wiregen.Announcement) (*wiregen.AnnouncementReply, bool) {
	body, err := protojson.Marshal(m)
	if err != nil {
		return nil, false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/announcements", bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	req.Header.Set("User-Agent", "")
	resp, err := a.client.Do(req)
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	reply := &wiregen.AnnouncementReply{}
	switch {
	case err != nil:
		return nil, false
	case resp.StatusCode == http.StatusNoContent:
		return reply, true
	default:
		return reply, resp.StatusCode == http.StatusOK && wire.DecodeJSON(b, reply) == nil
	}
}
