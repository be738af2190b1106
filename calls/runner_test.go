package calls

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/dispatch"
	"arbutusreel/journal"
	"arbutusreel/ledger"
)

// localReplicas is a transport to replicas in the same process, by slot.
type localReplicas map[string]*Replica

func (g localReplicas) Handle(_ context.Context, slot string, m ledger.Request) (ledger.Reply, error) {
	return g[slot].Handle(m), nil
}

// countingSender answers every call with the number of calls so far.
type countingSender struct{ ran atomic.Int64 }

func (d *countingSender) Call(context.Context, dispatch.Request) (dispatch.Reply, error) {
	return dispatch.Reply{Status: 200, ContentType: "text/plain", Body: []byte(strconv.FormatInt(d.ran.Add(1), 10))}, nil
}

// newRunner returns a runner over three replicas in one epoch, which write journals if disks is true.
func newRunner(tb testing.TB, disks bool, mayStore bool) (*Runner, *countingSender, localReplicas) {
	tb.Helper()
	g := localReplicas{}
	slots := []string{"a", "b", "c"}
	group := NewGroup(slots, g)
	for _, slot := range slots {
		var log Log
		if disks {
			folder, err := journal.OpenFolder(tb.TempDir())
			if err != nil {
				tb.Fatal(err)
			}
			if log, _, err = journal.Open(folder, slot); err != nil {
				tb.Fatal(err)
			}
		}
		r := ledger.NewReplica(slot, group.Name(), slot, ledger.Limits{Retention: time.Hour, MaxCalls: 1 << 30})
		r.Adopt("epoch")
		g[slot] = NewReplica(slot, r, log, time.Now, func(err error) { tb.Error(err) })
	}
	d := &countingSender{}
	policy := func(dispatch.Request) bool { return mayStore }
	return New("a", group, d, policy, time.Hour, zerolog.Nop(), time.Now), d, g
}

func newRequest(key string) dispatch.Request {
	return dispatch.Request{
		Team: "club", Service: "desk", Method: "POST", Path: "/orders", Body: []byte("lentils"), IdempotencyKey: key,
		Deadline: time.Now().Add(time.Minute), Epoch: ledger.Token{Epoch: "epoch", Issued: time.Now()}.String(),
	}
}

// TestRunOnce checks that concurrent calls and a later one with the same key run once, and that an answer that may not
// be stored is in no replica.
func TestRunOnce(t *testing.T) {
	for _, mayStore := range []bool{true, false} {
		t.Run(fmt.Sprint("keeps ", mayStore), func(t *testing.T) {
			x, d, g := newRunner(t, false, mayStore)
			results := make(chan error, 20)
			for range cap(results) {
				go func() {
					_, err := x.Run(t.Context(), newRequest("k"))
					results <- err
				}()
			}
			for range cap(results) {
				<-results
			}
			again, err := x.Run(t.Context(), newRequest("k"))
			if mayStore && (err != nil || string(again.Body) != "1") {
				t.Errorf("the resent call was answered %q, %v", again.Body, err)
			}
			if !mayStore && (err == nil || again.Body != nil) {
				t.Errorf("an answer that may not be stored was given: %q, %v", again.Body, err)
			}
			for slot := range g {
				reply, _ := g.Handle(t.Context(), slot, ledger.Request{
					Op: ledger.OpRead, Group: x.group.Name(), Call: ledger.Record{Key: ledger.Key{Team: "club", Key: "k"}},
				})
				if !mayStore && len(reply.Call.Value.Outcome.Body) > 0 {
					t.Errorf("replica %s holds an answer that may not be stored", slot)
				}
			}
			if n := d.ran.Load(); n != 1 {
				t.Errorf("the call ran %d times", n)
			}
		})
	}
}

// BenchmarkRun measures a call from claim to recorded ending over three replicas in one process.
func BenchmarkRun(b *testing.B) {
	for _, disks := range []bool{false, true} {
		b.Run(fmt.Sprint("disks=", disks), func(b *testing.B) {
			x, _, _ := newRunner(b, disks, true)
			i := 0
			for b.Loop() {
				i++
				if _, err := x.Run(b.Context(), newRequest(strconv.Itoa(i))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkReplica measures a claim and an ending on one replica that holds n calls, and the heap bytes per call.
func BenchmarkReplica(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint("calls=", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := ledger.NewReplica("a", "a", "a", ledger.Limits{Retention: time.Hour, MaxCalls: 1 << 30})
			r.Adopt("epoch")
			call := func(i int) {
				c := ledger.Record{
					Key:    ledger.Key{Team: "club", Key: strconv.Itoa(i)},
					Digest: fmt.Sprintf("%064d", i), Attempt: fmt.Sprintf("%026d", i),
				}
				r.Handle(time.Now(), ledger.Request{Op: ledger.OpClaim, Group: "a", Epoch: "epoch", Call: c})
				c.Value = ledger.Value{
					Ending:  ledger.Completed,
					Outcome: ledger.Outcome{Status: 200, Body: make([]byte, 256), Kept: true},
				}
				r.Handle(time.Now(), ledger.Request{Op: ledger.OpAccept, Group: "a", Epoch: "epoch", Call: c})
				r.Changes()
			}
			for i := range n {
				call(i)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			i := n
			for b.Loop() {
				i++
				call(i)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heapB/call")
		})
	}
}
