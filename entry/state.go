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
	view      []membership.Endpoint
	viewAt    time.Time
	inventory *inventory.Inventory
	revision  int64
	source    string
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

// lease returns what is left of an endpoint's lease; that of one that announces itself elsewhere lasts as long as its entry is believed.
func (s *state) lease(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease := s.table.Lease(s.now(), name); lease > 0 {
		return lease
	}
	return ttl(s.facts.local)
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
	return s.liveNow(s.now())
}

// liveNow returns the live entries; the lock is held.
func (s *state) liveNow(now time.Time) []membership.Entry {
	_, entries, _ := s.facts.believed(now)
	return membership.NewestEntries(append(entries, s.entries.Live(now)...))
}

// Summaries returns what is known of the other regions, in the order of region and service.
func (s *state) Summaries() []membership.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	_, _, summaries := s.facts.believed(now)
	limit := max(summaryTTL, summaryAges*s.summaryPeriod(now))
	return slices.DeleteFunc(membership.NewestSummaries(summaries), func(summary membership.Summary) bool {
		return summary.Region == s.region || now.Sub(summary.At) > limit
	})
}

// marks returns how far each origin is known; without global marks nothing that all regions tell is asked for.
func (s *state) marks() (local, global []membership.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.tellsGlobal(s.now()) {
		return s.facts.local.Marks(), nil
	}
	return s.facts.local.Marks(), s.facts.global.Marks()
}

// missing returns what the sender of a request does not know.
func (s *state) missing(m *wiregen.ExchangeRequest) (local, global []membership.Delta[membership.Fact]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	localMarks, globalMarks := s.facts.local.Marks(), s.facts.global.Marks()
	local = s.facts.local.Missing(wire.DecodeMarks(m.GetLocal(), localMarks))
	if len(m.GetGlobal()) == 0 {
		return local, nil
	}
	global = s.facts.global.Missing(wire.DecodeMarks(m.GetGlobal(), globalMarks))
	return local, global
}

// learn takes what a peer told.
func (s *state) learn(m *wiregen.ExchangeReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.facts.local.Learn(now, wire.DecodeDeltas(now, m.GetLocal(), s.facts.local.Marks()))
	s.facts.global.Learn(now, wire.DecodeDeltas(now, m.GetGlobal(), s.facts.global.Marks()))
	s.facts.local.Forget(now, ttl(s.facts.local))
	s.facts.global.Forget(now, ttl(s.facts.global))
	s.viewAt = time.Time{}
}
