package gateway

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/acceptor"
	"arbutusreel/clock"
	"arbutusreel/configuration"
	"arbutusreel/exchange"
	"arbutusreel/fleet"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

const (
	// readHeaderTimeout bounds the wait for a request's header on a new connection, and its reading if the routing table has no
	// HeaderTimeout.
	readHeaderTimeout = 5 * time.Second
	// headerTimeMargin is added to the HeaderTimeout of the routing table, which callers measure on their side.
	headerTimeMargin = time.Second
	// idleTimeout is how long an idle connection from a caller or another gateway is kept open. It exceeds the idle
	// timeouts in routing tables, within which callers reuse connections.
	idleTimeout = 30 * time.Second
	// repeatableIdleTimeout and nonRepeatableIdleTimeout bound the idle time after which a connection to an endpoint is
	// still reused, for requests that may be repeated and for those that may not.
	repeatableIdleTimeout    = 4 * time.Second
	nonRepeatableIdleTimeout = 1500 * time.Millisecond
	// expiredConnPeriod is the interval at which connections that are too old to be reused are closed.
	expiredConnPeriod = time.Second
	// endpointConnectTimeout and peerConnectTimeout bound a connection attempt to an endpoint of the region and to a
	// gateway of another region: a hundred round trips and three round trips, respectively. A lost SYN is retransmitted
	// only after a second, and a request that has not been sent can still be placed elsewhere.
	endpointConnectTimeout = 250 * time.Millisecond
	peerConnectTimeout     = 500 * time.Millisecond
	// minDrainTime is the least time for which a stopping gateway still accepts requests: three times the lifetime of a
	// directory answer, plus the time until the directory learns that the gateway is stopping.
	minDrainTime = 3500 * time.Millisecond
	// lingeringTime is how long a stopping gateway still accepts every request for a region without ready gateways. The
	// streams that callers ask for after a directory named it are accepted within lateAcceptTime.
	lingeringTime = 1800 * time.Millisecond
	// lateAcceptTime is how long a stopping gateway still accepts streams, and requests of unknown duration, that may outlast
	// the grace period: directories name the gateway until shortly before.
	lateAcceptTime = 2800 * time.Millisecond
	// answerLifetime is how long callers use an answer of the directory. A stopping gateway must not be named in the
	// last part of its grace period.
	answerLifetime = time.Second
	// stopMargin is the end of the grace period that is kept for closing connections.
	stopMargin = 300 * time.Millisecond
	// lastAnswerTime is the time before stopMargin in which a stopping gateway answers what it could not serve.
	lastAnswerTime = 200 * time.Millisecond
	// minIdleTime is the time without a new request after which a stopping gateway that has answered all of its requests
	// ends, once minDrainTime is over.
	minIdleTime = 500 * time.Millisecond
	// withdrawalTime is how long a stopping gateway that ends early still serves after it may no longer be named, so that its
	// session has sent a report of this.
	withdrawalTime = 2 * pollPeriod
	// stoppingRetryAfter is the retry delay given to a caller that a stopping gateway refuses while another gateway of the
	// region accepts it, and restartRetryAfter the least expected one while all of them stop or start.
	stoppingRetryAfter = 50 * time.Millisecond
	restartRetryAfter  = time.Second
)

// Gateway is a gateway daemon.
type Gateway struct {
	wiregen.UnimplementedOutstandingServer

	cfg     Config
	log     zerolog.Logger
	started time.Time
	// born is the start time in Unix milliseconds, which identifies the incarnation of the gateway.
	born      int64
	pool      *exchange.Pool
	peers     *exchange.Pool
	placer    *placer
	relay     *reportRelay
	origins   *origins
	crashes   *crashes
	latencies *latencies
	durations *durations
	// allotments holds the teams' allotments.
	allotments *allotments
	answers    *answers
	// broken receives the endpoints that may have crashed.
	broken chan fleet.Endpoint
	// originPeers are asked for unknown origins; originLookups holds a value for each lookup in progress.
	originPeers   *originPeers
	originLookups chan struct{}
	view          atomic.Pointer[view]
	// workCtx ends when the daemon has stopped.
	workCtx    context.Context
	cancelWork context.CancelFunc
	// answerCtx ends shortly before the grace period does: requests whose answers have not begun by then are answered that they failed.
	answerCtx  context.Context
	endAnswers context.CancelFunc
	wg         sync.WaitGroup
	done       chan struct{}

	// state and pendingDocument are used by the session's goroutine only.
	state           *fleetState
	pendingDocument configuration.Document

	controlsMu   sync.Mutex
	controls     []string
	unresponsive fleet.Unresponsive

	// reportMu orders reports to control daemons: a report with a higher number has a later state.
	reportMu sync.Mutex
	// reportSequence is the number of the last report.
	reportSequence int64

	// stopBeganNanos is the Unix time at which the stop began, zero before, and lastRequestNanos that of the arrival of
	// the last request. withdrawn is set when a stopping gateway may no longer be named, as it ends early.
	stopBeganNanos   atomic.Int64
	withdrawn        atomic.Bool
	active           *activeConns
	inFlight         atomic.Int64
	lastRequestNanos atomic.Int64
}

