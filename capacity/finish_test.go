package capacity

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// paced returns endpoints of the given paces, each observed often.
func paced(paces ...float64) []Candidate {
	all := candidates(len(paces))
	for i, pace := range paces {
		all[i].Slots, all[i].Decode = 64, DecodeEstimate{Factor: pace, Count: 1000, Deviations: 19, Observed: 100}
	}
	return all
}

// streamWork is a request with the given number of output tokens that must not pause for more than 400 ms.
func streamWork(output int64) Work {
	return Work{
		PromptTokens: 4000, OutputTokens: output, Stream: Stream{Gap: 400 * time.Millisecond, EventTokens: 10, Remaining: 12 * time.Second},
	}
}

// TestEqualPacesChooseAsBefore draws loads of endpoints whose paces differ by no more than the error of observations: the
// choice and its cost must be those without targets for the stream.
func TestEqualPacesChooseAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := paced(make([]float64, rapid.IntRange(1, 12).Draw(t, "endpoints"))...)
		usual := rapid.Float64Range(0.3, 5).Draw(t, "usual")
		for i := range all {
			requests := rapid.IntRange(0, 80).Draw(t, "requests")
			all[i].Decode.Factor = usual * rapid.Float64Range(0.95, 1.05).Draw(t, "pace")
			all[i].Busy = rapid.Float64Range(0, 1).Draw(t, "busy")
			all[i].Outstanding = Outstanding{Requests: requests, PromptTokens: Backlog{rapid.Int64Range(0, 50_000).Draw(t, "prompts")}}
		}
		w := streamWork(rapid.Int64Range(1, 1100).Draw(t, "output"))
		plain, draw := w, rapid.Float64Range(0, 0.999).Draw(t, "draw")
		plain.Stream = Stream{}
		got, _ := Choose(all, w, NewSpeed(), 0, time.Second, draw)
		want, _ := Choose(all, plain, NewSpeed(), 0, time.Second, draw)
		if got.Index != want.Index || got.Cost != want.Cost {
			t.Fatalf("chose %d at %v, without targets %d at %v", got.Index, got.Cost, want.Index, want.Cost)
		}
	})
}

// TestLongAnswersTakeQuickEndpoints guards against long answers at endpoints whose pauses are too long for them, and
// against endpoints that get more requests than they bear.
func TestLongAnswersTakeQuickEndpoints(t *testing.T) {
	for name, c := range map[string]struct {
		output   int64
		requests [3]int
		want     int
	}{
		"long, idle":                     {700, [3]int{0, 0, 0}, 0},
		"long, quick and usual loaded":   {700, [3]int{20, 20, 0}, 0},
		"long, quick one has a queue":    {700, [3]int{90, 10, 0}, 1},
		"short, others have long queues": {20, [3]int{200, 150, 0}, 2},
		"short, many run at the slowest": {20, [3]int{5, 50, 50}, 0},
	} {
		all := paced(0.6, 1, 1.6)
		for i, n := range c.requests {
			all[i].Outstanding.Requests = n
			all[i].Busy = 0.3
			all[i].Outstanding.PromptTokens[0] = int64(n) * 100
		}
		if got, _ := Choose(all, streamWork(c.output), NewSpeed(), 0, time.Second, 0.5); got.Index != c.want {
			t.Errorf("%s: endpoint %d, want %d", name, got.Index, c.want)
		}
	}
}

// TestUnfinished guards against answers that run although no endpoint can complete them in time, and against a refusal
// while one can.
func TestUnfinished(t *testing.T) {
	w := streamWork(1000)
	for remaining, want := range map[time.Duration]bool{500 * time.Millisecond: true, 4 * time.Second: false, 0: false} {
		w.Stream.Remaining = remaining
		if got, _ := Choose(paced(0.6, 1.6), w, NewSpeed(), 0, time.Second, 0); got.Unfinished != want {
			t.Errorf("%v left: unfinished %v, end after %v", remaining, got.Unfinished, got.End)
		}
	}
}

// TestHarmfulIsRefused guards against long answers at endpoints that are so loaded that they cost the others more than they
// earn, and against a refusal while half of the slots are free.
func TestHarmfulIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		paces   []float64
		running int
		want    bool
	}{
		"uneven, loaded": {[]float64{1, 2}, 60, true}, "uneven, half free": {[]float64{1, 2}, 31, false}, "even, loaded": {[]float64{2, 2}, 60, false},
	} {
		all := paced(c.paces...)
		for i := range all {
			all[i].Outstanding.Requests, all[i].Busy = c.running, 0.8
		}
		if got, _ := Choose(all, streamWork(700), NewSpeed(), 0, time.Second, 0); got.Harmful != c.want {
			t.Errorf("%s: harmful %v at endpoint %d, cost %v", name, got.Harmful, got.Index, got.Cost)
		}
	}
}

