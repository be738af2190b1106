package fleet

import "time"

// State is what an endpoint said of itself last.
type State int

// States of an endpoint, in the only order in which one incarnation passes through them.
const (
	// Ready takes new work.
	Ready State = iota
	// Draining finishes what it has and takes nothing new.
	Draining
	// Gone has left, or its address has passed on to another endpoint.
	Gone
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	default:
		return "ready"
	}
}

// Endpoint is one incarnation of an endpoint as it was heard of last.
type Endpoint struct {
	ID string
	// Born tells incarnations of one id apart: the endpoint's start in Unix milliseconds, or zero if it was not told.
	Born int64
	// Sequence increases with each heartbeat of one incarnation.
	Sequence      int64
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	State         State
	// ColdUntil is the time at which its caches and code paths are warm; zero if it is warm.
	ColdUntil time.Time
	// GoneAt is the time at which a reclaimed endpoint ends, whatever it runs; zero if it was not told.
	GoneAt time.Time
	// Heard is the time of its last heartbeat.
	Heard time.Time
}

// Cold reports whether the endpoint is still cold.
func (e Endpoint) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// supersedes reports whether e says something newer of the endpoint id than old.
func (e Endpoint) supersedes(old Endpoint) bool {
	if e.Born != old.Born {
		return e.Born > old.Born
	}
	if e.State != old.State && (e.State == Gone || old.State == Gone) {
		return e.State == Gone
	}
	return e.Sequence > old.Sequence
}

// Gateway is a process of the system that serves callers.
type Gateway struct {
	Name string
	// Born is the process's start in Unix milliseconds.
	Born           int64
	CallerAddress  string
	LoadAddress    string
	ForwardAddress string
	FailureDomain  string
	Region         string
	Ready          bool
	// Lingering gateways are stopping, and still take what no other gateway of their region can.
	Lingering bool
	Heard     time.Time
}

// sameWord reports whether two records of one gateway tell other instances the same.
func (g Gateway) sameWord(other Gateway) bool {
	g.Heard, other.Heard = time.Time{}, time.Time{}
	return g == other
}
