package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"arbutusreel/configuration"
	"arbutusreel/inventory"
	"arbutusreel/problem"
)

// Current is the inventory in force; Changed is closed when a newer one is.
type Current struct {
	Inventory *inventory.Inventory
	Revision  int64
	Changed   <-chan struct{}
}

// Store holds the accepted configuration.
type Store interface {
	// Propose decides a change; a failure is a *problem.Problem.
	Propose(ctx context.Context, c configuration.Change) (configuration.Answer, error)
	// Current returns the inventory in force.
	Current() Current
	// Leader returns the name of the leader and its term, or "" if none is known.
	Leader() (string, int64)
	Leadership
}

// memoryStore is the store of a single voter without a quorum.
type memoryStore struct {
	mu      sync.Mutex
	name    string
	leader  string
	state   *configuration.State
	changed chan struct{}
}

var _ Store = (*memoryStore)(nil)

func newMemoryStore(name, leader string) *memoryStore {
	return &memoryStore{name: name, leader: leader, state: configuration.NewState(), changed: make(chan struct{})}
}

// Propose decides a change at once.
func (s *memoryStore) Propose(_ context.Context, c configuration.Change) (configuration.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.name != s.leader {
		return configuration.Answer{}, problem.New(problem.QuorumUnavailable, http.StatusMisdirectedRequest, "voter %q is not the leader; the leader is %q", s.name, s.leader)
	}
	before := s.state.Revision()
	answer := s.state.Apply(c)
	if s.state.Revision() > before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return answer, nil
}

// Current returns the inventory in force.
func (s *memoryStore) Current() Current {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Current{Inventory: s.state.Inventory(), Revision: s.state.Revision(), Changed: s.changed}
}

// Leader returns the leader.
func (s *memoryStore) Leader() (string, int64) { return s.leader, 1 }

// memoryLease is the length of the lease of a single voter.
const memoryLease = time.Second

// Lease returns a lease that a single leader renews at each call.
func (s *memoryStore) Lease(now time.Time) (term int64, end time.Time, ok bool) {
	return 1, now.Add(memoryLease), s.name == s.leader
}
