package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"arbutusreel/clock"
	"arbutusreel/standin"
)

// Limits of asking the engines for their use.
const (
	meterPeriod  = 100 * time.Millisecond
	meterTimeout = time.Second
)

// Units of prices.
const (
	secondsPerHour    = 3600
	tokensPerThousand = 1000
)

// EngineUse is what the engines of a target did and cost from the beginning of the load to its last answer; times are
// sums over engines in seconds.
type EngineUse struct {
	// Up is the time for which engines ran, Busy that in which any request ran, and Held that weighed by the share of the
	// engine that requests held.
	Up, Busy, Held float64
	// FleetPrice is the price of Up, and HeldPrice that of Held.
	FleetPrice, HeldPrice float64
	// IdleShare is the share of the engines that is kept free.
	IdleShare float64
	// ServedTokens are the tokens of the requests served whole within the patience.
	ServedTokens int
	Preempted    int64
	MostTokens   int64
}

// CostPerThousand returns the price of the engines' time that is held, and of the idle share that is added to it, for
// a thousand served tokens.
func (u EngineUse) CostPerThousand() float64 { return u.perThousand(u.HeldPrice / (1 - u.IdleShare)) }

// FleetPerThousand returns the price of the whole fleet's time for a thousand served tokens.
func (u EngineUse) FleetPerThousand() float64 { return u.perThousand(u.FleetPrice) }

func (u EngineUse) perThousand(price float64) float64 {
	if u.ServedTokens == 0 {
		return 0
	}
	return price * tokensPerThousand / float64(u.ServedTokens)
}

// add returns the sum of two uses.
func (u EngineUse) add(other EngineUse) EngineUse {
	u.Up += other.Up
	u.Busy += other.Busy
	u.Held += other.Held
	u.FleetPrice += other.FleetPrice
	u.HeldPrice += other.HeldPrice
	u.ServedTokens += other.ServedTokens
	u.Preempted += other.Preempted
	u.MostTokens = max(u.MostTokens, other.MostTokens)
	return u
}

// writeTable writes the use, if any engine was asked.
func (u EngineUse) writeTable(w io.Writer) error {
	if u.Up == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "engines: up %.1f s, busy %.1f s, held %.1f s, put back %d, most KV tokens %d, served tokens %d, cost of 1000 %.5f, of the fleet %.5f\n",
		u.Up, u.Busy, u.Held, u.Preempted, u.MostTokens, u.ServedTokens, u.CostPerThousand(), u.FleetPerThousand())
	return err
}

// meter asks engines for their use again and again, so that what a killed engine did is not lost.
type meter struct {
	client  *http.Client
	engines []string
	mu      sync.Mutex
	last    map[string]standin.Use
	sum     EngineUse
}

func newMeter(engines []string, client *http.Client) *meter {
	return &meter{client: client, engines: engines, last: map[string]standin.Use{}}
}

// begin starts to measure; stop ends it and returns the use in between.
func (m *meter) begin(ctx context.Context) (stop func() EngineUse) {
	m.ask(ctx, true)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for len(m.engines) > 0 && clock.Sleep(ctx, meterPeriod) {
			m.ask(ctx, false)
		}
	}()
	return func() EngineUse {
		cancel()
		<-done
		m.ask(context.WithoutCancel(ctx), false)
		return m.sum
	}
}

// ask asks each engine once; the first time only sets what is counted from.
func (m *meter) ask(ctx context.Context, first bool) {
	ctx, cancel := context.WithTimeout(ctx, meterTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range m.engines {
		wg.Go(func() {
			if use, ok := m.read(ctx, address); ok {
				m.note(address, use, first)
			}
		})
	}
	wg.Wait()
}

func (m *meter) read(ctx context.Context, address string) (use standin.Use, ok bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/use", nil)
	if err != nil {
		return use, false
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return use, false
	}
	defer resp.Body.Close()
	return use, json.NewDecoder(resp.Body).Decode(&use) == nil
}

// note adds what an engine did since the last answer; one that is up for less than before has started anew.
func (m *meter) note(address string, use standin.Use, first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.last[address]
	m.last[address] = use
	if first {
		return
	}
	if use.Up < last.Up {
		last = standin.Use{}
	}
	price := use.PricePerHour / secondsPerHour
	m.sum = m.sum.add(EngineUse{
		Up:         use.Up - last.Up,
		Busy:       use.Busy - last.Busy,
		Held:       use.Held - last.Held,
		FleetPrice: (use.Up - last.Up) * price,
		HeldPrice:  (use.Held - last.Held) * price,
		Preempted:  use.Preempted - last.Preempted,
		MostTokens: use.MostTokens,
	})
}
