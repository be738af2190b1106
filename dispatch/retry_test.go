package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/membership"
)

// TestAttemptsKeepBudget fails most first attempts: retries must stay within their share of first attempts and the
// reserve.
func TestAttemptsKeepBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := contents()
		c.Services[0].AllowedRegions = []string{"lahore"}
		engines := fleet(8, 8, 0)
		for _, g := range engines["lahore"] {
			g.failsFirst = func(r Request) bool {
				return len(r.CorrelationID)%2 == 0 || r.CorrelationID[len(r.CorrelationID)-1]%2 == 0
			}
		}
		w := newWorld(mustInventory(c), 1, engines, 1, expected)
		const n = 200
		for i := range n {
			_, _ = run(w.entry("lahore"), request(fmt.Sprint(i), 5, "plan", time.Minute))
			time.Sleep(100 * time.Millisecond)
		}
		attempts := 0
		for _, g := range engines["lahore"] {
			attempts += g.requests
		}
		if attempts > n+n/10+3 {
			t.Errorf("%d attempts of %d requests", attempts, n)
		}
		t.Logf("%d attempts of %d requests", attempts, n)
	})
}

// TestRefusedConnections sends requests while most endpoints refuse connections but are still known: all requests
// must be answered.
func TestRefusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := fleet(10, 8, 0)
		for _, g := range engines["lahore"][1:] {
			g.dead.Store(true)
		}
		w := newWorld(mustInventory(contents()), 1, engines, 3, expected)
		var wg sync.WaitGroup
		for i := range 30 {
			wg.Go(func() {
				if _, err := run(w.entry("lahore"), request(fmt.Sprint(i), 5, "plan", time.Minute)); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
	})
}

type notSentError struct{}

func (notSentError) Error() string { return "not sent" }

func (notSentError) NotRun() bool { return true }

// scriptedPlain answers calls with the scripted errors, in order.
type scriptedPlain struct {
	script []error
	calls  int
}

func (s *scriptedPlain) RefusesConnections(context.Context, membership.Endpoint) bool { return false }

func (s *scriptedPlain) Connects(context.Context, membership.Endpoint) bool { return true }

func (s *scriptedPlain) Call(context.Context, membership.Endpoint, Request) (Reply, error) {
	s.calls++
	if s.calls <= len(s.script) && s.script[s.calls-1] != nil {
		return Reply{}, s.script[s.calls-1]
	}
	return Reply{Status: http.StatusOK}, nil
}

// TestCallRepeatsOnlyWhatDidNotRun checks that a call that may not be repeated is only tried again if the failed
// attempt did not run.
func TestCallRepeatsOnlyWhatDidNotRun(t *testing.T) {
	notSent, doubt := error(notSentError{}), context.DeadlineExceeded
	tests := []struct {
		name   string
		script []error
		calls  int
		err    error
	}{
		{"answered", nil, 1, nil},
		{"not sent, then answered", []error{notSent}, 2, nil},
		{"doubtful", []error{doubt}, 1, doubt},
		{"not sent, then doubtful", []error{notSent, doubt}, 2, doubt},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				plain := &scriptedPlain{script: tt.script}
				view := staticView{inv: mustInventory(contents())}
				for i := range 3 {
					view.endpoints = append(view.endpoints, membership.Endpoint{Name: fmt.Sprint("desk-", i), Region: "lahore", Service: "club-desk", Slots: 4})
				}
				d := New(Hop{Instance: "entry", Region: "lahore"}, view, nil, plain, nil, expected(rand.NewPCG(1, 1)), time.Now, rand.NewPCG(1, 2), zerolog.Nop())
				_, err := d.Call(t.Context(), Request{Service: "club-desk", Class: "dish", Deadline: time.Now().Add(10 * time.Second)})
				if !errors.Is(err, tt.err) || plain.calls != tt.calls {
					t.Errorf("%d calls, error %v", plain.calls, err)
				}
			})
		})
	}
}
