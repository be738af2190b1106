package metrics

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
)

// TestTeamCardinality guards against metrics that grow with the number of teams, and against counts that are lost.
func TestTeamCardinality(t *testing.T) {
	s := New()
	var wg sync.WaitGroup
	for i := range 300 {
		wg.Go(func() {
			for range 10 {
				s.CountTeam(fmt.Sprint("team-", i), "admitted")
			}
		})
	}
	wg.Wait()
	var got struct {
		Teams map[string]map[string]int `json:"teams"`
	}
	if err := json.Unmarshal([]byte(s.String()), &got); err != nil {
		t.Fatal(err)
	}
	total := 0
	for _, codes := range got.Teams {
		total += codes["admitted"]
	}
	if _, ok := got.Teams["other"]; !ok || len(got.Teams) != 65 || total != 3000 {
		t.Errorf("%d names, %d requests: %v", len(got.Teams), total, got.Teams)
	}
}

// TestTeamShare guards against shares left that are lost or mixed up between teams and services, and against names without bound.
func TestTeamShare(t *testing.T) {
	s := New()
	for i := range 300 {
		team := fmt.Sprint("team-", i)
		s.CountTeamTokens(team, 10)
		s.SetTeamShareLeft(team, "plain", 0.25)
		s.SetTeamShareLeft(team, "model", float64(i))
	}
	var got struct {
		Teams map[string]map[string]float64 `json:"teams"`
	}
	if err := json.Unmarshal([]byte(s.String()), &got); err != nil {
		t.Fatal(err)
	}
	if m := got.Teams["team-5"]; m["tokens"] != 10 || m["shareLeft.plain"] != 0.25 || m["shareLeft.model"] != 5 {
		t.Errorf("team-5: %v", m)
	}
	if m := got.Teams["other"]; len(got.Teams) != 65 || len(m) != 1 || m["tokens"] != 2360 {
		t.Errorf("%d names, other: %v", len(got.Teams), m)
	}
}
