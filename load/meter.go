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

// Limits of polling the engines for their utilization.
const (
	pollPeriod  = 100 * time.Millisecond
	pollTimeout = time.Second
)

// Units of prices.
const (
	secondsPerHour    = 3600
	tokensPerThousand = 1000
)

// EngineUse is the utilization and cost of the engines of a target from the start of the load to its last answer; times
// are in seconds and summed over the engines.
type EngineUse struct {
	// Up is the time during which engines were up, Busy the time during which at least one request ran, and Held the time
	// weighted by the fraction of the engine that requests held.
	Up, Busy, Held float64
	// FleetPrice is the price of Up, and HeldPrice that of Held.
	FleetPrice, HeldPrice float64
	// IdleShare is the fraction of the engines that is kept free as headroom.
	IdleShare float64
	// ServedTokens is the number of tokens of the complete answers that finished within the patience.
	ServedTokens int
	Preempted    int64
	MostTokens   int64
}

// CostPerThousand returns the price per thousand served tokens of the engine time held, including the idle share kept
// free for it.
func (u EngineUse) CostPerThousand() float64 { return u.perThousand(u.HeldPrice / (1 - u.IdleShare)) }

// FleetPerThousand returns the price of the whole fleet's time per thousand served tokens.
func (u EngineUse) FleetPerThousand() float64 { return u.perThousand(u.FleetPrice) }

func (u EngineUse) perThousand(price float64) float64 {
	if u.ServedTokens == 0 {
		return 0
	}
	return price * tokensPerThousand / float64(u.ServedTokens)
}

// add returns the sum of two utilizations; MostTokens is the larger one.
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

// writeTable writes the utilization, if any engine was measured.
func (u EngineUse) writeTable(w io.Writer) error {
	if u.Up == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "engines: up %.1f s, busy %.1f s, held %.1f s, put back %d, most KV tokens %d, served tokens %d, cost of 1000 %.5f, of the fleet %.5f\n",
		u.Up, u.Busy, u.Held, u.Preempted, u.MostTokens, u.ServedTokens, u.CostPerThousand(), u.FleetPerThousand())
	return err
}

// meter polls engines for their utilization throughout the load, so that the work of an engine that is killed is still
// counted.
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

// start begins to measure; the returned function ends the measurement and returns the utilization in between.
func (m *meter) start(ctx context.Context) (stop func() EngineUse) {
	m.poll(ctx, true)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for len(m.engines) > 0 && clock.Sleep(ctx, pollPeriod) {
			m.poll(ctx, false)
		}
	}()
	return func() EngineUse {
		cancel()
		<-done
		m.poll(context.WithoutCancel(ctx), false)
		return m.sum
	}
}

// poll queries each engine once; the baseline poll only sets the values from which later ones are counted.
func (m *meter) poll(ctx context.Context, baseline bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range m.engines {
		wg.Go(func() {
			if use, ok := m.fetchUse(ctx, address); ok {
				m.record(address, use, baseline)
			}
		})
	}
	wg.Wait()
}

func (m *meter) fetchUse(ctx context.Context, address string) (use standin.Use, ok bool) {
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

// record adds what an engine did since its last reply; an uptime below the last one means that the engine has
// restarted.
func (m *meter) record(address string, use standin.Use, baseline bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.last[address]
	m.last[address] = use
	if baseline {
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
