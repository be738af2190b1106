package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestDecide checks each rule of a retry separately.
func TestDecide(t *testing.T) {
	deadline := start.Add(10 * time.Second)
	tests := []struct {
		name     string
		attempts Attempts
		failure  Failure
		now      time.Time
		want     Reason
	}{
		{"may be repeated", Attempts{Made: 1, Repeatable: true, Deadline: deadline}, Doubtful, start, Retry},
		{"may not be repeated", Attempts{Made: 1, Deadline: deadline}, Doubtful, start, NotRepeatable},
		{"did not run", Attempts{Made: 1, Deadline: deadline}, NotRun, start, Retry},
		{"final", Attempts{Made: 1, Repeatable: true, Deadline: deadline}, Final, start, FinalFailure},
		{"too many", Attempts{Made: maxAttempts, Repeatable: true, Deadline: deadline}, NotRun, start, TooMany},
		{"unreached costs no attempt", Attempts{Made: maxAttempts, Unreached: 1, Deadline: deadline}, Unreached, start, Retry},
		{"unreached too often", Attempts{Made: maxUnreached, Unreached: maxUnreached, Deadline: deadline}, Unreached, start, TooMany},
		{"unreached past the deadline", Attempts{Made: 1, Unreached: 1, Deadline: deadline}, Unreached, deadline, NoTime},
		{"past the deadline", Attempts{Made: 1, Repeatable: true, Deadline: deadline}, NotRun, deadline, NoTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, got := Decide(tt.now, tt.attempts, tt.failure, NewBudget[string](), "order", rand.New(rand.NewPCG(1, 1)))
			if got != tt.want {
				t.Errorf("%q, want %q", got, tt.want)
			}
		})
	}
}

// TestBudget checks that retries are at most the share of first attempts plus the reserve, and that none is delayed to
// its deadline or past it.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget[string]()
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		firsts, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "first") {
				b.First("order", share)
				firsts++
				continue
			}
			deadline := start.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "left")) * time.Millisecond)
			a := Attempts{Made: rapid.IntRange(1, 6).Draw(t, "made"), Repeatable: true, Deadline: deadline}
			delay, reason := Decide(start, a, Doubtful, b, "order", rng)
			if reason != Retry {
				continue
			}
			retries++
			if !start.Add(delay).Before(deadline) {
				t.Fatalf("retry after %v of %v", delay, deadline.Sub(start))
			}
		}
		if most := share*float64(firsts) + budgetReserve; float64(retries) > most {
			t.Fatalf("%d retries of %d first attempts at a share of %v", retries, firsts, share)
		}
	})
}

// TestResumes checks that resumes are at most one for each stream, the reserve, and what open streams earn, that a
// waiting stream is resumed in the end, and that none is resumed at or past its deadline.
func TestResumes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		r := NewResumes(now)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		open, opened, resumed, earned := 0, 0, 0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			gap := time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * time.Millisecond
			now = now.Add(gap)
			earned += gap.Seconds() * float64(open) * resumesPerSecond
			switch rapid.SampledFrom([]string{"open", "close", "resume", "resume", "resume"}).Draw(t, "event") {
			case "open":
				r.Open(now)
				open, opened = open+1, opened+1
			case "close":
				if open > 0 {
					r.Close(now)
					open--
				}
			default:
				deadline := now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "left")) * time.Millisecond)
				delay, reason := DecideResume(now, Attempts{Made: 1, WithoutProgress: 1, Deadline: deadline}, Doubtful, r, rng)
				if (reason == Retry || reason == Paced) && !now.Add(delay).Before(deadline) {
					t.Fatalf("%s after %v of %v", reason, delay, deadline.Sub(now))
				}
				if reason == Retry {
					resumed++
				}
				if most := float64(opened) + resumeReserve + earned; float64(resumed) > most+1e-6 {
					t.Fatalf("%d resumes, more than %v", resumed, most)
				}
			}
		}
		if open == 0 {
			return
		}
		wait := r.Wait(now)
		if !r.Take(now.Add(wait)) {
			t.Fatalf("no resume after the wait of %v", wait)
		}
	})
}

func TestRefusedConnectionOpensAtOnce(t *testing.T) {
	s := NewBreakers[string](rand.NewPCG(1, 1))
	if got := s.Unreached(start, "e"); got != Open {
		t.Errorf("state %v after a refused connection", got)
	}
	if got := s.Failed(start, "f"); got != Closed {
		t.Errorf("state %v after one failure", got)
	}
}

// TestProbes checks that at most one probe is in flight while a breaker is half open, that an unfinished probe does
// not block others for longer than probeTimeout, and that the late end of an earlier probe does not admit another one.
func TestProbes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewBreakers[string](rand.NewPCG(1, 1))
		now := start
		begun := map[Probe]time.Time{}
		var former []Probe
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond)
			state := s.State(now, "r")
			live := 0
			for _, at := range begun {
				if now.Sub(at) < probeTimeout {
					live++
				}
			}
			want := state == Closed || state == HalfOpen && live == 0
			if got := s.Allows(now, "r"); got != want {
				t.Fatalf("allows %v in state %v with %d probes in flight", got, state, live)
			}
			if want && state == HalfOpen {
				begun[s.Begin(now, "r")] = now
				continue
			}
			switch rapid.SampledFrom([]string{"unreached", "failed", "succeeded", "left", "late", "answered", "none"}).Draw(t, "event") {
			case "unreached":
				s.Unreached(now, "r")
			case "failed":
				s.Failed(now, "r")
			case "succeeded":
				s.Succeeded(now, "r")
			case "left":
				for p := range begun {
					s.End("r", p)
					delete(begun, p)
				}
			case "late":
				for _, p := range former {
					s.End("r", p)
					s.Answered(now, "r", p)
				}
			case "answered":
				for p := range begun {
					s.Answered(now, "r", p)
				}
			}
			for p := range begun {
				if now.Sub(begun[p]) >= probeTimeout || s.State(now, "r") == Closed {
					former = append(former, p)
					delete(begun, p)
				}
			}
		}
	})
}

// TestBreaker checks the states of a breaker against a simple model of its rules.
func TestBreaker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewBreakers[string](rand.NewPCG(1, 1))
		now, inRow := start, 0
		var openedAt time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond)
			before := s.State(now, "e")
			if before != Closed && now.Sub(openedAt) < firstOpenTime && before != Open {
				t.Fatalf("half open %v after it opened", now.Sub(openedAt))
			}
			if before == Open {
				continue
			}
			if rapid.Bool().Draw(t, "ok") {
				inRow = 0
				if got := s.Succeeded(now, "e"); got != Closed {
					t.Fatalf("state %v after a success", got)
				}
				continue
			}
			inRow++
			want := Closed
			if before == HalfOpen || inRow >= tripFailures {
				want, openedAt = Open, now
			}
			if got := s.Failed(now, "e"); got != want {
				t.Fatalf("state %v after %d failures in a row, want %v", got, inRow, want)
			}
		}
	})
}
