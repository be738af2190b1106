package capacity

import (
	"math"
	"time"
)

const (
	// headroomDeviations is the number of standard deviations of the slots that more urgent requests hold which a request
	// leaves free at an endpoint.
	headroomDeviations = 2.5
	// maxHeadroomShare bounds the share of an endpoint's slots that is left free.
	maxHeadroomShare = 0.5
)

// Headroom returns the number of slots of an endpoint that a request of the rank leaves free for more urgent requests
// that arrive while it runs. Without them it would lose its slot, be read again from the beginning, and pause for
// longer than its caller accepts. The slots that more urgent requests hold vary about their mean like a Poisson count.
func (s *Speed) Headroom(rank, slots int) int {
	mean := s.Overtaking.Slots[rank] * float64(slots)
	return int(min(math.Ceil(headroomDeviations*math.Sqrt(mean)), maxHeadroomShare*float64(slots)))
}

// Crowded reports whether a request of the rank would take one of the slots of an endpoint that are left free for more
// urgent ones.
func (c *Candidate) Crowded(rank int, s *Speed) bool {
	if !c.Preempts {
		return false
	}
	headroom := s.Headroom(rank, c.Slots)
	return headroom > 0 && c.Outstanding.Requests >= c.Slots-headroom
}

// crowdedCost returns the cost of taking a slot that is left free for more urgent requests.
func crowdedCost(objective time.Duration) time.Duration { return objective }
