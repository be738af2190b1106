package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/inventory"
	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/routing"
	"arbutusreel/stream"
)

// fakeEngine is a model engine with a number of slots, a bounded token cache, serial prefill and a prefix cache; it
// runs in virtual time.
type fakeEngine struct {
	mu          sync.Mutex
	endpoint    membership.Endpoint
	tokenTime   time.Duration
	prefillTime time.Duration
	cacheBlocks int

	slots      chan struct{}
	prefill    chan struct{}
	running    int
	queued     int
	usedTokens int
	// queuedTokens is the number of prompt tokens that wait for prefill.
	queuedTokens int
	cached       []uint64
	events       []membership.CacheEvent
	// failAt cuts each stream before the piece at that position, if it is above zero; stalled engines send no pieces.
	failAt  int
	stalled bool
	// dead engines cut their streams and refuse connections.
	dead atomic.Bool
	// crashPrefix kills the engine when it begins to answer a request with that prefix.
	crashPrefix uint64
	// failsFirst selects the requests that fail at their first attempt; ignoresResume makes each answer begin at
	// position zero.
	failsFirst    func(r Request) bool
	ignoresResume bool
	requests      int
	generated     int
	wrongResumes  int
}

// swapTime is the additional time per token while the cache is full.
const swapTime = 100 * time.Millisecond

func newFakeEngine(name, region string, slots, cacheTokens int) *fakeEngine {
	g := &fakeEngine{
		endpoint: membership.Endpoint{
			Name: name, Incarnation: 1, Region: region, Service: "menu-model", Models: []string{"dastarkhwan-menu"},
			Slots: slots, CacheTokens: cacheTokens,
		},
		tokenTime: 20 * time.Millisecond, prefillTime: 200 * time.Microsecond, cacheBlocks: 256,
		slots: make(chan struct{}, slots), prefill: make(chan struct{}, 1),
	}
	return g
}

// report returns the endpoint with the engine's load at a time.
func (g *fakeEngine) report(now time.Time) membership.Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endpoint.Sequence++
	g.endpoint.CacheSequence += int64(len(g.endpoint.CacheEvents))
	g.endpoint.CacheEvents, g.events = g.events, nil
	g.endpoint.Load = membership.Load{
		Running: g.running, Queued: g.queued, At: now,
		QueuedTokens: g.queuedTokens, TokensPerSecond: float64(cap(g.slots)) / (g.tokenTime * 3 / 2).Seconds(), PrefillTokensPerSecond: 1 / g.prefillTime.Seconds(),
	}
	if g.endpoint.CacheTokens > 0 {
		g.endpoint.Load.CacheUse = float64(g.usedTokens) / float64(g.endpoint.CacheTokens)
	}
	return g.endpoint
}

func (g *fakeEngine) count(field *int, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*field += n
}

