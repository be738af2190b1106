package fairness

import (
	"time"
)

const (
	// sharesPeriod is the interval at which shares are computed anew, so that a decision only looks them up.
	sharesPeriod = 100 * time.Millisecond
	// peerTTL is the age after which the usage reported by a gateway no longer counts; whole reports come once a second.
	peerTTL = 3 * time.Second
	// tolerance is the part by which a team may exceed its share, or stay below it, before that counts: shares are computed from
	// reports that are some hundred milliseconds old.
	tolerance = 0.1
	// returnedShare is the multiple of its share up to which a team's callers that were refused before are admitted. The bound keeps a
	// team whose callers repeat at once from taking the shares of others.
	returnedShare = 1.5
	// minTokens is the usage below which a team is forgotten.
	minTokens = 1
	// maxReported is the number of entries in one report over all services; the usage of all other teams is one sum for each service.
	maxReported = 64
	// shortWaitShare is the share of the objective above which the expected wait makes a service without engines short of capacity.
	shortWaitShare = 0.5
	// idleWaitShare is the share up to which the reported wait of another region may be for it to be offered what others go before here.
	// It is half of shortWaitShare, as the waits of a region that is short vary about that, and reports are some 300 ms old.
	idleWaitShare = 0.25
)

// Request is a request that a region may admit.
type Request struct {
	Team     string
	Priority int
	// Kind is the name of the route, and Urgency its priority.
	Kind    string
	Urgency int
	Tokens  float64
}

// Room describes the capacity for a request.
type Room struct {
	// Short reports that the request would not begin in time, or that its endpoint is crowded.
	Short bool
	// Engines reports whether the service has engines, which serve by urgency, and Late that the request would not be on time.
	Engines, Late bool
	// Wait is the expected time until the answer begins, and Needed that until it ends; Objective is the route's for the former.
	Wait, Needed, Objective time.Duration
	// Excess is the time by which the wait exceeds what is on time, and TimeLeft that until the caller's deadline.
	Excess, TimeLeft time.Duration
	// Returned reports that the caller was refused before; a second refusal is final for it.
	Returned bool
	// Draw is a random number in [0, 1).
	Draw float64
}

// Short reports whether a service is short of capacity for a request that is expected to wait for a time until its answer begins.
// Requests to endpoints with engines are late or full. Endpoints without engines have queues, so that one without a free slot is not
// short while the wait is well within the objective.
func Short(engines, late, full bool, wait, objective time.Duration) bool {
	if engines {
		return late || full
	}
	return wait > time.Duration(shortWaitShare*float64(objective))
}

// MayLeave reports whether a request that is refused as its team is over its share may go to another region that is expected to begin
// its answer after the given wait, without the way there and the time of an idle endpoint. A region that is short of capacity itself is
// not asked: two such regions would send each other the requests of teams over their shares.
func MayLeave(onTime bool, wait, objective time.Duration) bool {
	return onTime && wait <= time.Duration(idleWaitShare*float64(objective))
}

// Order is the decision about a request.
type Order struct {
	// Allow reports whether the request may be admitted, and UseHeadroom whether it may use capacity that is kept free. OverShare reports
	// that it may not, or goes behind, because its team is above its share.
	Allow, UseHeadroom, OverShare bool
	// Rank is by how many ranks the request goes behind others of its priority.
	Rank int
	// Short is that of the room, and ShareLeft the part of its share that the team has not used, from 0 to 1.
	Short     bool
	ShareLeft float64
	// Place is its place in the order, from 0 for the first to 1 for the last one and those of teams above their shares.
	Place float64
}

// Reported is the usage of a team at a gateway for a service; an empty team is the sum of those not listed.
type Reported struct {
	Service, Team   string
	Asked, Admitted float64
}

type peer struct {
	at    time.Time
	teams map[string]Usage
}

// State holds the usage of teams for one service at all gateways of a region. It is not safe for concurrent use.
type State struct {
	own, sums  map[string]Usage
	peers      map[string]*peer
	priorities map[string]int
	changed    map[string]bool
	shares     map[string]float64
	sharesAt   time.Time
	// deprived reports that a team below its share was refused recently, and total is the sum of all teams.
	deprived bool
	total    Usage
	// kinds and requests count the requests at this gateway, by kind and all.
	kinds    map[string]Usage
	requests Usage
	// queues hold the recent requests by priority.
	queues [maxPriorities]queue
	// ownTotal is the sum of all teams at this gateway, and returns holds its refused callers.
	ownTotal Usage
	returns  returns
	// refusedAt is the time of the last refusal for lack of capacity, by urgency.
	refusedAt [maxPriorities]time.Time
}

// New returns a state without usage.
func New() *State {
	return &State{
		own: map[string]Usage{}, sums: map[string]Usage{}, peers: map[string]*peer{}, priorities: map[string]int{}, changed: map[string]bool{},
		kinds: map[string]Usage{},
	}
}

