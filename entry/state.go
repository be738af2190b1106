package entry

import (
	"slices"
	"sync"
	"time"

	"arbutusreel/dispatch"
	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// viewPeriod is how long a list of endpoints is used again.
const viewPeriod = 20 * time.Millisecond

// summaryAges is how many periods a summary is used for.
const summaryAges = 3

// state is what the instance knows; it is safe for concurrent use.
type state struct {
	mu      sync.Mutex
	region  string
	now     func() time.Time
	table   *membership.Table
	entries *membership.Entries
	facts   *facts
	// view holds the endpoints as of viewAt.
	view   []membership.Endpoint
	viewAt time.Time
	// entryView holds the live entries as of entryViewAt.
	entryView   []membership.Entry
	entryViewAt time.Time
	inventory   *inventory.Inventory
	revision    int64
	source      string
}

var _ dispatch.View = (*state)(nil)

func newState(self membership.Entry, now func() time.Time) *state {
	return &state{
		region:  self.Region,
		now:     now,
		table:   membership.NewTable(),
		entries: membership.NewEntries(entryTTL),
		facts:   newFacts(now(), self),
	}
}

// Inventory returns the inventory in force and its revision.
func (s *state) Inventory() (*inventory.Inventory, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inventory, s.revision
}

// adopt takes an inventory into force if its revision is higher, and reports whether it did.
func (s *state) adopt(inv *inventory.Inventory, revision int64, source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.revision {
		return false
	}
	s.inventory = inv
	s.revision = revision
	s.source = source
	return true
}

// Endpoints returns the endpoints of the region; the caller does not change the list.
func (s *state) Endpoints() []membership.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpointsNow(s.now())
}

// endpointsNow returns the endpoints that announce themselves here or at a live entry of the region; the lock is held.
func (s *state) endpointsNow(now time.Time) []membership.Endpoint {
	if s.viewAt.IsZero() || now.Sub(s.viewAt) >= viewPeriod || now.Before(s.viewAt) {
		endpoints, _, _ := s.facts.believed(now)
		s.view = membership.NewestEndpoints(append(endpoints, s.table.Endpoints(now)...))
		s.viewAt = now
	}
	return s.view
}

func (s *state) announce(e membership.Endpoint, lease time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.viewAt = time.Time{}
	return s.table.Announce(s.now(), e, lease)
}

// renew renews an endpoint's lease and reports whether the instance holds the whole announcement that is renewed.
func (s *state) renew(r membership.Renewal, lease time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.viewAt = time.Time{}
	return s.table.Renew(s.now(), r, lease)
}

// lease returns what is left of an endpoint's lease; that of one that announces itself elsewhere lasts as long as its entry is believed.
func (s *state) lease(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease := s.table.Lease(s.now(), name); lease > 0 {
		return lease
	}
	return s.facts.localTTL()
}

func (s *state) expire() []membership.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Expire(s.now())
}

func (s *state) hear(e membership.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.Hear(s.now(), e)
}

// live returns the entries that were heard of lately.
func (s *state) live() []membership.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.liveNow(s.now()))
}

// liveNow returns the live entries, which the caller does not change; the lock is held.
func (s *state) liveNow(now time.Time) []membership.Entry {
	if s.entryViewAt.IsZero() || now.Sub(s.entryViewAt) >= viewPeriod || now.Before(s.entryViewAt) {
		_, entries, _ := s.facts.believed(now)
		s.entryView = membership.NewestEntries(append(entries, s.entries.Live(now)...))
		s.entryViewAt = now
	}
	return s.entryView
}

// Summaries returns what is known of the other regions, in the order of region and service.
func (s *state) Summaries() []membership.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	_, _, summaries := s.facts.believed(now)
	limit := max(summaryTTL, summaryAges*s.summaryPeriod(now))
	if s.facts.slow {
		// A summary is used until the standby of its gateway tells another.
		limit = summaryAges * slowSummaryPeriod
	}
	return slices.DeleteFunc(membership.NewestSummaries(summaries), func(summary membership.Summary) bool {
		return summary.Region == s.region || now.Sub(summary.At) > limit
	})
}

// marks returns how far each origin is known, of what the partner is asked for.
func (s *state) marks(p partner) asked {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var a asked
	if p.local {
		a.local = s.facts.local.Marks(now, s.facts.localTTL())
	}
	if p.global {
		a.global = s.facts.global.Marks(now, s.facts.globalTTL())
	}
	return a
}

// answer adds to a reply what the sender of a request does not know; what entries of the region tell is for the region alone.
func (s *state) answer(m *wiregen.ExchangeRequest, reply *wiregen.ExchangeReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !m.GetWithoutLocal() && m.GetRegion() == s.region {
		reply.UnknownSender = !slices.Contains(s.facts.local.Live(now, s.facts.localTTL()), m.GetSender())
		reply.LocalBeats, reply.Local = missing(now, s.facts.local, s.facts.localTTL(), m.GetLocal())
	}
	if !m.GetWithoutGlobal() {
		reply.GlobalBeats, reply.Global = missing(now, s.facts.global, s.facts.globalTTL(), m.GetGlobal())
	}
}

func missing(now time.Time, share *membership.Share[membership.Fact], ttl time.Duration, m *wiregen.ShareMarks) (*wiregen.ShareBeats, []*wiregen.ShareDelta) {
	marks, positions := wire.DecodeMarks(m, share.Marks(now, ttl))
	beats, deltas := wire.EncodeBeats(share.Missing(now, ttl, marks), m, positions)
	return beats, wire.EncodeDeltas(now, deltas)
}

// learn takes what a peer answered to the marks.
func (s *state) learn(a asked, m *wiregen.ExchangeReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if m.GetUnknownSender() {
		s.facts.adverts = advertPeriods
	}
	learn(now, s.facts.local, s.facts.localTTL(), a.local, m.GetLocalBeats(), m.GetLocal())
	learn(now, s.facts.global, s.facts.globalTTL(), a.global, m.GetGlobalBeats(), m.GetGlobal())
	s.viewAt = time.Time{}
}

func learn(now time.Time, share *membership.Share[membership.Fact], ttl time.Duration, marks []membership.Mark, beats *wiregen.ShareBeats, deltas []*wiregen.ShareDelta) {
	share.Learn(now, wire.DecodeBeats(beats, marks))
	share.Learn(now, wire.DecodeDeltas(now, deltas, share.Marks(now, ttl)))
	share.Forget(now, ttl)
}