// uncached returns the number of prompt tokens that are not cached, and caches the prompt.
func (g *fakeEngine) uncached(r Request) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	hits := 0
	for hits < len(r.Prefixes) && slices.Contains(g.cached, r.Prefixes[hits]) {
		hits++
	}
	for _, hash := range r.Prefixes {
		if i := slices.Index(g.cached, hash); i >= 0 {
			g.cached = append(slices.Delete(g.cached, i, i+1), hash)
			continue
		}
		g.cached = append(g.cached, hash)
		g.events = append(g.events, membership.CacheEvent{PrefixHash: hash, Tokens: routing.BlockTokens})
	}
	for len(g.cached) > g.cacheBlocks {
		g.events = append(g.events, membership.CacheEvent{PrefixHash: g.cached[0], Dropped: true})
		g.cached = g.cached[1:]
	}
	return max(r.PromptTokens-hits*routing.BlockTokens, 1)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func takeSlot(ctx context.Context, c chan struct{}) error {
	select {
	case c <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// answerTokens returns the number of tokens in the fake engine's answer to a request.
func answerTokens(r Request) int {
	n, _ := strconv.Atoi(string(r.Body))
	return n
}

func pieceText(r Request, i int) string { return fmt.Sprintf("%s-%d ", r.CorrelationID, i) }

func (g *fakeEngine) generate(ctx context.Context, r Request, a Attempt, sink stream.Sink) (stream.End, error) {
	g.count(&g.requests, 1)
	if a.Text != textBefore(r, a.Next) {
		g.count(&g.wrongResumes, 1)
	}
	if g.ignoresResume {
		a.Next = 0
	}
	if g.failsFirst != nil && a.Number == 0 && g.failsFirst(r) {
		return stream.End{}, &stream.IncompleteError{RequestID: r.CorrelationID, Cause: context.Canceled}
	}
	g.count(&g.queued, 1)
	err := takeSlot(ctx, g.slots)
	g.count(&g.queued, -1)
	if err != nil {
		return stream.End{}, err
	}
	g.count(&g.running, 1)
	held := r.PromptTokens + a.Next
	g.count(&g.usedTokens, held)
	defer func() {
		g.count(&g.usedTokens, -held)
		g.count(&g.running, -1)
		<-g.slots
	}()
	if err := g.prefillPrompt(ctx, r, a); err != nil {
		return stream.End{}, err
	}
	if g.crashPrefix != 0 && slices.Contains(r.Prefixes, g.crashPrefix) {
		g.dead.Store(true)
		return stream.End{}, &stream.IncompleteError{RequestID: r.CorrelationID, Cause: syscall.ECONNRESET}
	}
	for i := a.Next; i < answerTokens(r); i++ {
		if err := sleep(ctx, g.stepTime()); err != nil {
			return stream.End{}, err
		}
		if g.dead.Load() || g.failAt > 0 && i >= g.failAt {
			return stream.End{}, &stream.IncompleteError{RequestID: r.CorrelationID, Pieces: i, Cause: context.Canceled}
		}
		if g.stalled {
			<-ctx.Done()
			return stream.End{}, ctx.Err()
		}
		held++
		g.count(&g.usedTokens, 1)
		g.count(&g.generated, 1)
		if err := sink.Piece(stream.Piece{RequestID: r.CorrelationID, Attempt: a.Number, Position: i, Text: pieceText(r, i)}); err != nil {
			return stream.End{}, err
		}
	}
	return stream.End{FinishReason: "stop", Pieces: answerTokens(r)}, nil
}

// prefillPrompt waits for the prefill of the prompt.
func (g *fakeEngine) prefillPrompt(ctx context.Context, r Request, a Attempt) error {
	tokens := g.uncached(r) + a.Next
	g.count(&g.queuedTokens, tokens)
	defer g.count(&g.queuedTokens, -tokens)
	if err := takeSlot(ctx, g.prefill); err != nil {
		return err
	}
	defer func() { <-g.prefill }()
	return sleep(ctx, time.Duration(tokens)*g.prefillTime)
}

// stepTime returns the time to the next token.
func (g *fakeEngine) stepTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stepTimeLocked()
}

// stepTimeLocked returns the time per token, which grows with the batch, and more so while the cache is full; g.mu must
// be held.
func (g *fakeEngine) stepTimeLocked() time.Duration {
	d := g.tokenTime + g.tokenTime*time.Duration(g.running)/time.Duration(2*cap(g.slots))
	if g.endpoint.CacheTokens > 0 && g.usedTokens >= g.endpoint.CacheTokens {
		d += swapTime
	}
	return d
}

// fakeRegion is a region's engines and instances; the instances see load reports with a delay.
type fakeRegion struct {
	name        string
	engines     []*fakeEngine
	dispatchers []*Dispatcher
	// lost reports whether the announcements of the region's engines have ended.
	lost     bool
	reported []membership.Endpoint
	// forwards counts the requests that were forwarded from other regions.
	forwards int
}

// world simulates all regions.
type world struct {
	mu        sync.Mutex
	inventory *inventory.Inventory
	regions   []*fakeRegion
	rng       *rand.Rand
	// cut holds the instances that are cut off from all engines.
	cut map[string]bool
}

func (w *world) region(name string) *fakeRegion {
	i := slices.IndexFunc(w.regions, func(r *fakeRegion) bool { return r.name == name })
	return w.regions[i]
}

// newWorld returns regions with engines and instances; chooser makes the chooser of each instance.
func newWorld(inv *inventory.Inventory, seed uint64, engines map[string][]*fakeEngine, instances int, chooser func(rand.Source) Chooser) *world {
	w := &world{inventory: inv, rng: rand.New(rand.NewPCG(seed, 7)), cut: map[string]bool{}}
	for _, region := range inv.Contents().Regions {
		r := &fakeRegion{name: region.Name, engines: engines[region.Name]}
		w.regions = append(w.regions, r)
		for i := range instances {
			source := func(n uint64) rand.Source { return rand.NewPCG(seed, uint64(i)*3+n) }
			self := Hop{Instance: fmt.Sprintf("entry-%s-%d", region.Name, i), Region: region.Name}
			d := New(self, fakeView{w: w, region: r}, fakeModels{w: w, self: self}, nil, fakeForwarder{w: w}, chooser(source(1)), time.Now, source(2), zerolog.Nop())
			r.dispatchers = append(r.dispatchers, d)
		}
	}
	w.publish()
	return w
}

// publish makes the current load of each engine known to the instances.
func (w *world) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.regions {
		r.reported = nil
		for _, g := range r.engines {
			if e := g.report(time.Now()); !r.lost {
				r.reported = append(r.reported, e)
			}
		}
	}
}

