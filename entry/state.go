package entry

import (
	"slices"
	"sync"
	"time"

	"arbutusreel/crash"
	"arbutusreel/dispatch"
	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// viewPeriod is how long a computed list of endpoints or entries is reused.
const viewPeriod = 20 * time.Millisecond

// summaryTTLPeriods is the number of periods for which a summary is used.
const summaryTTLPeriods = 3

// state is the instance's view of the system; it is safe for concurrent use.
type state struct {
	mu      sync.Mutex
	region  string
	now     func() time.Time
	table   *membership.Table
	entries *membership.Entries
	gossip  *gossipState
	// endpointView holds the endpoints as of endpointViewAt.
	endpointView   []membership.Endpoint
	endpointViewAt time.Time
	// entryView holds the live entries as of entryViewAt.
	entryView   []membership.Entry
	entryViewAt time.Time
	inventory   *inventory.Inventory
	revision    int64
	source      string
	// crashFacts is what this instance knows about crashes of endpoints, at crashRevision.
	crashFacts    crash.Facts
	crashRevision int
}

var _ dispatch.View = (*state)(nil)

func newState(self membership.Entry, now func() time.Time) *state {
	return &state{
		region:  self.Region,
		now:     now,
		table:   membership.NewTable(),
		entries: membership.NewEntries(entryTTL),
		gossip:  newGossipState(now(), self),
	}
}

// Inventory returns the inventory in force and its revision.
func (s *state) Inventory() (*inventory.Inventory, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inventory, s.revision
}

// adopt puts an inventory in force if its revision is higher than the current one, and reports whether it did.
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

// Endpoints returns the endpoints of the region; the caller must not modify the slice.
func (s *state) Endpoints() []membership.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpointsNow(s.now())
}

// endpointsNow returns the endpoints that announce themselves at this instance or at a live entry of the region; the
// lock is held.
func (s *state) endpointsNow(now time.Time) []membership.Endpoint {
	if s.endpointViewAt.IsZero() || now.Sub(s.endpointViewAt) >= viewPeriod || now.Before(s.endpointViewAt) {
		endpoints, _, _ := s.gossip.liveFacts(now)
		s.endpointView = membership.NewestEndpoints(append(endpoints, s.table.Endpoints(now)...))
		s.endpointViewAt = now
	}
	return s.endpointView
}

func (s *state) announce(e membership.Endpoint, lease time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpointViewAt = time.Time{}
	return s.table.Announce(s.now(), e, lease)
}

// renew renews an endpoint's lease. It reports whether this instance holds the full announcement to which the renewal
// refers.
func (s *state) renew(r membership.Renewal, lease time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpointViewAt = time.Time{}
	return s.table.Renew(s.now(), r, lease)
}

// lease returns the remaining time of an endpoint's lease. If the endpoint announces itself at another entry, it
// returns how long that entry is considered live.
func (s *state) lease(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease := s.table.Lease(s.now(), name); lease > 0 {
		return lease
	}
	return s.gossip.localTTL()
}

func (s *state) expire() []membership.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Expire(s.now())
}

func (s *state) updateEntry(e membership.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.Update(s.now(), e)
}

// live returns the entries that are considered live.
func (s *state) live() []membership.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.liveNow(s.now()))
}

// liveNow returns the live entries, which the caller must not modify; the lock is held.
func (s *state) liveNow(now time.Time) []membership.Entry {
	if s.entryViewAt.IsZero() || now.Sub(s.entryViewAt) >= viewPeriod || now.Before(s.entryViewAt) {
		_, entries, _ := s.gossip.liveFacts(now)
		s.entryView = membership.NewestEntries(append(entries, s.entries.Live(now)...))
		s.entryViewAt = now
	}
	return s.entryView
}

// Summaries returns the known summaries of the other regions, ordered by region and service.
func (s *state) Summaries() []membership.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	_, _, summaries := s.gossip.liveFacts(now)
	limit := max(summaryTTL, summaryTTLPeriods*s.summaryPeriod(now))
	if s.gossip.slowExchange {
		// A summary must stay valid until the gateway's standby takes over and reports a new one.
		limit = summaryTTLPeriods * slowSummaryPeriod
	}
	return slices.DeleteFunc(membership.NewestSummaries(summaries), func(summary membership.Summary) bool {
		return summary.Region == s.region || now.Sub(summary.At) > limit
	})
}

// marks returns the known version of each origin, for the state that is requested from the partner.
func (s *state) marks(p partner) exchangeMarks {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var a exchangeMarks
	if p.local {
		a.local = s.gossip.local.Marks(now, s.gossip.localTTL())
	}
	if p.global {
		a.global = s.gossip.global.Marks(now, s.gossip.globalTTL())
	}
	return a
}

// addMissing adds the state that the sender of a request lacks to the reply; local state is sent within the region
// only.
func (s *state) addMissing(m *wiregen.ExchangeRequest, reply *wiregen.ExchangeReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !m.GetWithoutLocal() && m.GetRegion() == s.region {
		reply.UnknownSender = !slices.Contains(s.gossip.local.Live(now, s.gossip.localTTL()), m.GetSender())
		reply.LocalBeats, reply.Local = encodeDeltas(now, s.gossip.local, s.gossip.localTTL(), m.GetLocal())
	}
	if !m.GetWithoutGlobal() {
		reply.GlobalBeats, reply.Global = encodeDeltas(now, s.gossip.global, s.gossip.globalTTL(), m.GetGlobal())
	}
}

func encodeDeltas(now time.Time, gossip *membership.Gossip[membership.Fact], ttl time.Duration, m *wiregen.ShareMarks) (*wiregen.ShareBeats, []*wiregen.ShareDelta) {
	marks, positions := wire.DecodeMarks(m, gossip.Marks(now, ttl))
	beats, deltas := wire.EncodeBeats(gossip.DeltasSince(now, ttl, marks), m, positions)
	return beats, wire.EncodeDeltas(now, deltas)
}

// applyReply merges a peer's reply to a request with these marks.
func (s *state) applyReply(marks exchangeMarks, m *wiregen.ExchangeReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if m.GetUnknownSender() {
		s.gossip.advertPeriodsLeft = advertPeriods
	}
	applyDeltas(now, s.gossip.local, s.gossip.localTTL(), marks.local, m.GetLocalBeats(), m.GetLocal())
	applyDeltas(now, s.gossip.global, s.gossip.globalTTL(), marks.global, m.GetGlobalBeats(), m.GetGlobal())
	s.endpointViewAt = time.Time{}
}

func applyDeltas(now time.Time, gossip *membership.Gossip[membership.Fact], ttl time.Duration, marks []membership.Mark, beats *wiregen.ShareBeats, deltas []*wiregen.ShareDelta) {
	gossip.Apply(now, wire.DecodeBeats(beats, marks))
	gossip.Apply(now, wire.DecodeDeltas(now, deltas, gossip.Marks(now, ttl)))
	gossip.DeleteExpired(now, ttl)
}
