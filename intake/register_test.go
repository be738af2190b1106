package intake

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func never(string) bool { return false }

func open(t *testing.T, r *Register[string], name string, p Phase) *Entry[string] {
	t.Helper()
	e, _ := r.Open(name, never)
	if e == nil {
		t.Fatalf("%s is refused", name)
	}
	r.Enter(e, p)
	return e
}

// TestCallersShedBeforeSilentConnections guards against a full process that closes connections of ordinary callers while it
// holds some that sent nothing.
func TestCallersShedBeforeSilentConnections(t *testing.T) {
	r := New[string](Limits{Connections: 5})
	stalled := map[string]bool{"unread": true}
	for _, c := range []struct {
		name  string
		phase Phase
	}{{"serving", Serving}, {"unread", Serving}, {"kept", Idle}, {"older", Waiting}, {"newer", Waiting}} {
		open(t, r, c.name, c.phase)
	}
	for _, want := range []string{"older", "newer", "kept", "unread"} {
		e, closing := r.Open("caller", func(name string) bool { return stalled[name] })
		if e == nil || closing == nil || closing.Conn != want {
			t.Fatalf("closed %+v, want %s", closing, want)
		}
		r.Enter(e, Serving)
	}
	if e, closing := r.Open("caller", never); e != nil || closing != nil {
		t.Errorf("a request in progress was given up: %+v", closing)
	}
}

// TestNewConnectionStarved guards against connections that send request after request and never leave a place to others.
func TestNewConnectionStarved(t *testing.T) {
	r := New[string](Limits{Connections: 2})
	first, second := open(t, r, "first", Serving), open(t, r, "second", Serving)
	if e, _ := r.Open("caller", never); e != nil {
		t.Fatal("too many connections are open")
	}
	if !r.Enter(first, Idle) || r.Enter(second, Idle) {
		t.Error("not exactly one connection leaves its place after its request")
	}
	if e, closing := r.Open("caller", never); e == nil || closing != nil {
		t.Errorf("the place is not free: %+v", closing)
	}
}

// TestHeadsShedOldest guards against heads without end that keep out a caller's large head.
func TestHeadsShedOldest(t *testing.T) {
	r := New[string](Limits{HeadBytes: 100})
	served := open(t, r, "served", Waiting)
	r.GrowHead(served, 40)
	r.Enter(served, Serving)
	old := open(t, r, "old", Waiting)
	r.GrowHead(old, 50)
	caller := open(t, r, "caller", Waiting)
	if closing, grown := r.GrowHead(caller, 60); len(closing) != 1 || closing[0] != old || grown {
		t.Errorf("closed %v, grown %t, want the older head closed first", closing, grown)
	}
	if closing, grown := r.GrowHead(caller, 60); len(closing) != 0 || grown || r.HeadCost() != 90 {
		t.Errorf("closed %v, grown %t, %d bytes counted before the older head has ended", closing, grown, r.HeadCost())
	}
	r.Close(old)
	if closing, grown := r.GrowHead(caller, 60); len(closing) != 0 || !grown {
		t.Errorf("closed %v, grown %t after the older head has ended", closing, grown)
	}
	if closing, _ := r.GrowHead(caller, 70); len(closing) != 1 || closing[0] != caller {
		t.Errorf("closed %v, want the head that is too large beside the one in progress", closing)
	}
	r.Close(caller)
	r.Enter(served, Idle)
	if r.HeadCost() != 0 {
		t.Errorf("%d bytes are still counted", r.HeadCost())
	}
}

// TestBodiesShedOldest guards against unfinished bodies without bound that keep out a caller's body.
func TestBodiesShedOldest(t *testing.T) {
	r := New[string](Limits{HeadBytes: 100, BodyBytes: 100})
	whole := open(t, r, "whole", Waiting)
	r.GrowBody(whole, 40)
	r.Enter(whole, Serving)
	old := open(t, r, "old", Waiting)
	r.GrowHead(old, 10)
	r.GrowBody(old, 50)
	caller := open(t, r, "caller", Waiting)
	r.GrowHead(caller, 60)
	if closing, grown := r.GrowBody(caller, 60); len(closing) != 1 || closing[0] != old || grown {
		t.Errorf("closed %v, grown %t, want the older body closed first", closing, grown)
	}
	if r.BodyCost() != 90 || r.HeadCost() != 70 {
		t.Errorf("%d bytes of bodies and %d of heads are counted before the older request has ended", r.BodyCost(), r.HeadCost())
	}
	r.Close(old)
	if closing, grown := r.GrowBody(caller, 60); len(closing) != 0 || !grown || r.HeadCost() != 60 {
		t.Errorf("closed %v, grown %t after the older request has ended, %d bytes of heads", closing, grown, r.HeadCost())
	}
	if closing, _ := r.GrowBody(caller, 70); len(closing) != 1 || closing[0] != caller {
		t.Errorf("closed %v, want the body that is too large beside the whole one", closing)
	}
	r.Close(caller)
	r.Enter(whole, Idle)
	if r.BodyCost() != 0 || r.HeadCost() != 0 {
		t.Errorf("%d bytes of bodies and %d of heads are still counted", r.BodyCost(), r.HeadCost())
	}
}

