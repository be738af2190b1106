package routes

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func testTable(t testing.TB) *Table {
	t.Helper()
	table, err := New(1, []Route{{
		Name: "r", Host: "host", PathPrefix: "/", Kind: Safe, Timeout: time.Second, MaxAttempts: 1, Backends: []Backend{{Service: "desk", Weight: 1}},
	}}, []Service{{Name: "desk"}}, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func team(name string, keys ...string) Team {
	t := Team{Name: name}
	for _, key := range keys {
		t.Credentials = append(t.Credentials, NewCredential(key))
	}
	return t
}

// TestTeamFaults guards against teams that would make a credential or a limit ambiguous, and against keys in the errors.
func TestTeamFaults(t *testing.T) {
	limited := func(a Allotment) Team { return Team{Name: "limited", Allotment: a} }
	for name, c := range map[string]struct {
		teams  []Team
		faults int
	}{
		"one":                     {[]Team{team("a", "k1", "k2")}, 0},
		"none":                    {[]Team{}, 0},
		"same key":                {[]Team{team("a", "secret"), team("b", "other", "secret")}, 1},
		"same key in one team":    {[]Team{team("a", "secret", "secret")}, 0},
		"same name":               {[]Team{team("a", "k1"), team("a", "k2")}, 1},
		"no name":                 {[]Team{team("", "k1")}, 1},
		"negative rate":           {[]Team{limited(Allotment{Rate: -1})}, 1},
		"infinite rate":           {[]Team{limited(Allotment{Rate: math.Inf(1)})}, 1},
		"burst that is no number": {[]Team{limited(Allotment{Rate: 1, Burst: math.NaN()})}, 1},
		"negative plain tokens":   {[]Team{limited(Allotment{PlainTokens: -1})}, 1},
		"several faults":          {[]Team{team("", "secret"), team("b", "secret"), limited(Allotment{Burst: -1})}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			table, err := testTable(t).WithTeams(c.teams)
			var faults Faults
			if errors.As(err, &faults) != (c.faults > 0) || len(faults) != c.faults {
				t.Fatalf("%v, want %d faults", err, c.faults)
			}
			if err != nil && strings.Contains(err.Error(), "secret") {
				t.Errorf("the error holds a key: %v", err)
			}
			if err == nil && !table.HasTeams() {
				t.Error("the table has no teams")
			}
		})
	}
}

// TestTeamOfCredential guards against a key that finds the wrong team, and against teams in the table that WithTeams was
// called on.
func TestTeamOfCredential(t *testing.T) {
	before := testTable(t)
	table, err := before.WithTeams([]Team{team("a", "k1", "k2"), team("b", "k3")})
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]*Team{"k1": table.TeamNamed("a"), "k2": table.TeamNamed("a"), "k3": table.TeamNamed("b"), "k4": nil, "": nil, "a": nil} {
		if got := table.Team(NewCredential(key)); got != want {
			t.Errorf("key %q: %v", key, got)
		}
	}
	if table.Team(Credential{}) != nil || table.TeamNamed("c") != nil || table.TeamNamed("a") == nil {
		t.Error("a team is missing, or found by the credential of a malformed key")
	}
	if before.HasTeams() || before.Team(NewCredential("k1")) != nil || before.TeamNamed("a") != nil {
		t.Error("WithTeams changed the table")
	}
}

// TestHomesOfTeams guards against a directory that names regions which the homes of teams forbid, or that applies the homes of
// some teams to callers of others.
func TestHomesOfTeams(t *testing.T) {
	home := func(name string, regions ...string) Team { return Team{Name: name, HomeRegions: regions} }
	for name, c := range map[string]struct {
		route      []string
		teams      []Team
		shared     []string
		some       []string
		restricted bool
	}{
		"one team is free":      {nil, []Team{home("a", "lahore"), home("b")}, nil, nil, false},
		"no team":               {[]string{"lahore"}, []Team{}, []string{"lahore"}, []string{"lahore"}, true},
		"all have homes":        {nil, []Team{home("a", "lahore", "karachi"), home("b", "karachi")}, []string{"karachi"}, []string{"lahore", "karachi"}, true},
		"with those of a route": {[]string{"lahore", "multan"}, []Team{home("a", "lahore", "karachi")}, []string{"lahore"}, []string{"lahore"}, true},
		"apart":                 {[]string{"multan"}, []Team{home("a", "lahore")}, []string{}, []string{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			base, err := New(1, []Route{{
				Name: "r", Host: "host", PathPrefix: "/", Timeout: time.Second, MaxAttempts: 1, HomeRegions: c.route, Backends: []Backend{{Service: "desk", Weight: 1}},
			}}, []Service{{Name: "desk"}}, Limits{})
			if err != nil {
				t.Fatal(err)
			}
			table, err := base.WithTeams(c.teams)
			if err != nil {
				t.Fatal(err)
			}
			for range 2 {
				shared, some, restricted := table.HomeRegions("host")
				if !cmp.Equal(shared, c.shared) || !cmp.Equal(some, c.some) || restricted != c.restricted {
					t.Errorf("%v, %v, %v", shared, some, restricted)
				}
			}
		})
	}
}

// maxCheckTime bounds the time of a check of a credential.
const maxCheckTime = time.Microsecond

// BenchmarkCredential measures the check of a caller's key.
func BenchmarkCredential(b *testing.B) {
	for _, n := range []int{16, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var teams []Team
			for i := range n {
				teams = append(teams, team(fmt.Sprint("team-", i), fmt.Sprintf("m68k7b2ex5wa%08d", i), fmt.Sprintf("nbkxxmibw6kp%08d", i)))
			}
			table, err := testTable(b).WithTeams(teams)
			if err != nil {
				b.Fatal(err)
			}
			key := fmt.Sprintf("nbkxxmibw6kp%08d", n/2)
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				if table.Team(NewCredential(key)) == nil {
					b.Fatal("the key is not known")
				}
			}
			if perCheck := b.Elapsed() / time.Duration(b.N); b.N > 1000 && perCheck >= maxCheckTime {
				b.Errorf("a check takes %v, not less than %v", perCheck, maxCheckTime)
			}
		})
	}
}

// TestCredentialAllocates guards against an allocation in the check of a key at each request.
func TestCredentialAllocates(t *testing.T) {
	table, err := testTable(t).WithTeams([]Team{team("a", "m68k7b2ex5wa5xwyhks8")})
	if err != nil {
		t.Fatal(err)
	}
	for _, length := range []int{20, maxStackKey} {
		key := strings.Repeat("k", length)
		if n := testing.AllocsPerRun(100, func() { table.Team(NewCredential(key)) }); n != 0 {
			t.Errorf("%v allocations for a key of %d bytes", n, length)
		}
	}
}

// TestCost guards against wrong units of requests, which allotments are charged by.
func TestCost(t *testing.T) {
	tokens := Allotment{Rate: 1, Unit: Tokens, PlainTokens: 200}
	for _, c := range []struct {
		allotment      Allotment
		prompt, output int64
		want           float64
	}{{Allotment{}, 900, 100, 1}, {tokens, 900, 100, 1000}, {tokens, 0, 0, 200}, {tokens, 900, 0, 900}} {
		if got := c.allotment.Cost(c.prompt, c.output); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
