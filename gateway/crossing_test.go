package gateway

import (
	"testing"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
)

// TestSheddingRegion guards against two regions that forward requests of a service to each other: one that forwards, or whose waits are so long
// that its gateways do, reports no free capacity until it has not for a second. A request that its homes keep from the region does not count.
func TestSheddingRegion(t *testing.T) {
	for _, c := range []struct {
		name    string
		backlog int64
		cross   bool
		free    bool
	}{{"idle", 0, false, true}, {"long waits", 60_000, false, false}, {"forwards", 60_000, true, false}} {
		e := fleet.Endpoint{ID: "e", Born: 7, Service: "model", Slots: 64, State: fleet.Ready}
		placers, v, r, s := newPlacers(t, 1, e)
		p, now := placers[0], replayStart
		v.gateways = append(v.gateways, fleet.Gateway{Name: "there-0", Region: "there", Ready: true})
		there := capacity.RegionCapacity{Region: "there", Endpoints: 9, PromptTokens: 1 << 30}
		v.capacities = map[string]regionCapacity{"there": {reportedAt: now, services: map[string]capacity.RegionCapacity{"model": there}}}
		outstanding := &p.state(&e).outstanding
		outstanding.PromptTokens[0] = c.backlog
		if c.cross && p.decide(now, v, testQuery(r, s)).region != "there" {
			t.Fatalf("%s: the request was not forwarded", c.name)
		}
		if c.cross {
			outstanding.PromptTokens[0] = 0
		}
		if free := p.localCapacity(now, v)[0].GetPromptTokens() > 0; free != c.free {
			t.Errorf("%s: free capacity %v", c.name, free)
		}
		outstanding.PromptTokens[0] = 0
		if p.localCapacity(now.Add(1100*time.Millisecond), v)[0].GetPromptTokens() == 0 {
			t.Errorf("%s: no free capacity a second later", c.name)
		}
	}
}
