package routes

import (
	"testing"
	"time"
)

// TestLevel checks that the order of a team's routes is kept when all teams have the same priority: with the team's priority alone,
// long prompts delayed the urgent requests of the same team.
func TestLevel(t *testing.T) {
	route := func(path string, priority int, public bool) Route {
		return Route{
			Name: path, Host: "h", PathPrefix: path, Priority: priority, Public: public, MaxAttempts: 1, Timeout: time.Second,
			Backends: []Backend{{Service: "s", Weight: 1}},
		}
	}
	table, err := New(1, []Route{route("/a/", 0, false), route("/b/", 1, false), route("/c/", 2, false), route("/p/", 0, true)}, []Service{{Name: "s"}}, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		teams []Team
		want  map[string][]int
	}{
		"equal teams":  {[]Team{{Name: "x", Priority: 1, HasPriority: true}, {Name: "y", Priority: 1, HasPriority: true}}, map[string][]int{"x": {0, 1, 2}, "y": {0, 1, 2}}},
		"team first":   {[]Team{{Name: "x", Priority: 2, HasPriority: true}, {Name: "y", Priority: 1, HasPriority: true}}, map[string][]int{"x": {3, 4, 5}, "y": {0, 1, 2}}},
		"no priority":  {[]Team{{Name: "x"}}, map[string][]int{"x": {0, 1, 2}}},
		"one priority": {[]Team{{Name: "x"}, {Name: "y", HasPriority: true}}, map[string][]int{"x": {0, 3, 4}, "y": {0, 1, 2}}},
	} {
		t.Run(name, func(t *testing.T) {
			table, err := table.WithTeams(test.teams)
			if err != nil {
				t.Fatal(err)
			}
			for team, levels := range test.want {
				for priority, want := range levels {
					if got := table.TeamNamed(team).Level(priority); got != want {
						t.Errorf("team %s, route of priority %d: level %d, want %d", team, priority, got, want)
					}
				}
			}
		})
	}
}