// New returns a gateway that starts serving when Run is called.
func New(cfg Config, log zerolog.Logger, source rand.Source) *Gateway {
	now := time.Now()
	workCtx, cancelWork := context.WithCancel(context.Background())
	answerCtx, endAnswers := context.WithCancel(workCtx)
	g := &Gateway{
		cfg: cfg, log: log, started: now, born: now.UnixMilli(), placer: newPlacer(cfg, source), relay: newReportRelay(), state: newFleetState(cfg),
		pool:    exchange.NewPool(exchange.IdleLimits{Repeatable: repeatableIdleTimeout, NonRepeatable: nonRepeatableIdleTimeout}, endpointConnectTimeout, time.Now),
		peers:   exchange.NewPool(exchange.IdleLimits{Repeatable: idleTimeout / 2, NonRepeatable: idleTimeout / 2, Unannounced: idleTimeout / 2, Unused: readHeaderTimeout / 2}, peerConnectTimeout, time.Now),
		origins: newOrigins(cfg.Metrics), originPeers: newOriginPeers(cfg.Keys), originLookups: make(chan struct{}, maxOriginLookups),
		crashes: newCrashes(cfg.Metrics), broken: make(chan fleet.Endpoint, maxCrashChecks),
		durations: newDurations(), answers: newAnswers(cfg.MemoryBytes, cfg.Metrics), active: newActiveConns(), workCtx: workCtx, cancelWork: cancelWork, answerCtx: answerCtx, endAnswers: endAnswers, done: make(chan struct{}),
	}
	g.placer.startedAt = now
	cfg.Metrics.Publish("stranded", expvar.Func(func() any { return g.placer.isStranded() }))
	cfg.Metrics.Publish("endpointPaces", expvar.Func(func() any { return g.placer.paces(time.Now()) }))
	cfg.Metrics.Publish("cachedPrompts", expvar.Func(func() any { return g.placer.cacheSummary() }))
	cfg.Metrics.Publish("limitedEndpoints", expvar.Func(func() any { return g.placer.limitedEndpoints() }))
	g.latencies = newLatencies(cfg.Metrics, g.pool)
	g.allotments = newAllotments(cfg, log, workCtx, now)
	g.view.Store(&view{})
	return g
}

// Done returns a channel that is closed when the daemon has stopped.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Ready reports whether the gateway accepts callers: it has a routing table and is not stopping.
func (g *Gateway) Ready() bool { return g.stopBeganNanos.Load() == 0 && g.view.Load().table != nil }

// lingering reports whether the gateway is stopping and still accepts every request.
func (g *Gateway) lingering(now time.Time) bool {
	elapsed := g.stoppingFor(now)
	return elapsed > 0 && elapsed < lingeringTime && g.view.Load().table != nil
}

// closing reports whether the gateway is stopping, still accepts requests that end before it does, and may be named to
// callers.
func (g *Gateway) closing(now time.Time) bool {
	elapsed := g.stoppingFor(now)
	return elapsed >= lingeringTime && elapsed < g.cfg.Grace-stopMargin-answerLifetime && !g.withdrawn.Load() && g.view.Load().table != nil
}

// acceptsUntil returns until when this stopping gateway serves requests, and whether it still accepts one whose deadline is
// later. A plain request is expected to take no longer than recent ones of its service.
func (g *Gateway) acceptsUntil(now time.Time, service string, kind routes.Kind) (end time.Time, accepts bool) {
	elapsed, acceptTime := g.stoppingFor(now), g.cfg.Grace-stopMargin-answerLifetime
	left := g.cfg.Grace - stopMargin - lastAnswerTime - elapsed
	end = now.Add(left)
	ends, known := g.durations.endsIn(now, service, kind, left)
	if kind == routes.Stream || !known {
		return end, elapsed <= min(acceptTime, lateAcceptTime)
	}
	return end, ends && elapsed <= acceptTime
}

// stoppingRetryAfter returns when the caller of a request that this stopping gateway refuses may return.
func (g *Gateway) stoppingRetryAfter() time.Duration {
	for _, peer := range g.view.Load().peers(g.cfg.Region, g.cfg.Name) {
		if peer.Ready || peer.Lingering {
			return stoppingRetryAfter
		}
	}
	// The others stopped earlier, and are back before this gateway ends.
	expected := max((g.cfg.Grace-g.stoppingFor(time.Now()))/2, restartRetryAfter)
	return expected/2 + time.Duration(g.placer.draw()*float64(expected))
}

