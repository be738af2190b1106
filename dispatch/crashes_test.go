package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/crash"
	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/retry"
)

// TestPrefixCrashedEndpointsOneAfterTheOther has requests with one prefix crash each engine that begins to answer them. At most
// three more are sent to engines after the fifth crash.
func TestPrefixCrashedEndpointsOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := contents()
		c.Services[0].AllowedRegions = []string{"lahore"}
		engines := fleet(16, 8, 0)
		for _, g := range engines["lahore"] {
			g.crashPrefix = 3
		}
		w := newWorld(mustInventory(c), 1, engines, 2, expected)
		crashed := func() int {
			n := 0
			for _, g := range engines["lahore"] {
				if g.dead.Load() {
					n++
				}
			}
			return n
		}
		send := func(i int) {
			r := request(fmt.Sprint(i), 5, "plan", time.Minute)
			r.Prefixes = []uint64{1, 2, 3, uint64(100 + i)}
			_, _ = run(w.entry("lahore"), r)
			time.Sleep(200 * time.Millisecond)
		}
		for i := 0; crashed() < 5 && i < 20; i++ {
			send(i)
		}
		time.Sleep(6 * time.Second)
		before := crashed()
		for i := range 20 {
			send(100 + i)
		}
		if n := crashed() - before; n > 3 {
			t.Errorf("%d engines crashed after the first %d", n, before)
		}
	})
}

// TestCrashesSeenByManyInstances has a prefix crash engines of two regions before many instances, which exchange what they
// know: once they do, its requests reach no engine, and others are answered.
func TestCrashesSeenByManyInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := fleet(24, 8, 0)
		for _, region := range engines {
			for _, g := range region {
				g.crashPrefix = 3
			}
		}
		w := newWorld(mustInventory(contents()), 1, engines, 6, expected)
		exchange := func() {
			for _, a := range w.regions {
				for _, from := range a.dispatchers {
					facts, _ := from.CrashFacts()
					for _, b := range w.regions {
						for _, to := range b.dispatchers {
							to.AddCrashFacts(facts)
						}
					}
				}
			}
		}
		send := func(i int, prefixes ...uint64) error {
			r := request(fmt.Sprint(i), 5, "plan", time.Minute)
			r.Prefixes = slices.Concat(prefixes, []uint64{uint64(1000 + i)})
			_, err := run(w.regions[i%2].dispatchers[i%6], r)
			time.Sleep(200 * time.Millisecond)
			exchange()
			return err
		}
		crashed := func() int {
			n := 0
			for _, region := range engines {
				for _, g := range region {
					if g.dead.Load() {
						n++
					}
				}
			}
			return n
		}
		for i := range 12 {
			if err := send(i, 1, 2); err != nil {
				t.Fatal(err)
			}
		}
		for i := 0; crashed() < 5 && i < 20; i++ {
			_ = send(100+i, 1, 2, 3)
		}
		time.Sleep(6 * time.Second)
		exchange()
		before := crashed()
		for i := range 12 {
			if err := send(200+i, 1, 2, 3); crashed() == before && !isBlocked(err) {
				t.Errorf("not refused as blocked: %v", err)
			}
			if err := send(300+i, 1, 2); err != nil {
				t.Errorf("a sound request failed: %v", err)
			}
		}
		if n := crashed() - before; n > 3 {
			t.Errorf("%d engines crashed after the first %d", n, before)
		}
	})
}

// TestOneRequestCrashedAllEngines has a single request crash each engine that begins to answer it: it is not tried at more than
// two of them.
func TestOneRequestCrashedAllEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := fleet(10, 8, 0)
		w := newWorld(mustInventory(contents()), 1, engines, 1, expected)
		for _, g := range engines["lahore"] {
			g.crashPrefix = 3
		}
		d := w.entry("lahore")
		for i := range 40 {
			r := request(fmt.Sprint(i), 5, "plan", time.Minute)
			r.Prefixes = []uint64{1, 2, uint64(1000 + i)}
			_, _ = run(d, r)
		}
		r := request("bad", 5, "plan", time.Minute)
		r.Prefixes = []uint64{1, 2, 3, 4}
		_, err := run(d, r)
		n := 0
		for _, g := range engines["lahore"] {
			if g.dead.Load() {
				n++
			}
		}
		if err == nil || n > 2 {
			t.Errorf("%d engines crashed under one request: %v", n, err)
		}
	})
}

