package load

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"arbutusreel/wire"
)

func TestArrivals(t *testing.T) {
	m := Mix{Name: "m", PerSecond: 100, Count: 200, AbandonShare: 0.5, Prefixes: 2, PrefixBytes: 64}
	first := m.arrivals(1, 0)
	if diff := cmp.Diff(first, m.arrivals(1, 0), cmp.AllowUnexported(arrival{})); diff != "" {
		t.Errorf("the same seed gives different arrivals: %s", diff)
	}
	if cmp.Equal(first, m.arrivals(2, 0), cmp.AllowUnexported(arrival{})) {
		t.Error("another seed gives the same arrivals")
	}
	prefixes := map[string]int{}
	abandoned := 0
	for _, a := range first {
		prefixes[a.prompt[:64]]++
		if a.abandonAfter > 0 {
			abandoned++
		}
	}
	if len(prefixes) != 2 || abandoned < 60 || abandoned > 140 {
		t.Errorf("%d prefixes, %d of %d abandoned", len(prefixes), abandoned, len(first))
	}
}

func TestRecord(t *testing.T) {
	m := Mix{Patience: time.Second, Weight: 2, MaxTokens: 100}
	r := NewResult("m")
	r.record(m, outcome{text: "right", tokens: 10, finish: time.Millisecond}, "right")
	r.record(m, outcome{text: "right", finish: 2 * time.Second}, "right")
	r.record(m, outcome{text: "other"}, "right")
	r.record(m, outcome{failure: failureCut}, "right")
	r.record(m, outcome{abandoned: true, correlationID: "a", abandonedAt: time.UnixMicro(7)}, "right")
	sum := r.Merge(r)
	got := []any{sum.Sent, sum.Whole, sum.Wrong, sum.Abandoned, sum.Failed[failureCut], sum.AskedTokens, sum.UsedTokens,
		sum.ServedShare(), sum.AbandonedAt["a"]}
	if diff := cmp.Diff([]any{10, 4, 2, 2, 2, 1000, 20, 0.25, int64(7)}, got); diff != "" {
		t.Error(diff)
	}
}

func TestDecodeExperiment(t *testing.T) {
	e, err := DecodeExperiment([]byte(
		`{"name":"e","seed":"3","mixes":[{"name":"m","perSecond":2,"count":"4","patienceMillis":"1500"}]}`))
	want := Experiment{Name: "e", Rounds: 1, Config: Config{Seed: 3, Mixes: []Mix{
		{Name: "m", PerSecond: 2, Count: 4, Patience: 1500 * time.Millisecond},
	}}}
	if diff := cmp.Diff(want, e); err != nil || diff != "" {
		t.Errorf("error %v, %s", err, diff)
	}
	var unknown *wire.UnknownFieldError
	if _, err := DecodeExperiment([]byte(`{"rate":1}`)); !errors.As(err, &unknown) {
		t.Errorf("error %v", err)
	}
	var target *TargetError
	if _, err := ParseTarget("127.0.0.1:1"); !errors.As(err, &target) {
		t.Errorf("error %v", err)
	}
}
