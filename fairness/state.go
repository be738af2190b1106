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
	// shortWaitShare is the share of the objective above which the expected wait makes a service without engines, or another region,
	// short of capacity.
	shortWaitShare = 0.5
	// minRetryAfter is the least Retry-After.
	minRetryAfter = 150 * time.Millisecond
)

// Request is a request that a region may admit.
type Request struct {
	Team     string
	Priority int
	Tokens   float64
}

// Room describes the capacity for a request.
type Room struct {
	// Short reports that the request would not begin in time, or that its endpoint is crowded.
	Short bool
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
// its answer in the given time, without the way there. A region that is short of capacity itself is not asked: two such regions would
// send each other the requests of teams over their shares.
func MayLeave(onTime bool, wait, objective time.Duration) bool {
	return onTime && wait <= time.Duration(shortWaitShare*float64(objective))
}

// Order is the decision about a request.
type Order struct {
	// Allow reports whether the request may be admitted, and UseHeadroom whether it may use capacity that is kept free.
	Allow, UseHeadroom bool
	// Rank is by how many ranks the request goes behind others of its priority.
	Rank int
	// RetryAfter is when the caller of a refused request may return.
	RetryAfter time.Duration
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
}

// New returns a state without usage.
func New() *State {
	return &State{
		own: map[string]Usage{}, sums: map[string]Usage{}, peers: map[string]*peer{}, priorities: map[string]int{}, changed: map[string]bool{},
	}
}

// Record counts a request and whether it was admitted.
func (s *State) Record(now time.Time, r Request, admitted bool) {
	s.own[r.Team] = s.own[r.Team].With(now, r.Tokens, admitted)
	s.sums[r.Team] = s.sums[r.Team].With(now, r.Tokens, admitted)
	s.priorities[r.Team] = r.Priority
	s.changed[r.Team] = true
}

// Decide returns whether a request goes first, later or not now. With room for it every request is allowed.
func (s *State) Decide(now time.Time, r Request, room Room) Order {
	if !room.Short {
		return Order{Allow: true}
	}
	s.priorities[r.Team] = r.Priority
	s.renew(now)
	u, share := s.sums[r.Team].Now(now), s.shares[r.Team]
	switch {
	case u.Admitted <= share, room.Returned && u.Admitted <= returnedShare*share:
		return Order{Allow: true, UseHeadroom: true}
	case s.deprived && u.Admitted > share*(1+tolerance):
		return Order{Rank: 1, RetryAfter: s.RetryAfter(now, room)}
	default:
		return Order{Allow: true, Rank: 1}
	}
}

// RetryAfter returns when a refused caller may return: after the excess of the wait, plus a spread as wide as the tokens refused
// recently need at the rate at which the region admits tokens, at most a third of the time left.
func (s *State) RetryAfter(now time.Time, room Room) time.Duration {
	s.renew(now)
	spread := minRetryAfter
	if t := s.total.Now(now); t.Admitted >= minTokens {
		spread = max(spread, time.Duration((t.Asked-t.Admitted)/t.Admitted*float64(timeConstant)))
	}
	after := max(room.Excess, minRetryAfter) + time.Duration(room.Draw*float64(spread))
	return min(after, max(room.TimeLeft/3, minRetryAfter))
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
	s.total = Usage{At: now}
	var demands []Demand
	for team, u := range s.sums {
		u = u.Now(now)
		if u.Asked < minTokens {
			delete(s.sums, team)
			delete(s.own, team)
			delete(s.priorities, team)
			continue
		}
		s.total = s.total.Plus(now, u)
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
