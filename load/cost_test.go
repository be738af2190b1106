package load

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"arbutusreel/standin"
)

// TestMeter measures an engine that is killed and restarts during the measurement: its work before the restart counts,
// and its work before the baseline does not.
func TestMeter(t *testing.T) {
	uses := []standin.Use{
		{Up: 100, Busy: 50, Held: 40, Preempted: 3, MostTokens: 70, PricePerHour: 7200},
		{Up: 104, Busy: 52, Held: 41, Preempted: 4, MostTokens: 80, PricePerHour: 7200},
		{Up: 1, Busy: 1, Held: 0.5, Preempted: 1, MostTokens: 20, PricePerHour: 7200},
	}
	next := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(uses[next])
		next++
	}))
	defer server.Close()
	m := newMeter([]string{server.Listener.Addr().String()}, server.Client())
	for i := range uses {
		m.poll(t.Context(), i == 0)
	}
	m.sum.IdleShare, m.sum.ServedTokens = 0.25, 2000
	want := EngineUse{Up: 5, Busy: 3, Held: 1.5, FleetPrice: 10, HeldPrice: 3, IdleShare: 0.25, ServedTokens: 2000,
		Preempted: 2, MostTokens: 80}
	if diff := cmp.Diff(want, m.sum, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
		t.Error(diff)
	}
	if m.sum.CostPerThousand() != 2 || m.sum.FleetPerThousand() != 5 || (EngineUse{}).CostPerThousand() != 0 {
		t.Errorf("cost %v, of the fleet %v", m.sum.CostPerThousand(), m.sum.FleetPerThousand())
	}
}

// TestSummarize combines the reports of two seeds: the total cost is weighted by tokens, and the served share by
// requests.
func TestSummarize(t *testing.T) {
	var reports [][]byte
	for seed, held := range []float64{1, 5} {
		r := NewResult("m")
		for range 3 * (seed + 1) {
			r.record(Mix{}, outcome{text: "a", tokens: 1000}, "a")
		}
		r.record(Mix{}, outcome{failure: failureCut}, "a")
		use := EngineUse{HeldPrice: held, FleetPrice: 2 * held, ServedTokens: r.ServedTokens, Preempted: 1}
		b, err := EncodeReport("e", uint64(seed+1), []TargetResult{{Target: "t", Mixes: []Result{r}, Use: use}})
		if err != nil {
			t.Fatal(err)
		}
		reports = append(reports, b)
	}
	s, err := Summarize(reports)
	want := Summary{Name: "e", Rows: []SummaryRow{
		{Target: "t", Seed: 1, ServedShare: 3.0 / 4, CostPerThousand: 1.0 / 3, FleetPerThousand: 2.0 / 3, Preempted: 1},
		{Target: "t", Seed: 2, ServedShare: 6.0 / 7, CostPerThousand: 5.0 / 6, FleetPerThousand: 10.0 / 6, Preempted: 1},
		{Target: "t", ServedShare: 9.0 / 11, CostPerThousand: 6.0 / 9, FleetPerThousand: 12.0 / 9, Preempted: 2},
	}}
	if diff := cmp.Diff(want, s, cmpopts.EquateApprox(0, 1e-9)); err != nil || diff != "" {
		t.Errorf("error %v, %s", err, diff)
	}
	if _, err := s.Encode(); err != nil {
		t.Error(err)
	}
}