// TestUnknownEndpointIsTried guards against a crowd of requests at an endpoint of unknown pace beside known ones, and against
// one that is never tried.
func TestUnknownEndpointIsTried(t *testing.T) {
	all := paced(0.6, 1, 1.6, 1)
	all[3].Decode = DecodeEstimate{Factor: 1}
	for range 80 {
		got, _ := Choose(all, streamWork(300), NewSpeed(), 0, time.Second, 0.5)
		all[got.Index].Outstanding = all[got.Index].Outstanding.Plus(streamWork(300).Load(4000))
	}
	if n := all[3].Outstanding.Requests; n < 1 || n > 2*triedRequests {
		t.Errorf("%d requests at the unknown endpoint", n)
	}
}

// TestLengths guards against answers that are expected as long as hints say that are always wrong.
func TestLengths(t *testing.T) {
	var l Lengths
	if got := l.Expected(100, 0); got != 100 {
		t.Errorf("%d tokens before the first answer", got)
	}
	for range 1000 {
		l = l.With(100, 200)
	}
	if got, bounded := l.Expected(300, 0), l.Expected(300, 400); got < 580 || got > 600 || bounded != 400 {
		t.Errorf("%d tokens, bounded %d", got, bounded)
	}
}

// TestDecodePace guards against single pauses and false reports that change the estimate of an endpoint's pace, and against
// sums that differ from what one gateway would have learned alone.
func TestDecodePace(t *testing.T) {
	now := time.Unix(1000, 0)
	const usual = 5 * time.Millisecond
	var alone, sum, lying DecodePace
	for i := range 200 {
		at := now.Add(time.Duration(i) * 50 * time.Millisecond)
		alone = alone.With(at, usual, usual*16/10)
		sum = sum.Plus(at, DecodePace{}.With(at, usual, usual*16/10))
		lying = lying.WithReported(at, 1e-9, lying.Now(at).SlowCount).WithReported(at, math.NaN(), 0).WithReported(at, math.Inf(1), 100).
			With(at, usual, usual*16/10)
	}
	end := now.Add(10 * time.Second)
	for name, c := range map[string]struct {
		pace     DecodePace
		low, top float64
	}{
		"not observed": {DecodePace{}, 1, 1}, "one long pause": {DecodePace{}.With(end, usual, time.Minute), 1, 2.5},
		"slow": {alone, 1.55, 1.6}, "slow at many gateways": {sum, 1.55, 1.6}, "false reports": {lying, 1.45, 1.6},
		"removed": {sum.Minus(end, sum), 1, 1},
	} {
		if got := c.pace.Estimate(end).Factor; got < c.low || got > c.top {
			t.Errorf("%s: factor %.3f, want %v to %v", name, got, c.low, c.top)
		}
	}
	if later := alone.Estimate(end.Add(20 * time.Second)).Factor; later < 1.45 {
		t.Errorf("factor %.3f after 20 s without an observation", later)
	}
}

// TestDecodeSpeed checks that the usual times are learned although the observed endpoints have different paces.
func TestDecodeSpeed(t *testing.T) {
	var s DecodeSpeed
	for i := range 5000 {
		n, pace := i%50, []float64{0.6, 1, 1.6}[i%3]
		s = s.With(n, 0, pace, time.Duration(pace*float64(6*time.Millisecond+time.Duration(n)*200*time.Microsecond)))
	}
	for _, n := range []int{0, 20, 60} {
		want := 6*time.Millisecond + time.Duration(n)*200*time.Microsecond
		if got := s.TokenTime(n, 0); math.Abs(float64(got-want)) > 0.05*float64(want) {
			t.Errorf("%d running: %v, want %v", n, got, want)
		}
	}
}

// largeDecision returns the endpoints and the request whose decision has a target for its time.
func largeDecision() ([]Candidate, Work) {
	paces := make([]float64, 300)
	for i := range paces {
		paces[i] = []float64{0.6, 1, 1.6}[i%3]
	}
	return paced(paces...), streamWork(700)
}

// TestChooseTime holds the decision at 300 uneven endpoints to its target of 1 us without allocation.
func TestChooseTime(t *testing.T) {
	const target = time.Microsecond
	all, w := largeDecision()
	decide := func() { Choose(all, w, NewSpeed(), 0, time.Second, 0.5) }
	if n := testing.AllocsPerRun(100, decide); n > 0 {
		t.Errorf("%v allocations", n)
	}
	best := time.Hour
	for range 20 {
		start := time.Now()
		for range 100 {
			decide()
		}
		best = min(best, time.Since(start)/100)
	}
	if best > target {
		t.Errorf("a decision takes %v, more than %v", best, target)
	}
}

func BenchmarkChooseUneven(b *testing.B) {
	all, w := largeDecision()
	for name, work := range map[string]Work{"whole": w, "plain": {PromptTokens: w.PromptTokens, OutputTokens: w.OutputTokens}} {
		b.Run(fmt.Sprintf("%s/%d", name, len(all)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Choose(all, work, NewSpeed(), 0, time.Second, 0.5)
			}
		})
	}
}
