package gateway

import (
	"testing"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fairness"
	"arbutusreel/fleet"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

// TestOverShare crowds the endpoint of a region: a team above its share is refused while another is refused below its own, as another
// gateway reports, and a region without teams reports no usage.
func TestOverShare(t *testing.T) {
	placers, v, r, s := newPlacers(t, 2, fleet.Endpoint{ID: "e", Born: 7, Service: "model", Slots: 4, State: fleet.Ready})
	now := replayStart
	q := testQuery(r, s)
	decide := func(team string) decision {
		q.team = nil
		if team != "" {
			q.team = &routes.Team{Name: team}
		}
		return placers[0].decide(now, v, q)
	}
	placers[0].begin(now, "model", q.work, decide(""))
	if m := placers[0].loadReport(now, 1, true); len(m.GetTeamUsage()) > 0 {
		t.Fatalf("usage %v without teams", m.GetTeamUsage())
	}
	for range 30 {
		placers[1].fairness.Of("model").Record(now, fairness.Request{Team: "hot", Tokens: 1100}, true)
		placers[1].fairness.Of("model").Record(now, fairness.Request{Team: "cool", Tokens: 1100}, false)
	}
	placers[0].updatePeer(now, placers[1].loadReport(now, 1, true))
	if d := decide("hot"); d.verdict == capacity.Refuse {
		t.Errorf("a request was refused as %s while slots are free", d.reason)
	}
	placers[0].state(&fleet.Endpoint{ID: "e", Born: 7}).outstanding.Requests = 4
	d := decide("hot")
	if d.verdict != capacity.Refuse || d.reason != reasonOverShare || d.retryAfter <= 0 || !d.order.Short || d.order.Place != 1 || d.order.ShareLeft != 0 {
		t.Errorf("above its share: %v as %q, Retry-After %v, order %+v", d.verdict, d.reason, d.retryAfter, d.order)
	}
	if d := decide("cool"); d.verdict == capacity.Refuse {
		t.Errorf("below its share: refused as %q", d.reason)
	}
}

// TestOverShareLeaves guards against a request that is refused as overShare without being offered to another region, that leaves this
// region a second time, or that is sent to a region which is short of capacity itself and sends its own requests here.
func TestOverShareLeaves(t *testing.T) {
	for _, c := range []struct {
		name      string
		wait      time.Duration
		forwarded bool
		region    string
	}{
		{"the other region has capacity", 100 * time.Millisecond, false, "there"}, {"it is short", 700 * time.Millisecond, false, ""},
		{"the request came from it", 100 * time.Millisecond, true, ""},
	} {
		placers, v, r, s := newPlacers(t, 1, fleet.Endpoint{ID: "e", Born: 7, Service: "model", Slots: 4, State: fleet.Ready})
		now, p := replayStart, placers[0]
		there := capacity.RegionCapacity{Region: "there", Endpoints: 1, PromptTokens: 1 << 20, Wait: [capacity.Ranks]time.Duration{c.wait}}
		v.gateways = append(v.gateways, fleet.Gateway{Name: "there-0", Region: "there", Ready: true})
		v.capacities = map[string]regionCapacity{"there": {reportedAt: now, services: map[string]capacity.RegionCapacity{"model": there}}}
		p.fairness.Of("model").Record(now, fairness.Request{Team: "hot", Tokens: 1000}, true)
		p.fairness.Of("model").Record(now, fairness.Request{Team: "cool", Tokens: 1000}, false)
		p.state(&fleet.Endpoint{ID: "e", Born: 7}).outstanding.Requests = 4
		q := testQuery(r, s)
		q.team, q.forwarded = &routes.Team{Name: "hot"}, c.forwarded
		d := p.decide(now, v, q)
		if d.region != c.region || c.region == "" && d.reason != reasonOverShare {
			t.Errorf("%s: region %q, refused as %q", c.name, d.region, d.reason)
		}
		m := &wiregen.ServiceRoom{Service: "model", PromptTokens: 9}
		if p.withholdCapacity(now, v, m); (m.PromptTokens < 0) != (c.region != "") {
			t.Errorf("%s: %d tokens are reported as free", c.name, m.PromptTokens)
		}
	}
}

// TestPlainQueueIsNotShort guards against a request of a team above its share that is refused while plain endpoints only queue it, and
// against one that is admitted before others when the queue is long.
func TestPlainQueueIsNotShort(t *testing.T) {
	for requests, reason := range map[int]string{6: "", 60: reasonOverShare} {
		placers, v, r, s := newPlacers(t, 1, fleet.Endpoint{ID: "e", Born: 7, Service: "model", Slots: 4, State: fleet.Ready})
		now, p := replayStart, placers[0]
		p.cfg.DrawPlain = false
		p.fairness.Of("model").Record(now, fairness.Request{Team: "hot", Tokens: 1000}, true)
		p.fairness.Of("model").Record(now, fairness.Request{Team: "cool", Tokens: 1000}, false)
		p.state(&fleet.Endpoint{ID: "e", Born: 7}).outstanding.Requests = requests
		plain := *s
		plain.Engine = nil
		q := testQuery(r, &plain)
		q.team = &routes.Team{Name: "hot"}
		if d := p.decide(now, v, q); (d.verdict == capacity.Refuse) != (reason != "") || reason != "" && d.reason != reason {
			t.Errorf("%d requests at 4 slots, expected %v: %v as %q, want %q", requests, d.expected, d.verdict, d.reason, reason)
		}
	}
}

// TestUsageReachesAll guards against usage of teams that is lost where reports are combined into messages for links or passed on.
func TestUsageReachesAll(t *testing.T) {
	placers, _, _, _ := newPlacers(t, 9)
	linked := linkPlacers(placers)
	placers[0].fairness.Of("model").Record(replayStart, fairness.Request{Team: "a", Tokens: 1000}, true)
	for range 3 {
		for _, l := range linked {
			l.report(replayStart, true)
		}
	}
	for i, p := range placers[1:] {
		if got := p.fairness.Of("model").Usage(replayStart, "a"); got.Asked < 1000 {
			t.Errorf("gateway %d knows of %v tokens", i+1, got.Asked)
		}
	}
}

// TestRetriedNotBehind guards against a request that is refused for its place after a failure at an endpoint, when its objective has passed.
func TestRetriedNotBehind(t *testing.T) {
	placers, v, r, s := newPlacers(t, 1, fleet.Endpoint{ID: "e", Born: 7, Service: "model", Slots: 4, State: fleet.Ready})
	p := placers[0]
	p.cfg.DrawPlain = false
	p.state(&fleet.Endpoint{ID: "e", Born: 7}).outstanding.Requests = 36
	plain := *s
	plain.Engine = nil
	q := testQuery(r, &plain)
	q.team, q.tried, q.budget.Objective = &routes.Team{Name: "a"}, map[string]bool{"failed": true}, -time.Second
	if d := p.decide(replayStart, v, q); d.verdict != capacity.TakeLate || !d.order.Short {
		t.Errorf("expected %v: %v as %q", d.expected, d.verdict, d.reason)
	}
}
