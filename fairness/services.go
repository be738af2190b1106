package fairness

import (
	"cmp"
	"slices"
	"time"
)

// Services holds the usage of teams by service, as the services of a region have separate capacities. It is not safe for concurrent
// use.
type Services struct {
	states map[string]*State
}

// NewServices returns the states of no service.
func NewServices() *Services { return &Services{states: map[string]*State{}} }

// Of returns the state of a service.
func (s *Services) Of(service string) *State {
	state := s.states[service]
	if state == nil {
		state = New()
		s.states[service] = state
	}
	return state
}

// Active reports whether teams have asked this gateway for a service recently.
func (s *Services) Active(now time.Time, service string) bool {
	state := s.states[service]
	return state != nil && state.requests.Now(now).Asked >= minTokens
}

// Changed reports whether usage changed since the last report.
func (s *Services) Changed() bool {
	for _, state := range s.states {
		if len(state.changed) > 0 {
			return true
		}
	}
	return false
}

// Report returns the usage that changed since the last report, or if whole is set all usage: at most maxReported entries, of the teams
// that asked most and one sum for each service of the others.
func (s *Services) Report(now time.Time, whole bool) []Reported {
	var all []Reported
	for service, state := range s.states {
		if whole {
			state.renew(now)
		}
		all = append(all, state.report(now, service, whole)...)
	}
	slices.SortFunc(all, compareReported)
	if len(all) <= maxReported {
		return all
	}
	sums := map[string]Reported{}
	named := len(all)
	for named > 0 && (named > maxReported || named+len(sums) > maxReported) {
		named--
		r := all[named]
		sum := sums[r.Service]
		sums[r.Service] = Reported{Service: r.Service, Asked: sum.Asked + r.Asked, Admitted: sum.Admitted + r.Admitted}
	}
	reported := all[:named:named]
	for _, sum := range sums {
		reported = append(reported, sum)
	}
	slices.SortFunc(reported, compareReported)
	return reported[:min(len(reported), maxReported)]
}

// compareReported orders usage by the tokens asked for, the most first.
func compareReported(a, b Reported) int {
	return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team))
}

// Update replaces the usage that another gateway reported, of the listed teams or if whole is set of all. Usage without a service is
// dropped: a gateway that does not name it counts all services together, so that its sum fits none of them.
func (s *Services) Update(now time.Time, gateway string, whole bool, reported []Reported) {
	byService := map[string][]Reported{}
	for _, r := range reported {
		if r.Service != "" {
			byService[r.Service] = append(byService[r.Service], r)
		}
	}
	for service, state := range s.states {
		if p := state.peers[gateway]; p != nil && byService[service] == nil {
			p.at = now
			if whole {
				state.Remove(now, gateway)
			}
		}
		if state.empty() && byService[service] == nil {
			delete(s.states, service)
		}
	}
	for service, usage := range byService {
		s.Of(service).update(now, gateway, whole, usage)
	}
}
