package fleet

import "time"

// State is the state that an endpoint last reported.
type State int

// States of an endpoint. An incarnation reports them in this order; the table enforces only that Gone is final.
const (
	// Ready endpoints take new requests.
	Ready State = iota
	// Draining endpoints finish the requests that they have and take no new ones.
	Draining
	// Gone endpoints have left, or another endpoint has taken their address.
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

// Endpoint is the last known state of one incarnation of an endpoint.
type Endpoint struct {
	ID string
	// Born identifies the incarnation: the endpoint's start in Unix milliseconds, or zero if it is unknown.
	Born int64
	// Sequence increases with each heartbeat of one incarnation.
	Sequence int64
	Service  string
	// Software is the version of the endpoint's software, not of its weights. Versions have no order.
	Software      string
	Address       string
	FailureDomain string
	Slots         int
	State         State
	// ColdUntil is the end of the warm-up of caches and code paths; zero if the endpoint is warm.
	ColdUntil time.Time
	// TerminatesAt is the time at which a reclaimed endpoint ends, even with requests running; zero if it is unknown.
	TerminatesAt time.Time
	// LastSeen is the time of the last heartbeat.
	LastSeen time.Time
}

// Cold reports whether the endpoint is still warming up.
func (e Endpoint) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// Described reports whether the record says more of the endpoint than that it has left.
func (e Endpoint) Described() bool { return e.Service != "" }

// DescribedBy returns e with the description of an earlier record of the same id if it has none.
func (e Endpoint) DescribedBy(old Endpoint) Endpoint {
	if e.Described() {
		return e
	}
	old.Born, old.Sequence, old.State, old.LastSeen = e.Born, e.Sequence, e.State, e.LastSeen
	return old
}

// Leaves reports whether the record says that an endpoint of unknown incarnation left.
func (e Endpoint) Leaves() bool { return e.State == Gone && e.Born == 0 }

// After returns the record of an endpoint after it left according to a record of unknown incarnation, unless it was seen later.
func (e Endpoint) After(departure Endpoint) Endpoint { return e.left(departure.LastSeen, 0) }

// left returns the record of an endpoint after the incarnation born left at a time, which is the known one if it is zero.
func (e Endpoint) left(at time.Time, born int64) Endpoint {
	if born != 0 && born < e.Born || born == 0 && e.LastSeen.After(at) {
		return e
	}
	e.Born, e.State, e.LastSeen = max(born, e.Born), Gone, at
	return e
}

// supersedes reports whether e is newer than old, a record of the same endpoint id.
func (e Endpoint) supersedes(old Endpoint) bool {
	if e.Born != old.Born {
		return e.Born > old.Born
	}
	if e.State != old.State && (e.State == Gone || old.State == Gone) {
		return e.State == Gone
	}
	return e.Sequence > old.Sequence
}

// Gateway is the last known state of a process that serves callers.
type Gateway struct {
	Name string
	// Born identifies the incarnation: the process's start in Unix milliseconds.
	Born int64
	// Sequence increases with each report of one incarnation.
	Sequence       int64
	CallerAddress  string
	LoadAddress    string
	ForwardAddress string
	FailureDomain  string
	Region         string
	Ready          bool
	// Lingering gateways are stopping, but still accept every request.
	Lingering bool
	// Closing gateways are stopping, and accept only requests that end before they do.
	Closing bool
	// Stranded gateways reach no endpoint of their region; they accept callers, and hand requests to other gateways.
	Stranded bool
	// Weight is the size of the gateway relative to others, or zero if it is not known.
	Weight float64
	// InFlight is the number of requests in progress at the last report.
	InFlight int
	// LastSeen is the time of the last report.
	LastSeen time.Time
}

// supersedes reports whether g replaces old, a record of the same gateway. Reports are ordered by their sequence and not by
// the time at which they were received: a report that came by way of other control daemons seems later than it is.
func (g Gateway) supersedes(old Gateway) bool {
	switch {
	case g.Born != old.Born:
		return g.Born > old.Born
	case g.Sequence != old.Sequence:
		return g.Sequence > old.Sequence
	default:
		return !g.LastSeen.Before(old.LastSeen)
	}
}

// sameState reports whether two records of one gateway differ at most in the number and time of the last report and the
// requests in progress, which change with almost every report.
func (g Gateway) sameState(other Gateway) bool {
	g.Sequence, other.Sequence = 0, 0
	g.LastSeen, other.LastSeen = time.Time{}, time.Time{}
	g.InFlight, other.InFlight = 0, 0
	return g == other
}
