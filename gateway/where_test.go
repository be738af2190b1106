package gateway

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"arbutusreel/capacity"
	answer "arbutusreel/explanation"
	"arbutusreel/fleet"
	"arbutusreel/problem"
	"arbutusreel/routes"
)

// TestWhere guards against explanations that send a request, spend an allotment or a retry, name a key, or differ from what a request
// then gets, and against unknown routes, services and teams that are explained as others.
func TestWhere(t *testing.T) {
	a, b := newEndpoint(t, "a", answering()), newEndpoint(t, "b", answering())
	g := newGateway(t, testTable(t, nil), a, b)
	ask := func(q answer.Question) (*answer.Explanation, *problem.Problem) {
		return g.Where(time.Now(), q, Call{LastEvent: NoEvent, Work: capacity.Work{PromptTokens: 1000}})
	}
	v := *g.view.Load()
	g.changeView(func(v *view) { v.table = nil })
	if _, p := ask(answer.Question{Host: testHost, Path: "/stream/x"}); p == nil || p.Code != problem.NotReady {
		t.Errorf("without a document: %v", p)
	}
	table, err := v.table.WithTeams([]routes.Team{{
		Name: "a", Credentials: []routes.Credential{routes.NewCredential(testKey)}, Allotment: routes.Allotment{Rate: 1e6, Burst: 1e6, Unit: routes.Requests},
	}})
	if err != nil {
		t.Fatal(err)
	}
	g.changeView(func(v *view) {
		v.table, v.gateways = table, []fleet.Gateway{{Name: g.cfg.Name, Region: g.cfg.Region, Ready: true}}
	})
	for b, i := g.placer.states["b"], 0; i < 5; i++ {
		b.failures = b.failures.With(time.Now(), true)
	}
	g.allotments.observe(time.Now(), g.view.Load())
	for want, q := range map[problem.Code]answer.Question{
		problem.UnknownRoute: {Host: "elsewhere", Path: "/", Team: "a"}, problem.UnknownService: {Host: testHost, Path: "/stream/x", Team: "a", Service: "other"},
		problem.UnknownTeam: {Host: testHost, Path: "/stream/x", Team: testKey},
	} {
		if _, p := ask(q); p == nil || p.Code != want || p.Status != http.StatusNotFound || strings.Contains(p.Detail, testKey) {
			t.Errorf("want %s: %v", want, p)
		}
	}
	state, balances := dump(g.placer), len(g.allotments.balances)
	e, p := ask(answer.Question{Host: testHost, Path: "/stream/x", Team: "a"})
	if p != nil {
		t.Fatal(p)
	}
	text, err := answer.Encode(e)
	if err != nil || bytes.Contains(text, []byte(testKey)) {
		t.Errorf("%v: %s", err, text)
	}
	if dump(g.placer) != state || len(g.allotments.balances) != balances || len(a.requests())+len(b.requests()) > 0 {
		t.Error("the explanation changed the state")
	}
	if e.Team == nil || e.Team.Allotment == nil || e.Team.Allotment.Cost != 1 || e.Team.Allotment.State != answer.AllotmentEnough || len(e.Candidates) != 2 {
		t.Errorf("%s", text)
	}
	got := g.call(t.Context(), "POST", "/stream/x", map[string]string{"Key": testKey, "Tokens": "1000"})
	if got.status != http.StatusOK || len(a.requests()) != 1 || e.Decision.Endpoint != "a" || !e.Candidates[0].Chosen || e.Candidates[0].Endpoint != "a" {
		t.Errorf("status %d, %d at a: %s", got.status, len(a.requests()), text)
	}
	again, _ := ask(answer.Question{Route: e.Route, Team: "a"})
	if diff := cmp.Diff(e.Excluded, again.Excluded, cmpopts.EquateEmpty()); diff != "" || again.Team.Used <= e.Team.Used {
		t.Errorf("after a request: %s, %+v", diff, again.Team)
	}
}