// TestBreakTakenForCrash has attempts break off at endpoints: only one that the check has found to have ended, or that has started
// again without having announced that it leaves, has crashed.
func TestBreakTakenForCrash(t *testing.T) {
	now := time.Unix(1000, 0)
	e := membership.Endpoint{Name: "e", Incarnation: 1}
	leaving, restarted := e, e
	leaving.Leaving = true
	restarted.Incarnation = 2
	r := Request{Service: "menu-model", Prefixes: []uint64{1, 2, 3}}
	broken := func(c *crashes) { c.recordAttempt(now, e, r, false, io.ErrUnexpectedEOF, retry.Doubtful) }
	for _, c := range []struct {
		name    string
		observe func(c *crashes)
		crashed bool
	}{
		{"goes on", func(c *crashes) { broken(c); c.observe(now, []membership.Endpoint{e}) }, false},
		{"refuses a connection", func(c *crashes) { broken(c); c.recordAttempt(now, e, r, false, errors.New("refused"), retry.Unreached) }, false},
		{"has ended by the check", func(c *crashes) { broken(c); c.endCheck(now, incarnationOf(e), true) }, true},
		{"goes on by the check", func(c *crashes) { broken(c); c.endCheck(now, incarnationOf(e), false) }, false},
		{"has ended by the check without a break", func(c *crashes) { c.endCheck(now, incarnationOf(e), true) }, false},
		{"refuses connections without a break", func(c *crashes) { c.recordAttempt(now, e, r, false, errors.New("refused"), retry.Unreached) }, false},
		{"listed no longer", func(c *crashes) { broken(c); c.observe(now, nil) }, false},
		{"listed again with a later start", func(c *crashes) { broken(c); c.observe(now, nil); c.observe(now, []membership.Endpoint{restarted}) }, true},
		{"started again", func(c *crashes) { broken(c); c.observe(now, []membership.Endpoint{restarted}) }, true},
		{"leaving", func(c *crashes) {
			broken(c)
			c.observe(now, []membership.Endpoint{leaving})
			c.observe(now, []membership.Endpoint{restarted})
		}, false},
		{"starts again much later", func(c *crashes) {
			broken(c)
			c.observe(now.Add(time.Minute), []membership.Endpoint{restarted})
		}, false},
		{"the answer had begun", func(c *crashes) {
			c.recordAttempt(now, e, r, true, io.ErrUnexpectedEOF, retry.Doubtful)
			c.observe(now, []membership.Endpoint{restarted})
		}, false},
		{"the engine answered with a failure", func(c *crashes) {
			c.recordAttempt(now, e, r, false, problem.New(problem.Internal, 500, "failed"), retry.Doubtful)
			c.observe(now, []membership.Endpoint{restarted})
		}, false},
		{"sound prefixes", func(c *crashes) { c.recordBegun(now, r); broken(c); c.observe(now, []membership.Endpoint{restarted}) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := newCrashes()
			c.observe(all)
			if got := all.evidence.Len() > 0; got != c.crashed {
				t.Errorf("taken for a crash: %v", got)
			}
		})
	}
}

// crashingPlain is a plain service whose endpoints crash under calls with one body, and refuse connections from then on.
type crashingPlain struct {
	mu      sync.Mutex
	deadly  string
	crashed map[string]bool
	// reached counts the calls with that body.
	reached int
}

func (p *crashingPlain) Call(_ context.Context, e membership.Endpoint, r Request) (Reply, error) {
	time.Sleep(15 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashed[e.Name] {
		return Reply{}, syscall.ECONNREFUSED
	}
	if string(r.Body) != p.deadly {
		return Reply{Status: http.StatusOK}, nil
	}
	p.reached++
	p.crashed[e.Name] = true
	return Reply{}, io.ErrUnexpectedEOF
}

func (p *crashingPlain) RefusesConnections(_ context.Context, e membership.Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashed[e.Name]
}

func (p *crashingPlain) Connects(ctx context.Context, e membership.Endpoint) bool {
	return !p.RefusesConnections(ctx, e)
}

// TestCallCrashedEndpointsOneAfterTheOther has one call of a plain service, which comes again and again, crash each endpoint that
// gets it: after three crashes it reaches none, and calls with other bodies stay served.
func TestCallCrashedEndpointsOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plain := &crashingPlain{deadly: "deadly", crashed: map[string]bool{}}
		view := staticView{inv: mustInventory(contents())}
		for i := range 8 {
			view.endpoints = append(view.endpoints, membership.Endpoint{Name: fmt.Sprint("desk-", i), Region: "lahore", Service: "club-desk", Slots: 4})
		}
		d := New(Hop{Instance: "entry", Region: "lahore"}, view, nil, plain, nil, expected(rand.NewPCG(1, 1)), time.Now, rand.NewPCG(1, 2), zerolog.Nop())
		call := func(body string) error {
			_, err := d.Call(t.Context(), Request{Service: "club-desk", Class: "dish", Team: "lahore-club", Path: "/orders", Body: []byte(body), Deadline: time.Now().Add(10 * time.Second)})
			return err
		}
		for range 10 {
			_ = call(plain.deadly)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		if err := call(plain.deadly); !isBlocked(err) {
			t.Errorf("not refused as blocked: %v", err)
		}
		if err := call("order"); err != nil {
			t.Errorf("a sound call failed: %v", err)
		}
		if plain.reached > crash.MinCrashes {
			t.Errorf("%d endpoints crashed", plain.reached)
		}
	})
}
