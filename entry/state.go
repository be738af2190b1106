package entry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"arbutusreel/dispatch"
	"arbutusreel/inventory"
	"arbutusreel/membership"
)

// state is what the instance knows; it is safe for concurrent use.
type state struct {
	mu        sync.Mutex
	region    string
	now       func() time.Time
	table     *membership.Table
	entries   *membership.Entries
	summaries map[string]membership.Summary
	inventory *inventory.Inventory
	revision  int64
	source    string
}

var _ dispatch.View = (*state)(nil)

func newState(region string, now func() time.Time) *state {
	return &state{
		region:    region,
		now:       now,
		table:     membership.NewTable(),
		entries:   membership.NewEntries(entryTTL),
		summaries: map[string]membership.Summary{},
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

// Endpoints returns the endpoints of the region.
func (s *state) Endpoints() []membership.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Endpoints(s.now())
}

func (s *state) announce(e membership.Endpoint, lease time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Announce(s.now(), e, lease)
}

func (s *state) lease(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Lease(s.now(), name)
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
	return s.entries.Live(s.now())
}

// Summaries returns what is known of the other regions, in the order of region and service.
func (s *state) Summaries() []membership.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	var summaries []membership.Summary
	for _, summary := range s.summaries {
		if s.now().Sub(summary.At) <= summaryTTL {
			summaries = append(summaries, summary)
		}
	}
	slices.SortFunc(summaries, func(a, b membership.Summary) int {
		return strings.Compare(a.Region+"/"+a.Service, b.Region+"/"+b.Service)
	})
	return summaries
}

// learn takes a summary of another region if it is newer than what is known.
func (s *state) learn(summary membership.Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := summary.Region + "/" + summary.Service
	if summary.Region != s.region && summary.At.After(s.summaries[k].At) {
		s.summaries[k] = summary
	}
}
