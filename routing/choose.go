package routing

import (
	"sync"

	"arbutusreel/membership"
)

// Choice is an endpoint with the reason for it.
type Choice struct {
	Endpoint membership.Endpoint
	Reason   string
}

// Chooser chooses the endpoint with the fewest own requests outstanding; it is safe for concurrent use.
type Chooser struct {
	mu          sync.Mutex
	outstanding map[string]int
}

// New returns a chooser without outstanding requests.
func New() *Chooser {
	return &Chooser{outstanding: map[string]int{}}
}

// Choose returns one of the candidates and counts a request on it until Done; ok is false if there are none.
func (c *Chooser) Choose(candidates []membership.Endpoint) (choice Choice, ok bool) {
	if len(candidates) == 0 {
		return Choice{Reason: "noCandidate"}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	best := candidates[0]
	for _, e := range candidates[1:] {
		if c.outstanding[e.Name]*best.Slots < c.outstanding[best.Name]*e.Slots {
			best = e
		}
	}
	c.outstanding[best.Name]++
	return Choice{Endpoint: best, Reason: "leastOutstanding"}, true
}

// Done ends a request on the endpoint of that name.
func (c *Chooser) Done(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outstanding[name]--
	if c.outstanding[name] <= 0 {
		delete(c.outstanding, name)
	}
}