// publishEvery publishes at a period until ctx ends.
func (w *world) publishEvery(ctx context.Context, period time.Duration) {
	for sleep(ctx, period) == nil {
		w.publish()
		for _, r := range w.regions {
			for _, d := range r.dispatchers {
				d.Refresh(len(r.dispatchers))
			}
		}
	}
}

// entry returns one of the region's instances.
func (w *world) entry(region string) *Dispatcher {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.region(region).dispatchers
	return list[w.rng.IntN(len(list))]
}

// entryFor returns one of the region's instances that a request has not passed.
func (w *world) entryFor(region string, r Request) *Dispatcher {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(w.region(region).dispatchers), func(d *Dispatcher) bool { return r.Passed(d.self.Instance) })
	return list[w.rng.IntN(len(list))]
}

type fakeView struct {
	w      *world
	region *fakeRegion
}

func (v fakeView) Inventory() (*inventory.Inventory, int64) { return v.w.inventory, 1 }

func (v fakeView) Endpoints() []membership.Endpoint {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	return v.region.reported
}

func (v fakeView) Summaries() []membership.Summary {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	var list []membership.Summary
	for _, r := range v.w.regions {
		if r != v.region && len(r.reported) > 0 {
			list = append(list, membership.Summarize(r.reported[0].Load.At, r.name, r.reported)...)
		}
	}
	return list
}

// fakeModels connects one instance to the engines.
type fakeModels struct {
	w    *world
	self Hop
}

// isCut reports whether the instance is cut off from all engines.
func (m fakeModels) isCut() bool {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	return m.w.cut[m.self.Instance]
}

func (m fakeModels) Generate(ctx context.Context, e membership.Endpoint, r Request, a Attempt, sink stream.Sink) (stream.End, error) {
	m.w.mu.Lock()
	region := m.w.region(e.Region)
	i := slices.IndexFunc(region.engines, func(g *fakeEngine) bool { return g.endpoint.Name == e.Name })
	m.w.mu.Unlock()
	if region.engines[i].dead.Load() || m.isCut() {
		return stream.End{}, syscall.ECONNREFUSED
	}
	end, err := region.engines[i].generate(ctx, r, a, linkSink{models: m, sink: sink})
	if m.isCut() {
		return stream.End{}, &stream.IncompleteError{RequestID: r.CorrelationID, Cause: syscall.ECONNRESET}
	}
	return end, err
}

// linkSink is the link over which the pieces of an answer arrive until it is cut.
type linkSink struct {
	models fakeModels
	sink   stream.Sink
}

func (s linkSink) Piece(p stream.Piece) error {
	if s.models.isCut() {
		return syscall.ECONNRESET
	}
	return s.sink.Piece(p)
}

func (m fakeModels) RefusesConnections(_ context.Context, e membership.Endpoint) bool {
	if m.isCut() {
		return true
	}
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	return slices.ContainsFunc(m.w.region(e.Region).engines, func(g *fakeEngine) bool { return g.endpoint.Name == e.Name && g.dead.Load() })
}

func (m fakeModels) Connects(ctx context.Context, e membership.Endpoint) bool {
	return !m.RefusesConnections(ctx, e)
}

type fakeForwarder struct{ w *world }

func (f fakeForwarder) ForwardModel(ctx context.Context, region string, r Request, sink stream.Sink) (stream.End, error) {
	f.w.mu.Lock()
	f.w.region(region).forwards++
	f.w.mu.Unlock()
	// There is no link within a region.
	link, _ := f.w.inventory.Link(r.Via[len(r.Via)-1].Region, region)
	if err := sleep(ctx, link.RoundTrip); err != nil {
		return stream.End{}, err
	}
	return f.w.entryFor(region, r).Generate(ctx, r, sink)
}

func (f fakeForwarder) ForwardCall(context.Context, string, Request) (Reply, error) {
	return Reply{}, problem.New(problem.NoCapacity, 503, "no plain service")
}

// collector is a caller's sink.
type collector struct {
	text  strings.Builder
	first time.Time
	limit int
	n     int
}

func (c *collector) Piece(p stream.Piece) error {
	if c.n == 0 {
		c.first = time.Now()
	}
	if c.limit > 0 && c.n >= c.limit {
		return context.Canceled
	}
	c.n++
	c.text.WriteString(p.Text)
	return nil
}

// wholeText returns the complete answer to a request.
func wholeText(r Request) string { return textBefore(r, answerTokens(r)) }

func textBefore(r Request, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(pieceText(r, i))
	}
	return b.String()
}
