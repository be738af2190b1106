package fairness

import "time"

const (
	// firstWaitShare and lastWaitShare are the shares of the objective that a request may be expected to wait which goes first or last
	// within its priority. Between them the wait settles where as many are admitted as the region serves. Endpoints without engines serve
	// by arrival, and reports of their load are some 100 ms old: with 0.9 a fifth of the admitted requests were late.
	firstWaitShare  = 0.75
	engineWaitShare = 0.9
	lastWaitShare   = 0.5
	// slackStep is the difference in slack below which requests are ordered by tokens: expected times are no more exact.
	slackStep = 100 * time.Millisecond
	// keptRequests is the number of recent requests of a priority that a place is computed from, and minKeptRequests the least number.
	keptRequests    = 64
	minKeptRequests = 8
	// exemptShare is the share of requests whose place is drawn if that is better than their own. It keeps the largest requests and
	// those with the most time left from starving: they are served at least half as often as all.
	exemptShare = 0.5
)

// standing is what the order of requests within a priority depends on.
type standing struct {
	// slack is the time left after the time needed, in steps.
	slack  int64
	tokens float64
}

func newStanding(r Request, room Room) standing {
	return standing{slack: int64((room.TimeLeft - room.Needed) / slackStep), tokens: r.Tokens}
}

// before reports whether a request goes before another one: by the least slack, then by the fewest tokens.
func (s standing) before(other standing) bool {
	return s.slack < other.slack || s.slack == other.slack && s.tokens < other.tokens
}

// queue holds the recent requests of one priority.
type queue struct {
	recent  [keptRequests]standing
	n, next int
}

// place returns the share of the recent requests that go before one, zero if there are too few to tell, and keeps it as the latest.
func (q *queue) place(s standing) float64 {
	before := 0
	for _, other := range q.recent[:q.n] {
		if other.before(s) {
			before++
		}
	}
	n := q.n
	q.recent[q.next] = s
	q.n, q.next = min(q.n+1, keptRequests), (q.next+1)%keptRequests
	if n < minKeptRequests {
		return 0
	}
	return float64(before) / float64(n)
}

// place returns the place of a request in the order of its priority, from 0 for the first to 1 for the last one.
func (s *State) place(r Request, room Room) float64 {
	q := &s.queues[bounded(r.Priority)]
	place := q.place(newStanding(r, room))
	if room.Draw < exemptShare {
		place = min(place, room.Draw/exemptShare)
	}
	return place
}

// behind reports whether a request at a place is expected to wait for longer than it may while the service is short of capacity. Engines
// serve late requests last, so that those delay no others.
func (r Room) behind(place float64) bool {
	first := firstWaitShare
	if r.Engines {
		first = engineWaitShare
	}
	return (!r.Engines || !r.Late) && r.Wait > time.Duration((first-place*(first-lastWaitShare))*float64(r.Objective))
}

// minKindAsked is the decayed number of requests of a kind from which on its share served is known.
const minKindAsked = 4

// starved reports whether requests of a kind are admitted less than floorShare as often as all at this gateway.
func (s *State) starved(now time.Time, kind string) bool {
	one, all := s.kinds[kind].Now(now), s.requests.Now(now)
	return one.Asked >= minKindAsked && one.Admitted*all.Asked < floorShare*one.Asked*all.Admitted
}
