package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/membership"
	"arbutusreel/stream"
)

// recoveringRegion fails all requests until it has recovered, and then answers each after a second.
type recoveringRegion struct {
	mu        sync.Mutex
	recovered bool
	answered  int
	inFlight  int
	// maxInFlight is the highest number of concurrent requests before the first one was answered.
	maxInFlight int
}

func (f *recoveringRegion) ForwardModel(ctx context.Context, _ string, r Request, sink stream.Sink) (stream.End, error) {
	f.begin()
	defer f.end()
	f.mu.Lock()
	back := f.recovered
	f.mu.Unlock()
	if !back {
		return stream.End{}, context.DeadlineExceeded
	}
	if err := sleep(ctx, time.Second); err != nil {
		return stream.End{}, err
	}
	f.mu.Lock()
	f.answered++
	f.mu.Unlock()
	err := sink.Piece(stream.Piece{RequestID: r.CorrelationID, Text: "a"})
	return stream.End{FinishReason: "stop", Pieces: 1}, err
}

func (f *recoveringRegion) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight++
	if f.answered == 0 && f.recovered {
		f.maxInFlight = max(f.maxInFlight, f.inFlight)
	}
}

func (f *recoveringRegion) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
}

func (f *recoveringRegion) ForwardCall(context.Context, string, Request) (Reply, error) {
	return Reply{}, nil
}

// TestRegionReturnsWithOneProbe sends requests while a region's breaker is half open: only one may be in flight until
// one has been answered, and all are let through afterwards.
func TestRegionReturnsWithOneProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		region := &recoveringRegion{}
		view := staticView{inv: mustInventory(contents())}
		view.summaries = []membership.Summary{{Region: "karachi", Service: "menu-model", Models: []string{"dastarkhwan-menu"}, Endpoints: 8, Slots: 800, At: time.Now()}}
		d := New(Hop{Instance: "entry", Region: "lahore"}, view, nil, nil, region, expected(rand.NewPCG(1, 1)), time.Now, rand.NewPCG(1, 2), zerolog.Nop())
		time.Sleep(2 * discoveryTime)
		for i := range 3 {
			_, _ = run(d, request(fmt.Sprint("lost", i), 1, "plan", time.Minute))
		}
		region.mu.Lock()
		region.recovered = true
		region.mu.Unlock()
		time.Sleep(2 * time.Second)
		var wg sync.WaitGroup
		for range 4 {
			for i := range 20 {
				wg.Go(func() { _, _ = run(d, request(fmt.Sprint("back", i), 1, "plan", time.Minute)) })
			}
			time.Sleep(2 * time.Second)
		}
		wg.Wait()
		if region.maxInFlight != 1 || region.answered < 1+3*20 {
			t.Errorf("%d requests under way before the first answer, %d answered", region.maxInFlight, region.answered)
		}
	})
}
