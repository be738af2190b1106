package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

// brittleRegion is a region of gateways in virtual time before brittle endpoints, which reject what they have no slot for.
type brittleRegion struct {
	placers []*placer
	v       *view
	route   *routes.Route
	service *routes.Service
	rng     *rand.Rand
	// slots is the number of slots of each endpoint, and bears the number of rejections a second above which it crashes.
	slots int
	bears float64
	now   time.Time
	// running holds the requests in progress at each endpoint, and rejections when each rejected one.
	running    map[string]int
	rejections map[string][]time.Time
	ends       []brittleEnd
	reports    []brittleReports
	// taken holds the longest time that a request takes; most take a tenth of it.
	taken time.Duration
}

type brittleEnd struct {
	at       time.Time
	attempt  *attempt
	endpoint string
}

type brittleReports struct {
	at  time.Time
	all []*wiregen.OutstandingReport
}

func newBrittleRegion(t *testing.T, gateways, endpoints, slots int, bears float64) *brittleRegion {
	t.Helper()
	b := &brittleRegion{
		rng: rand.New(rand.NewPCG(3, 4)), slots: slots, bears: bears, now: time.Unix(1000, 0), taken: 3 * time.Second,
		running: map[string]int{}, rejections: map[string][]time.Time{},
	}
	var names []string
	for i := range endpoints {
		names = append(names, fmt.Sprint("e-", i))
	}
	all := modelEndpoints(names...)
	for i := range all {
		all[i].Slots, all[i].Born = slots, int64(i)
	}
	b.placers, b.v, b.route, b.service = newPlacers(t, gateways, all...)
	return b
}

// run offers a rate of requests a second for some time. Reports take their time to arrive.
func (b *brittleRegion) run(d time.Duration, rate float64, reportPeriod, reportDelay time.Duration) {
	const step = 10 * time.Millisecond
	for end, i := b.now.Add(d), 0; b.now.Before(end); i++ {
		b.now = b.now.Add(step)
		b.finish()
		for len(b.reports) > 0 && !b.now.Before(b.reports[0].at) {
			for _, p := range b.placers {
				for _, m := range b.reports[0].all {
					p.updatePeer(b.now, m)
				}
			}
			b.reports = b.reports[1:]
		}
		for due := rate * step.Seconds(); due > 0; due-- {
			if b.rng.Float64() < due {
				b.request(b.placers[b.rng.IntN(len(b.placers))])
			}
		}
		if i%int(reportPeriod/step) == 0 {
			var all []*wiregen.OutstandingReport
			for _, p := range b.placers {
				if m := p.loadReport(b.now, 1, i%100 == 0); m != nil {
					all = append(all, m)
				}
			}
			b.reports = append(b.reports, brittleReports{at: b.now.Add(reportDelay), all: all})
		}
	}
}

// finish ends the requests whose time has come.
func (b *brittleRegion) finish() {
	var left []brittleEnd
	for _, e := range b.ends {
		if e.at.After(b.now) {
			left = append(left, e)
			continue
		}
		b.running[e.endpoint]--
		e.attempt.end(b.now, succeeded)
	}
	b.ends = left
}

// request sends a request, and again elsewhere after a rejection.
func (b *brittleRegion) request(p *placer) {
	q := testQuery(b.route, b.service)
	for range 2 {
		d := p.decide(b.now, b.v, q)
		if d.verdict == capacity.Refuse {
			return
		}
		id := d.endpoint.ID
		q.tried[id] = true
		a := p.begin(b.now, "model", capacity.Work{}, d)
		p.recordVerdict(b.now, d.endpoint, Verdict{Brittle: Limit{Named: true, PerSecond: b.bears}})
		if b.running[id] < b.slots {
			b.running[id]++
			took := b.taken / 10
			if b.rng.IntN(5) == 0 {
				took = b.taken
			}
			a.recordFirst(b.now)
			b.ends = append(b.ends, brittleEnd{at: b.now.Add(took), attempt: a, endpoint: id})
			return
		}
		b.rejections[id] = append(b.rejections[id], b.now)
		a.end(b.now, rejected)
	}
}

// mostRejections returns the largest number of requests that an endpoint rejected in a second from a time on.
func (b *brittleRegion) mostRejections(from time.Time) int {
	most := 0
	for _, all := range b.rejections {
		for i, first := range all {
			n := 0
			for _, at := range all[i:] {
				if at.Sub(first) < time.Second {
					n++
				}
			}
			if !first.Before(from) {
				most = max(most, n)
			}
		}
	}
	return most
}

