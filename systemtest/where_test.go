package systemtest

import (
	"net/http"
	"strings"
	"testing"
)

// TestWhereAcrossRegions guards against explanations of running entries that differ from where requests go.
func TestWhereAcrossRegions(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore", "karachi"}, entriesPerRegion: 1, inventory: lunchClubInventory})
	lahore, karachi := s.entries[0], s.entries[1]
	s.engine("engine-karachi", "karachi", "menu-model", "dastarkhwan-menu")
	s.until("a plan of lahore is answered in karachi", func() bool {
		return s.do(http.MethodPost, lahore.caller, chatPath, lahoreToken, markedBody).status == http.StatusOK
	})
	for _, c := range []struct {
		entry, team, want string
		ok                bool
	}{
		{lahore.caller, "lahore-club", `forwarded to region "karachi" as noEndpoint`, true},
		{karachi.caller, "lahore-club", `sent to endpoint "engine-karachi"`, true},
		{lahore.caller, "other-club", "unknownTeam", false},
	} {
		out, err := s.command("where", "--entries", c.entry, "--model", "dastarkhwan-menu", "--team", c.team, "--promptTokens", "100")
		if (err == nil) != c.ok || !strings.HasPrefix(out, c.want) {
			t.Errorf("%s at %s: %v\n%s", c.team, c.entry, err, out)
		}
	}
}