// TestBodyCost guards against a bound that heartbeats count for, or that is less than a long routing configuration.
func TestBodyCost(t *testing.T) {
	heartbeat := Body{}.With([]byte(`{"service":"desk","address":"10.0.0.1:80","zone":"northwest-1","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1700000000000}`))
	if cost := heartbeat.Cost(); cost != 0 {
		t.Errorf("a heartbeat counts for %d bytes", cost)
	}
	limits := LimitsFor(4096, 256<<20)
	route := `{"name":"safe","host":"crowd.example","path_prefix":"/safe/","kind":"safe","timeout_ms":20000,"target_latency_ms":1000,"priority":1,"service":"desk","max_attempts":2},`
	if cost := (Body{}.With([]byte(strings.Repeat(route, 20000)))).Cost(); cost > limits.BodyBytes {
		t.Errorf("20,000 routes count for %d bytes, more than the bound %d of 256 MB", cost, limits.BodyBytes)
	}
	if cost := (Body{}.With([]byte(strings.Repeat("{},", 100000)))).Cost(); cost <= limits.BodyBytes {
		t.Errorf("100,000 empty objects count for %d bytes", cost)
	}
	if cost := (Body{}.With(make([]byte, 32<<20))).Cost(); cost > limits.BodyBytes {
		t.Errorf("a body of 32 MB counts for %d bytes, more than the bound %d of 256 MB", cost, limits.BodyBytes)
	}
}

func TestHeadCost(t *testing.T) {
	ordinary := Head{}.With([]byte(strings.Repeat("X-Header: value of a header\r\n", 20)))
	tiny := Head{}.With([]byte(strings.Repeat("a:\r\n", 4096)))
	if ordinary.Cost() != 0 {
		t.Errorf("an ordinary head counts for %d bytes", ordinary.Cost())
	}
	if limits := LimitsFor(0, 0); tiny.Cost() > limits.HeadBytes {
		t.Errorf("a head of 16 KB counts for %d bytes, more than the least bound %d", tiny.Cost(), limits.HeadBytes)
	}
}

// TestRegisterBounds checks with any sequence of events that the bounds hold and that the counts match the connections.
func TestRegisterBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Connections: rapid.IntRange(1, 8).Draw(t, "connections"), HeadBytes: 100, BodyBytes: 100}
		r := New[string](limits)
		open := map[*Entry[string]]Phase{}
		var givenUp []*Entry[string]
		drop := func(e *Entry[string]) {
			if e == nil {
				return
			}
			if _, ok := open[e]; !ok || !e.GivenUp() {
				t.Fatal("a connection was closed twice")
			}
			delete(open, e)
			givenUp = append(givenUp, e)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			known := make([]*Entry[string], 0, len(open))
			for e := range open {
				known = append(known, e)
			}
			action := rapid.IntRange(0, 4).Draw(t, "action")
			if action == 0 || len(known) == 0 {
				e, closing := r.Open("", func(string) bool { return false })
				drop(closing)
				if e != nil {
					open[e] = Waiting
				}
				continue
			}
			e := known[rapid.IntRange(0, len(known)-1).Draw(t, "entry")]
			switch action {
			case 1:
				open[e] = Phase(rapid.IntRange(0, int(phases)-1).Draw(t, "phase"))
				if r.Enter(e, open[e]) {
					drop(e)
				}
			case 2:
				p, grow := head, r.GrowHead
				if rapid.Bool().Draw(t, "body") {
					p, grow = body, r.GrowBody
				}
				cost := e.held[p].cost + rapid.Int64Range(1, 60).Draw(t, "cost")
				given, grown := grow(e, cost)
				if grown && (e.held[p].cost != cost || len(given) > 0) || !grown && !e.GivenUp() && len(given) == 0 && len(givenUp) == 0 {
					t.Fatalf("grown %t, costs %d of %d, %d connections given up", grown, e.held[p].cost, cost, len(given))
				}
				for _, closing := range given {
					if closing != e && open[closing] == Serving {
						t.Fatal("a request in progress was given up")
					}
					drop(closing)
				}
			case 3:
				r.Close(e)
				delete(open, e)
			case 4:
				for _, e := range givenUp {
					r.Close(e)
				}
				givenUp = nil
			}
			for p, cost := range [parts]int64{head: r.HeadCost(), body: r.BodyCost()} {
				held := int64(0)
				for e := range open {
					held += e.held[p].cost
				}
				for _, e := range givenUp {
					held += e.held[p].cost
				}
				if cost != held {
					t.Fatalf("%d bytes of part %d are counted, %d are held", cost, p, held)
				}
				if cost > limits.HeadBytes || cost < 0 {
					t.Fatalf("%d bytes of part %d", cost, p)
				}
			}
			if r.total() != len(open) || r.total() > limits.Connections {
				t.Fatalf("%d connections of %d", r.total(), len(open))
			}
		}
	})
}
