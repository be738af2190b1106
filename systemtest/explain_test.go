package systemtest

import (
	"net/http"
	"strings"
	"testing"
)

func TestExplainAcrossInstances(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore", "karachi"}, entriesPerRegion: 1, inventory: lunchClubInventory})
	lahore, karachi := s.entries[0], s.entries[1]
	s.engine("engine-karachi", "karachi", "menu-model", "dastarkhwan-menu")
	var a response
	s.until("a plan of lahore is answered in karachi", func() bool {
		a = s.do(http.MethodPost, lahore.caller, chatPath, lahoreToken, markedBody)
		return a.status == http.StatusOK
	})
	id := a.header.Get("X-Correlation-Id")
	var out string
	s.until("explain shows the end of the request", func() bool {
		out, _ = s.command("explain", id)
		return strings.Contains(out, `"answered"`)
	})
	forwarded := strings.Index(out, `"region":"karachi"`)
	routed := strings.Index(out, `"endpoint":"engine-karachi"`)
	answered := strings.Index(out, `"answered"`)
	if forwarded < 0 || routed < forwarded || answered < routed {
		t.Errorf("the decisions are out of order:\n%s", out)
	}
	if strings.Contains(out, marker) {
		t.Error("the decisions contain the data of the request")
	}
	path := "/v1/decisions/correlationId/" + id
	if status := s.get(lahore.caller, path, lahoreToken); status != http.StatusUnauthorized {
		t.Errorf("a team's token was answered with %d", status)
	}
	karachi.freeze()
	out, err := s.command("explain", id)
	if err != nil || !strings.Contains(out, "no answer from "+karachi.caller) {
		t.Errorf("with a frozen entry: %v\n%s", err, out)
	}
	karachi.thaw()
	if out, err := s.command("explain", "absent"); err == nil {
		t.Errorf("an unknown request was explained:\n%s", out)
	}
}