// Record counts a request and whether it was admitted.
func (s *State) Record(now time.Time, r Request, admitted bool) {
	s.own[r.Team] = s.own[r.Team].With(now, r.Tokens, admitted)
	s.sums[r.Team] = s.sums[r.Team].With(now, r.Tokens, admitted)
	s.priorities[r.Team] = r.Priority
	s.changed[r.Team] = true
	s.kinds[r.Kind] = s.kinds[r.Kind].With(now, 1, admitted)
	s.requests = s.requests.With(now, 1, admitted)
}

// Usage returns the recent usage of a team at all gateways.
func (s *State) Usage(now time.Time, team string) Usage { return s.sums[team].Now(now) }

// Decide returns whether a request goes first, later or not now. With room for it every request is allowed.
func (s *State) Decide(now time.Time, r Request, room Room) Order {
	place := s.place(r, room)
	if !room.Short {
		return Order{Allow: true, Place: place, ShareLeft: 1}
	}
	s.priorities[r.Team] = r.Priority
	s.renew(now)
	u, share := s.sums[r.Team].Now(now), s.shares[r.Team]
	order := Order{Allow: true, Short: true, ShareLeft: max(1-u.Admitted/max(share, minTokens), 0)}
	urgent := s.mostUrgent(now, r)
	switch {
	case room.Returned && u.Admitted <= returnedShare*share:
		// A second refusal is final, so that callers who have returned go first.
		place, order.UseHeadroom = 0, urgent
	case u.Admitted <= share:
		order.UseHeadroom = urgent
	default:
		place, order.Rank, order.OverShare = 1, 1, true
		order.Allow = !s.deprived || u.Admitted <= share*(1+tolerance)
	}
	if !room.Engines && !urgent {
		place = 1
	}
	order.Place = place
	switch {
	case !order.Allow:
	case s.starved(now, r.Kind):
		order.UseHeadroom = true
	default:
		order.Allow = !room.behind(place)
	}
	return order
}

// renew computes the shares if they are older than sharesPeriod, and forgets teams without usage and silent gateways.
func (s *State) renew(now time.Time) {
	if !s.sharesAt.IsZero() && now.Sub(s.sharesAt) < sharesPeriod {
		return
	}
	s.sharesAt = now
	for name, p := range s.peers {
		if now.Sub(p.at) > peerTTL {
			s.Remove(now, name)
		}
	}
	for kind, u := range s.kinds {
		if u.Now(now).Asked < minTokens {
			delete(s.kinds, kind)
		}
	}
	s.total, s.ownTotal = Usage{At: now}, Usage{At: now}
	var demands []Demand
	for team, u := range s.sums {
		u = u.Now(now)
		if u.Asked < minTokens {
			delete(s.sums, team)
			delete(s.own, team)
			delete(s.priorities, team)
			continue
		}
		s.total, s.ownTotal = s.total.Plus(now, u), s.ownTotal.Plus(now, s.own[team])
		demands = append(demands, Demand{Team: team, Priority: s.priorities[team], Asked: u.Asked})
	}
	s.shares = Shares(demands, s.total.Admitted)
	s.deprived = false
	for _, d := range demands {
		if u := s.sums[d.Team].Now(now); u.Admitted < (1-tolerance)*min(s.shares[d.Team], u.Asked) {
			s.deprived = true
		}
	}
}

// report returns the usage of teams that changed since the last report, or of all.
func (s *State) report(now time.Time, service string, whole bool) []Reported {
	var all []Reported
	for team, u := range s.own {
		if u = u.Now(now); (whole || s.changed[team]) && u.Asked >= minTokens {
			all = append(all, Reported{Service: service, Team: team, Asked: u.Asked, Admitted: u.Admitted})
		}
	}
	clear(s.changed)
	return all
}

// empty reports whether the state holds no usage.
func (s *State) empty() bool { return len(s.own) == 0 && len(s.sums) == 0 && len(s.peers) == 0 }

// update replaces the usage that another gateway reported, of the listed teams or if whole is set of all.
func (s *State) update(now time.Time, gateway string, whole bool, reported []Reported) {
	if whole {
		s.Remove(now, gateway)
	}
	p := s.peers[gateway]
	if p == nil {
		if len(reported) == 0 {
			return
		}
		p = &peer{teams: map[string]Usage{}}
		s.peers[gateway] = p
	}
	p.at = now
	for _, r := range reported {
		if !(r.Asked >= 0 && r.Admitted >= 0 && r.Asked <= maxTokens) {
			continue
		}
		u := Usage{Asked: r.Asked, Admitted: min(r.Admitted, r.Asked), At: now}
		s.sums[r.Team] = s.sums[r.Team].Minus(now, p.teams[r.Team]).Plus(now, u)
		p.teams[r.Team] = u
	}
}

// maxTokens bounds the usage that a report may claim.
const maxTokens = 1e12

// Remove drops the usage of a gateway.
func (s *State) Remove(now time.Time, gateway string) {
	if p := s.peers[gateway]; p != nil {
		for team, u := range p.teams {
			s.sums[team] = s.sums[team].Minus(now, u)
		}
		delete(s.peers, gateway)
	}
}
