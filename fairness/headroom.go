package fairness

import "time"

const (
	// refusalMemory is how long a refusal of a more urgent request keeps less urgent ones from the slots that are kept free.
	refusalMemory = time.Second
	// maxPriorities bounds the priorities that are told apart.
	maxPriorities = 16
)

// bounded returns a priority as an index.
func bounded(priority int) int { return min(max(priority, 0), maxPriorities-1) }

// mostUrgent reports whether a request is at least as urgent as the most urgent ones refused recently. Otherwise long requests of low
// priority would take the slots kept for the more urgent ones that are being refused.
func (s *State) mostUrgent(now time.Time, r Request) bool {
	for _, at := range s.refusedAt[:bounded(r.Urgency)] {
		if !at.IsZero() && now.Sub(at) <= refusalMemory {
			return false
		}
	}
	return true
}
