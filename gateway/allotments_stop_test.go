package gateway

import (
	"net/http"
	"testing"

	"arbutusreel/routes"
)

// TestAllotmentOwnerStopping has all gateways of a region stop, while they still accept requests: a team that is within its
// allotment is served.
func TestAllotmentOwnerStopping(t *testing.T) {
	f := newAllotmentFleet(t, 2, routes.Allotment{Rate: 2000, Burst: 2000, Unit: routes.Tokens})
	f.publish(0, 1)
	for i := range f.gateways {
		waitFor(t, "a request is admitted", func() bool { return f.ask(i).status == http.StatusOK })
	}
	// A new share starts empty; it must hold all requests that follow.
	waitFor(t, "the share holds ten requests", func() bool { return f.level(f.owner(0, 1)) >= 1000 })
	c := *f.gateways[0].view.Load()
	for i := range c.gateways {
		c.gateways[i].Ready, c.gateways[i].Lingering = false, true
	}
	for _, g := range f.gateways {
		v := c
		g.view.Store(&v)
		g.allotments.observe(v.updatedAt, &v)
	}
	refused := 0
	for i := range 10 {
		if f.ask(i%2).status != http.StatusOK {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of 10 requests refused", refused)
	}
}
