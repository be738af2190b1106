package gateway

import (
	"testing"

	"arbutusreel/capacity"
	"arbutusreel/fairness"
	"arbutusreel/fleet"
	"arbutusreel/routes"
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
	if d := decide("hot"); d.verdict != capacity.Refuse || d.reason != reasonOverShare || d.retryAfter <= 0 {
		t.Errorf("above its share: %v as %q, Retry-After %v", d.verdict, d.reason, d.retryAfter)
	}
	if d := decide("cool"); d.verdict == capacity.Refuse {
		t.Errorf("below its share: refused as %q", d.reason)
	}
}