// brittleCase is a region of gateways before brittle endpoints.
type brittleCase struct {
	gateways, endpoints, slots int
	bears                      float64
}

func (c brittleCase) String() string {
	return fmt.Sprintf("%d gateways, %d endpoints of %d slots that bear %v", c.gateways, c.endpoints, c.slots, c.bears)
}

func brittleCases() []brittleCase {
	return []brittleCase{{1, 2, 6, 1}, {3, 1, 6, 2}, {3, 5, 128, 3}, {8, 2, 16, 1}, {8, 4, 64, 0}, {64, 8, 16, 2.5}, {64, 4, 64, 5}, {300, 16, 16, 4}}
}

// overload sends the region 1.5 times what its endpoints serve, and returns it with the time from which on the endpoints count.
func (c brittleCase) overload(t *testing.T) (b *brittleRegion, from time.Time) {
	t.Helper()
	b = newBrittleRegion(t, c.gateways, c.endpoints, c.slots, c.bears)
	period, delay := 100*time.Millisecond, 50*time.Millisecond
	if c.gateways >= 300 {
		period = 200 * time.Millisecond
	}
	// The mean time of a request is 0.28 of the longest one.
	capacityPerSecond := float64(c.endpoints*c.slots) / (0.28 * b.taken.Seconds())
	b.run(connectivityWindow, capacityPerSecond/2, period, delay)
	from = b.now
	b.run(2*time.Second, capacityPerSecond, period, delay)
	b.run(6*time.Second, 1.5*capacityPerSecond, period, delay)
	return b, from
}

// TestBrittleEndpointsRejectedMore sends brittle endpoints more requests than they have slots, through few or many gateways: from the
// window on no endpoint rejects more in any second than it bears.
func TestBrittleEndpointsRejectedMore(t *testing.T) {
	for _, c := range brittleCases() {
		t.Run(c.String(), func(t *testing.T) {
			b, from := c.overload(t)
			n := b.mostRejections(from)
			t.Logf("%d rejections in a second at most", n)
			if float64(n) > c.bears {
				t.Errorf("%d rejections in a second", n)
			}
		})
	}
}

// TestBrittleSlotsUnused has the same load: at least half of the slots are in use at its end.
func TestBrittleSlotsUnused(t *testing.T) {
	for _, c := range brittleCases() {
		t.Run(c.String(), func(t *testing.T) {
			b, _ := c.overload(t)
			used := 0
			for _, n := range b.running {
				used += n
			}
			if all := c.endpoints * c.slots; used < all/2 {
				t.Errorf("%d of %d slots are used", used, all)
			}
		})
	}
}

// TestBrittleReportedToAll has one gateway receive answers in which an endpoint is brittle and, later, no longer is: load reports carry
// both to other gateways, and a text that is no number changes nothing.
func TestBrittleReportedToAll(t *testing.T) {
	now := time.Unix(1000, 0)
	placers, v, _, _ := newPlacers(t, 2, modelEndpoints("a")...)
	e := v.endpoints["model"][0]
	tell := func() {
		if m := placers[0].loadReport(now, 1, false); m != nil {
			placers[1].updatePeer(now, m)
		}
	}
	for _, c := range []struct {
		said  Limit
		named bool
		bears float64
	}{
		{Limit{Named: true, PerSecond: 2.5}, true, 2.5},
		{Limit{Invalid: `"many"`}, true, 2.5},
		{Limit{Named: true, PerSecond: 1}, true, 1},
		{Limit{}, false, 0},
	} {
		now = now.Add(time.Second)
		placers[0].recordVerdict(now, e, Verdict{Brittle: c.said})
		tell()
		for i, p := range placers {
			b := p.state(&fleet.Endpoint{ID: e.ID, Born: e.Born}).brittle
			if b.rejections.named != c.named || c.named && b.rejections.perSecond != c.bears {
				t.Errorf("gateway %d after %+v: %v, %v", i, c.said, b.rejections.named, b.rejections.perSecond)
			}
		}
	}
	if s := placers[1].state(&e); !placers[1].mayStart(now, &e, s, 1000, 0, 2) {
		t.Error("an endpoint that no longer is brittle gets nothing")
	}
}
