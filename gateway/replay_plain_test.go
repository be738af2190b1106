package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
)

// plainReplay offers requests to gateways in front of endpoints without engines, which reject what exceeds their slots and their
// queues, in simulated time.
type plainReplay struct {
	t         *testing.T
	placers   []*placer
	linked    []*linkedPlacer
	v         *view
	q         func() query
	rng       *rand.Rand
	now       time.Time
	slots     int
	taken     time.Duration
	queue     int
	running   map[string]int
	waiting   map[string][]*attempt
	ends      []plainEnd
	retries   []plainRetry
	asked     int
	served    int
	refused   int
	idle      int
	forwarded int
	arrivals  int
	rejected  int
}

type plainEnd struct {
	at       time.Time
	attempt  *attempt
	endpoint fleet.Endpoint
}

type plainRetry struct {
	at     time.Time
	placer *placer
	q      query
}

func newPlainReplay(t *testing.T, gateways, endpoints, slots int, taken time.Duration) *plainReplay {
	t.Helper()
	var all []fleet.Endpoint
	for i := range endpoints {
		all = append(all, fleet.Endpoint{ID: fmt.Sprintf("plain-%d", i), Born: 7, Service: "model", Slots: slots, State: fleet.Ready})
	}
	placers, v, r, s := newPlacers(t, gateways, all...)
	plain := *s
	plain.Engine = nil
	q := func() query {
		q := testQuery(r, &plain)
		q.work = capacity.Work{Bytes: 500}
		return q
	}
	return &plainReplay{
		t: t, placers: placers, linked: linkPlacers(placers), v: v, q: q, rng: rand.New(rand.NewPCG(5, 5)), now: replayStart, slots: slots, taken: taken, running: map[string]int{},
		waiting: map[string][]*attempt{},
	}
}

// run offers the rate of requests for a time.
func (b *plainReplay) run(rate float64, duration time.Duration) {
	const tick, period = time.Millisecond, 44 * time.Millisecond
	for end := b.now.Add(duration); b.now.Before(end); b.now = b.now.Add(tick) {
		b.end()
		for n := rate * tick.Seconds(); n > 0; n-- {
			if b.rng.Float64() < n {
				b.asked++
				b.send(b.placers[b.rng.IntN(len(b.placers))], b.q())
			}
		}
		due := b.retries
		b.retries = nil
		for _, r := range due {
			if r.at.After(b.now) {
				b.retries = append(b.retries, r)
				continue
			}
			b.send(r.placer, r.q)
		}
		now := b.now.Sub(replayStart)
		for i, l := range b.linked {
			phase := (period * time.Duration(i) / time.Duration(len(b.linked))).Truncate(time.Millisecond)
			if (now-phase)%period == 0 {
				l.report(b.now, (now-phase)%(period*30) == 0)
			}
		}
	}
}

func (b *plainReplay) end() {
	var kept []plainEnd
	for _, e := range b.ends {
		if e.at.After(b.now) {
			kept = append(kept, e)
			continue
		}
		b.running[e.endpoint.ID]--
		e.attempt.recordFirst(b.now)
		e.attempt.placer.recordVerdict(b.now, e.endpoint, Verdict{Load: b.load(e.endpoint.ID)})
		e.attempt.end(b.now, succeeded)
		b.served++
		if waiting := b.waiting[e.endpoint.ID]; len(waiting) > 0 {
			b.waiting[e.endpoint.ID] = waiting[1:]
			kept = append(kept, b.start(waiting[0]))
		}
	}
	b.ends = kept
}

// start begins to serve a request.
func (b *plainReplay) start(a *attempt) plainEnd {
	b.running[a.endpoint.ID]++
	took := time.Duration((0.5 + b.rng.Float64()) * float64(b.taken))
	return plainEnd{at: b.now.Add(took), attempt: a, endpoint: a.endpoint}
}

func (b *plainReplay) load(id string) Load {
	return Load{Known: true, Running: b.running[id], Waiting: len(b.waiting[id]), Slots: b.slots}
}

// send places a request, and places it again a moment after a rejection.
func (b *plainReplay) send(p *placer, q query) {
	if len(q.tried) >= maxAttempts {
		b.refused++
		return
	}
	d := p.decide(b.now, b.v, q)
	switch {
	case d.verdict == capacity.Refuse:
		b.refused++
		taken := 0
		for _, n := range b.running {
			taken += n
		}
		if 2*taken < b.slots*len(b.v.endpoints["model"]) {
			b.idle++
		}
		return
	case d.region != "":
		p.recordForward(b.now, d, true)
		b.forwarded++
		return
	}
	b.arrivals++
	id := d.endpoint.ID
	a := p.begin(b.now, "model", q.work, d)
	switch {
	case b.running[id] < b.slots:
		b.ends = append(b.ends, b.start(a))
		return
	case len(b.waiting[id]) < b.queue:
		b.waiting[id] = append(b.waiting[id], a)
		return
	}
	b.rejected++
	p.recordVerdict(b.now, d.endpoint, Verdict{Rejected: true, Load: b.load(id)})
	a.end(b.now, rejected)
	q.tried[id] = true
	b.retries = append(b.retries, plainRetry{at: b.now.Add(2 * time.Millisecond), placer: p, q: q})
}

