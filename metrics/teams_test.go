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
