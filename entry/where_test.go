package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"arbutusreel/explanation"
	"arbutusreel/operator"
	"arbutusreel/problem"
)

// TestWhere guards against questions that are answered without the operators' token, send a request or spend a limit, and against
// unknown teams, models, services and classes that are explained as others.
func TestWhere(t *testing.T) {
	const token = "operators"
	g := newTestEntry(t, func(c *Config) { c.OperatorTokenDigest = digestOf(token) })
	var requests atomic.Int64
	g.announce("menu-model", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	address := strings.TrimPrefix(g.server.URL, "http://")
	ask := func(token string, q explanation.EntryQuestion) (*explanation.EntryExplanation, *problem.Problem) {
		e, err := operator.New([]string{address}, token, http.DefaultClient).Where(t.Context(), q)
		if err != nil {
			return nil, problem.From(err)
		}
		return e, nil
	}
	known := explanation.EntryQuestion{Model: "dastarkhwan-menu", Team: "lahore-club", PromptTokens: 500, MaxOutputTokens: 100}
	change := func(f func(*explanation.EntryQuestion)) explanation.EntryQuestion {
		q := known
		f(&q)
		return q
	}
	for want, q := range map[problem.Code]explanation.EntryQuestion{
		problem.UnknownTeam:      change(func(q *explanation.EntryQuestion) { q.Team = teamToken }),
		problem.UnknownModel:     change(func(q *explanation.EntryQuestion) { q.Model = "other" }),
		problem.UnknownService:   change(func(q *explanation.EntryQuestion) { q.Model, q.Service = "", "menu-model" }),
		problem.UnknownClass:     change(func(q *explanation.EntryQuestion) { q.Class = "other" }),
		problem.MalformedRequest: change(func(q *explanation.EntryQuestion) { q.Team = "" }),
	} {
		if _, p := ask(token, q); p == nil || p.Code != want || strings.Contains(p.Detail, teamToken) {
			t.Errorf("want %s: %v", want, p)
		}
	}
	if _, p := ask(teamToken, known); p == nil || p.Code != problem.Unauthenticated {
		t.Errorf("with a team's token: %v", p)
	}
	g.entry.dispatcher.Refresh(1)
	_, before, _ := g.entry.limiter.standing("lahore-club")
	e, p := ask(token, known)
	if p != nil {
		t.Fatal(p)
	}
	if e.Decision.Action != "started" || e.Decision.Endpoint != "menu-model-0" || len(e.Candidates) != 1 || !e.Candidates[0].Chosen || len(e.Regions) != 2 {
		t.Errorf("%+v", e)
	}
	if _, after, _ := g.entry.limiter.standing("lahore-club"); after < before || requests.Load() > 0 || strings.Contains(g.log.String(), "routed") {
		t.Errorf("%d requests, %v of %v tokens left, log %s", requests.Load(), after, before, g.log.String())
	}
	g.entry.state.inventory = nil
	if _, p := ask(token, known); p == nil || p.Code != problem.NotReady {
		t.Errorf("without an inventory: %v", p)
	}
}

func digestOf(token string) string {
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}