// Run serves until ctx ends, and then until the accepted requests have been answered or the grace period is over. It
// returns an error if it cannot listen on one of its addresses.
func (g *Gateway) Run(ctx context.Context) error {
	defer close(g.done)
	defer g.cancelWork()
	callers, err := listen(ctx, g.cfg.CallerAddress)
	if err != nil {
		return err
	}
	forwarded, err := listen(ctx, g.cfg.ForwardAddress)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	loads, err := listen(ctx, g.cfg.LoadAddress)
	if err != nil {
		return errors.Join(err, callers.Close(), forwarded.Close())
	}
	servers := []*http.Server{
		g.server(func(w http.ResponseWriter, r *http.Request) { g.serve(w, r, false) }),
		g.server(func(w http.ResponseWriter, r *http.Request) { g.serve(w, r, true) }),
	}
	loadServer := newLoadServer(g.cfg.Keys, g.cfg.PeerConnections)
	wiregen.RegisterOutstandingServer(loadServer, g)
	for i, l := range []net.Listener{callers, forwarded} {
		g.wg.Go(func() { g.serveHTTP(servers[i], g.cfg.Connections.ListenerWithin(l, g.headLimits)) })
	}
	g.wg.Go(func() { _ = loadServer.Serve(g.cfg.PeerConnections.RPCListener(loads, loadUnackedTime)) })
	g.wg.Go(func() { g.subscribe(g.workCtx) })
	g.wg.Go(func() { g.reportLoads(g.workCtx) })
	g.wg.Go(func() { g.keepOriginPeers(g.workCtx) })
	g.wg.Go(func() { g.fetchOrigins(g.workCtx) })
	g.wg.Go(func() { g.checkCrashes(g.workCtx) })
	g.wg.Go(func() { g.keepReach(g.workCtx) })
	g.wg.Go(func() { g.closeExpiredConns(g.workCtx) })
	g.wg.Go(func() { g.keepPartnersWarm(g.workCtx) })
	g.wg.Go(func() { g.relievePressure(g.workCtx) })
	g.log.Info().Str("callerAddress", g.cfg.CallerAddress).Str("domain", g.cfg.FailureDomain).Strs("controls", g.cfg.Controls).Msg("started")
	<-ctx.Done()
	g.stop()
	g.closeServers(time.Unix(0, g.stopBeganNanos.Load()).Add(g.cfg.Grace-stopMargin), servers...)
	g.closeParts(loadServer)
	g.log.Info().Int64("inFlight", g.inFlight.Load()).Msg("stopped")
	return nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

const (
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 1 << 20
	// defaultHeaderBytes is the bound if the routing table sets none.
	defaultHeaderBytes = 64 << 10
	// headerBytesMargin is added to the limit of the routing table, for the start of the body that is read with a header, and
	// for the headers that gateways add.
	headerBytesMargin = 8 << 10
)

// headLimits returns the present bounds on the header of a request.
func (g *Gateway) headLimits() acceptor.HeadLimits {
	limits := acceptor.HeadLimits{Bytes: defaultHeaderBytes, Time: readHeaderTimeout}
	table := g.view.Load().table
	if table == nil {
		return limits
	}
	configured := table.Limits()
	if n := configured.HeaderBytes; n > 0 {
		limits.Bytes = min(n, maxHeaderBytes) + headerBytesMargin
	}
	if d := configured.HeaderTimeout; d > 0 {
		limits.Time = d + headerTimeMargin
	}
	return limits
}

func (g *Gateway) server(handler http.HandlerFunc) *http.Server {
	s := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: limitSocketBuffers, ConnState: g.active.record, ErrorLog: nil, DisableGeneralOptionsHandler: true,
	}
	g.cfg.Connections.Configure(s)
	return s
}

func (g *Gateway) serveHTTP(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		g.log.Error().Err(err).Str("address", l.Addr().String()).Msg("HTTP server failed")
	}
}

// closeExpiredConns closes idle connections that are too old to be reused, until ctx ends.
func (g *Gateway) closeExpiredConns(ctx context.Context) {
	for clock.Sleep(ctx, expiredConnPeriod) {
		g.pool.CloseExpired()
		g.peers.CloseExpired()
	}
}

// stop marks the gateway as stopping, and returns when its requests have been answered or the grace period is over. If it
// ends early, it first reports that it may no longer be named, and serves for withdrawalTime and what arrives by then.
func (g *Gateway) stop() {
	began := time.Now()
	g.stopBeganNanos.Store(began.UnixNano())
	g.allotments.leave(began)
	g.log.Info().Int64("inFlight", g.inFlight.Load()).Dur("grace", g.cfg.Grace).Msg("stopping")
	time.AfterFunc(g.cfg.Grace-stopMargin-lastAnswerTime, g.endAnswers)
	var withdrawnAt time.Time
	for time.Since(began) < g.cfg.Grace-stopMargin {
		now := time.Now()
		idle := g.inFlight.Load() == 0 && now.Sub(time.Unix(0, g.lastRequestNanos.Load())) > minIdleTime
		switch {
		case g.withdrawn.Load():
			if g.inFlight.Load() == 0 && now.Sub(withdrawnAt) >= withdrawalTime {
				return
			}
		case now.Sub(began) > minDrainTime && idle:
			withdrawnAt = now
			g.withdrawn.Store(true)
		}
		clock.Sleep(g.workCtx, pollPeriod)
	}
}

// stoppingFor returns the time since the stop began, or zero if the gateway is not stopping.
func (g *Gateway) stoppingFor(now time.Time) time.Duration {
	began := g.stopBeganNanos.Load()
	if began == 0 {
		return 0
	}
	return max(now.Sub(time.Unix(0, began)), 1)
}
