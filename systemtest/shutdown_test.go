package systemtest

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"arbutusreel/load"
)

const dishBody = `{"model":"dish-check","max_tokens":1,"messages":[{"role":"user","content":"salt?"}]}`

// underLoad sends streamed requests, non-streamed requests and calls to the entries until work returns, and checks that
// all of them were answered completely.
func (s *system) underLoad(work func()) {
	s.t.Helper()
	var seeds []string
	for _, e := range s.entries {
		seeds = append(seeds, e.caller)
	}
	base := load.Mix{Token: lahoreToken, Model: "dastarkhwan-menu", PerSecond: 20, Count: 20, MaxTokens: 256}
	streams, nonStreaming, calls := base, base, base
	streams.Name, streams.Stream = "streams", true
	nonStreaming.Name = "whole"
	calls.Name, calls.Model, calls.Service, calls.Class = "calls", "", "club-desk", "order"
	remote := streams
	remote.Name, remote.Model = "away", "dish-check"
	mixes := []load.Mix{streams, nonStreaming, calls, remote}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
		totals := make([]load.Result, len(mixes))
		for i, m := range mixes {
			totals[i] = load.NewResult(m.Name)
		}
		for seed := uint64(1); ; seed++ {
			cfg := load.Config{Entries: seeds, Discover: true, Seed: seed, KeyPrefix: "roll", Mixes: mixes}
			for i, r := range load.Run(s.t.Context(), cfg, client) {
				totals[i] = totals[i].Merge(r)
			}
			select {
			case <-done:
				s.checkResults(totals)
				return
			default:
			}
		}
	})
	work()
	close(done)
	wg.Wait()
}

// checkResults fails the test if a request was truncated, refused or answered incorrectly.
func (s *system) checkResults(results []load.Result) {
	for _, r := range results {
		var b bytes.Buffer
		_ = r.WriteTable(&b)
		s.t.Log(b.String())
		if r.Whole != r.Sent {
			s.t.Errorf("mix %s: %d of %d requests were answered completely, %d incorrectly, failed: %v", r.Mix, r.Whole, r.Sent, r.Wrong, r.Failed)
		}
	}
}

// TestRollingRestart restarts every entry, every control voter and every endpoint in turn under load.
func TestRollingRestart(t *testing.T) {
	s := newSystem(t, options{
		regions:          []string{"lahore", "karachi", "peshawar"},
		entriesPerRegion: 3,
		inventory:        lunchClubInventory,
		entryArgs:        []string{"--drainNotice", "1500ms", "--announcementLease", "1s"},
	})
	for _, name := range []string{"engine-a", "engine-b"} {
		s.engine(name, "lahore", "menu-model", "dastarkhwan-menu", "--slots", "32", "--tokenTime", "10ms")
	}
	for _, name := range []string{"engine-c", "engine-d"} {
		s.engine(name, "karachi", "menu-model", "dish-check", "--slots", "32", "--tokenTime", "10ms")
	}
	for _, name := range []string{"desk-a", "desk-b"} {
		s.service(name, "lahore", "club-desk")
	}
	s.until("plans and orders are answered", func() bool {
		for _, e := range s.entries[:3] {
			a := s.do(http.MethodPost, e.caller, orderPath, lahoreToken, "warm", "Idempotency-Key", "warm-"+e.name)
			dish := s.do(http.MethodPost, e.caller, chatPath, lahoreToken, dishBody)
			if !s.answersPlan(e, lahoreToken) || a.status != http.StatusOK || dish.status != http.StatusOK {
				return false
			}
		}
		return true
	})
	s.underLoad(func() {
		for _, e := range s.entries {
			e.stop()
			e.start()
			s.until(e.name+" is ready again", func() bool { return s.get(e.caller, "/readyz", "") == http.StatusOK })
		}
		for _, c := range s.controls {
			c.stop()
			c.start()
			s.until(c.name+" knows a leader again", func() bool {
				out, err := s.command("status", "--controls", c.operator)
				return err == nil && strings.Contains(out, `"leader": "control-`)
			})
		}
		for _, e := range s.endpoints {
			e.stop()
			e.start()
			s.until(e.name+" serves again", func() bool { return s.serves(e) })
		}
	})
}

// serves reports whether an endpoint of a plain service responds, or an engine has received a request.
func (s *system) serves(e *instance) bool {
	if s.get(e.caller, "/ran", "") == http.StatusOK {
		return true
	}
	return s.counts(e).Requests > 0
}

// TestEngineKilledUnderLoad kills and restarts each of two engines in turn, under load and with the default rules.
func TestEngineKilledUnderLoad(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore", "karachi"}, entriesPerRegion: 1, inventory: lunchClubInventory})
	for _, name := range []string{"engine-a", "engine-b"} {
		s.engine(name, "lahore", "menu-model", "dastarkhwan-menu", "--slots", "32", "--tokenTime", "10ms")
	}
	s.engine("engine-c", "karachi", "menu-model", "dish-check", "--slots", "32", "--tokenTime", "10ms")
	s.service("desk-a", "lahore", "club-desk")
	s.until("plans, dishes and orders are answered", func() bool {
		e := s.entries[0]
		order := s.do(http.MethodPost, e.caller, orderPath, lahoreToken, "warm", "Idempotency-Key", "warm")
		dish := s.do(http.MethodPost, e.caller, chatPath, lahoreToken, dishBody)
		return s.answersPlan(e, lahoreToken) && dish.status == http.StatusOK && order.status == http.StatusOK
	})
	s.underLoad(func() {
		time.Sleep(time.Second)
		for _, e := range s.endpoints[:2] {
			e.kill()
			e.start()
			s.until(e.name+" serves again", func() bool { return s.counts(e).Requests > 0 })
		}
	})
}

// TestDrain sends SIGTERM twice to an entry during a stream: the stream must be complete, and new requests must be
// refused with the outcome notRun.
func TestDrain(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore"}, entriesPerRegion: 1, inventory: lunchClubInventory})
	lahore := s.entries[0]
	s.engine("engine-a", "lahore", "menu-model", "dastarkhwan-menu", "--tokenTime", "50ms")
	s.until("a plan is answered", func() bool { return s.answersPlan(lahore, lahoreToken) })
	lines, body := s.openStream(t.Context(), lahore, lahoreToken, longPlanBody)
	defer body.Close()
	lahore.signal(syscall.SIGTERM)
	s.until("the entry reports that it is leaving", func() bool {
		a := s.do(http.MethodGet, lahore.caller, "/readyz", "", "")
		return a.status == http.StatusServiceUnavailable && strings.Contains(a.body, `"leaving":true`)
	})
	var a response
	s.until("new requests are refused", func() bool {
		a = s.do(http.MethodPost, lahore.caller, chatPath, lahoreToken, planBody)
		return a.status == http.StatusServiceUnavailable
	})
	if code, outcome := a.problemCode(); code != "stopping" || outcome != "notRun" || a.header.Get("Retry-After") == "" {
		t.Errorf("code %q, outcome %q, header %v", code, outcome, a.header)
	}
	lahore.signal(syscall.SIGTERM)
	response := readRemaining(lines)
	if got, complete := streamText(response); !complete || got != expectedText(longPlanBody) {
		t.Errorf("complete: %v, answer: %q", complete, response)
	}
	<-lahore.done
	if code := lahore.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the entry ended with exit code %d", code)
	}
}