func (b *plainReplay) log() {
	b.t.Logf("%d asked, %d served, %d refused (%d with free endpoints), %d forwarded; %d arrivals at endpoints, %d rejected (%.3f)",
		b.asked, b.served, b.refused, b.idle, b.forwarded, b.arrivals, b.rejected, float64(b.rejected)/float64(max(b.arrivals, 1)))
}

// TestReplayPlainEndpoints offers 84 gateways from 0.6 to 2 times what 6 endpoints of 6 slots serve. Placed by
// reported loads alone, which are older than a request takes, most attempts are rejected; dealing out the last slots leaves a fifth of
// these rejections, and refuses almost nothing while half of the slots are free.
func TestReplayPlainEndpoints(t *testing.T) {
	rejected, idle, asked := map[bool]int{}, 0, 0
	for _, dealt := range []bool{false, true} {
		for _, load := range []float64{0.6, 1, 2} {
			b := newPlainReplay(t, 84, 6, 6, 60*time.Millisecond)
			if !dealt {
				dealtQuery := b.q
				// Endpoints with engines are placed by expected waits alone.
				b.q = func() query {
					q := dealtQuery()
					q.service = b.v.table.Service("model")
					return q
				}
			}
			b.run(load*600, 3*time.Second)
			b.asked, b.served, b.refused, b.idle, b.arrivals, b.rejected = 0, 0, 0, 0, 0, 0
			b.run(load*600, 2*time.Second)
			b.log()
			rejected[dealt] += b.rejected
			if dealt {
				idle, asked = idle+b.idle, asked+b.asked
			}
		}
	}
	if rejected[true]*5 > rejected[false] {
		t.Errorf("%d rejections, %d by waits alone", rejected[true], rejected[false])
	}
	if idle*200 > asked {
		t.Errorf("%d of %d requests were refused while half of the slots were free", idle, asked)
	}
}

// TestReplayPlainQueues offers 84 gateways twice what 6 endpoints of 6 slots with a queue of 24 serve. Requests that may wait must not be
// refused while endpoints idle: placement by room must serve as many as by waits alone, with a fifth of the rejections.
func TestReplayPlainQueues(t *testing.T) {
	served, rejected := map[bool]int{}, map[bool]int{}
	for _, byRoom := range []bool{false, true} {
		b := newPlainReplay(t, 84, 6, 6, 60*time.Millisecond)
		b.queue = 24
		if !byRoom {
			plainQuery := b.q
			b.q = func() query {
				q := plainQuery()
				q.service = b.v.table.Service("model")
				return q
			}
		}
		b.run(1200, 3*time.Second)
		b.asked, b.served, b.refused, b.idle, b.arrivals, b.rejected = 0, 0, 0, 0, 0, 0
		b.run(1200, 2*time.Second)
		b.log()
		served[byRoom], rejected[byRoom] = b.served, b.rejected
	}
	if served[true] < served[false]*99/100 {
		t.Errorf("%d served, %d by waits alone", served[true], served[false])
	}
	if rejected[true]*5 > rejected[false] {
		t.Errorf("%d rejections, %d by waits alone", rejected[true], rejected[false])
	}
}

// TestPlainForwarded fills the plain endpoints of a region: a request goes to another region with free ones instead of being rejected
// here, and is refused with a time to return if there is none.
func TestPlainForwarded(t *testing.T) {
	for _, other := range []bool{true, false} {
		b := newPlainReplay(t, 1, 2, 6, 60*time.Millisecond)
		if other {
			b.v.gateways = append(b.v.gateways, fleet.Gateway{Name: "there-0", Region: "there", Ready: true})
			there := capacity.RegionCapacity{Region: "there", Endpoints: 2, PromptTokens: 1 << 20}
			b.v.capacities = map[string]regionCapacity{"there": {reportedAt: b.now, services: map[string]capacity.RegionCapacity{"model": there}}}
		}
		p := b.placers[0]
		for _, e := range b.v.endpoints["model"] {
			p.state(&e).outstanding.Requests = 24
			p.recordVerdict(b.now, e, Verdict{Load: Load{Known: true, Running: 6, Waiting: 18, Slots: 6}})
		}
		if d := p.decide(b.now, b.v, b.q()); other && d.region != "there" || !other && (d.verdict != capacity.Refuse || d.retryAfter <= 0) {
			t.Errorf("other region %v: verdict %v, region %q, Retry-After %v", other, d.verdict, d.region, d.retryAfter)
		}
	}
}
