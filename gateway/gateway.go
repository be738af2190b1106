package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"arbutusreel/clock"
	"arbutusreel/configuration"
	"arbutusreel/exchange"
	"arbutusreel/wiregen"
)

const (
	// readHeaderTimeout bounds a request's header until a table says otherwise.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long idle connections are kept; tables ask for less, and callers reuse within that.
	idleTimeout = 30 * time.Second
	// keptRepeatable and keptOnce bound the idle time of endpoints' connections that are used again.
	keptRepeatable = 4 * time.Second
	keptOnce       = 1500 * time.Millisecond
	trimPeriod     = time.Second
	// endpointConnectTime and peerConnectTime bound an attempt to connect to an endpoint of the region and to a gateway of
	// another region. They are a hundred and three round trips; a dropped opening packet is sent again only after a second,
	// and a request that was not sent can go elsewhere.
	endpointConnectTime = 250 * time.Millisecond
	peerConnectTime     = 500 * time.Millisecond
	// lingerTime is how long a gateway that stops still takes callers that were told of it: the time of a directory's
	// answer, three times over, and the way of the word that it leaves.
	lingerTime = 3500 * time.Millisecond
	// namedTime is how long it may still be named to callers if its region has no other gateway; what they ask then is
	// taken within lastStreams.
	namedTime = 1800 * time.Millisecond
	// lastStreams is how long it still takes streams, which may outlast the grace.
	lastStreams = 2800 * time.Millisecond
	// stopMargin is kept at the end of the grace for closing connections.
	stopMargin = 300 * time.Millisecond
	// quietTime without a request ends the lingering.
	quietTime = 500 * time.Millisecond
	// stoppingRetryAfter is when a caller comes back that a stopping gateway refused; any other gateway can take it.
	stoppingRetryAfter = 50 * time.Millisecond
)

// Gateway is one gateway daemon.
type Gateway struct {
	wiregen.UnimplementedOutstandingServer

	cfg     Config
	log     zerolog.Logger
	started time.Time
	born    int64
	pool    *exchange.Pool
	peers   *exchange.Pool
	placer  *placer
	times   *times
	view    atomic.Pointer[view]
	// work ends when the daemon has stopped.
	work    context.Context
	endWork context.CancelFunc
	wg      sync.WaitGroup
	done    chan struct{}

	// beliefs and offered belong to the session's goroutine.
	beliefs *beliefs
	offered configuration.Document

	controlsMu sync.Mutex
	controls   []string

	stopping  atomic.Int64
	inFlight  atomic.Int64
	lastTaken atomic.Int64
}

// New returns a gateway that runs when Run is called.
func New(cfg Config, log zerolog.Logger, source rand.Source) *Gateway {
	now := time.Now()
	work, endWork := context.WithCancel(context.Background())
	g := &Gateway{
		cfg: cfg, log: log, started: now, born: now.UnixMilli(), placer: newPlacer(cfg, source), beliefs: newBeliefs(cfg),
		pool:  exchange.NewPool(exchange.Idle{Repeatable: keptRepeatable, Once: keptOnce}, endpointConnectTime, time.Now),
		peers: exchange.NewPool(exchange.Idle{Repeatable: idleTimeout / 2, Once: idleTimeout / 2}, peerConnectTime, time.Now),
		work:  work, endWork: endWork, done: make(chan struct{}),
	}
	g.times = newTimes(cfg.Metrics, g.pool)
	g.view.Store(&view{})
	return g
}

// Done is closed when the daemon has stopped.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Ready reports whether callers should come here.
func (g *Gateway) Ready() bool { return g.stopping.Load() == 0 && g.view.Load().table != nil }

// lingering reports whether a stopping gateway may still be named to callers.
func (g *Gateway) lingering(now time.Time) bool {
	stopping := g.stoppingFor(now)
	return stopping > 0 && stopping < namedTime && g.view.Load().table != nil
}

// Run serves until ctx ends, and then until what was taken has been answered or the grace is over.
func (g *Gateway) Run(ctx context.Context) error {
	defer close(g.done)
	defer g.endWork()
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
	loadServer := grpc.NewServer(grpc.Creds(g.cfg.Keys.Server()))
	wiregen.RegisterOutstandingServer(loadServer, g)
	for i, l := range []net.Listener{callers, forwarded} {
		g.wg.Go(func() { g.serveHTTP(servers[i], l) })
	}
	g.wg.Go(func() { _ = loadServer.Serve(loads) })
	g.wg.Go(func() { g.attend(g.work) })
	g.wg.Go(func() { g.tellLoads(g.work) })
	g.wg.Go(func() { g.trim(g.work) })
	g.log.Info().Str("callerAddress", g.cfg.CallerAddress).Str("domain", g.cfg.FailureDomain).Strs("controls", g.cfg.Controls).Msg("started")
	<-ctx.Done()
	g.stop()
	for _, s := range servers {
		_ = s.Close()
	}
	g.endWork()
	loadServer.Stop()
	g.pool.Close()
	g.peers.Close()
	g.wg.Wait()
	g.log.Info().Int64("inFlight", g.inFlight.Load()).Msg("stopped")
	return nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

// maxHeaderBytes bounds a request's header; tables ask for less.
const maxHeaderBytes = 64 << 10

func (g *Gateway) server(handler http.HandlerFunc) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: nil, DisableGeneralOptionsHandler: true,
	}
}

func (g *Gateway) serveHTTP(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		g.log.Error().Err(err).Str("address", l.Addr().String()).Msg("serverFailed")
	}
}

func (g *Gateway) trim(ctx context.Context) {
	for clock.Sleep(ctx, trimPeriod) {
		g.pool.Trim()
		g.peers.Trim()
	}
}

// stop tells everybody that the gateway leaves, and returns when what it has taken is answered or the grace is over.
func (g *Gateway) stop() {
	began := time.Now()
	g.stopping.Store(began.UnixNano())
	g.log.Info().Int64("inFlight", g.inFlight.Load()).Dur("grace", g.cfg.Grace).Msg("stopping")
	for time.Since(began) < g.cfg.Grace-stopMargin {
		quiet := time.Since(time.Unix(0, g.lastTaken.Load()))
		if time.Since(began) > lingerTime && g.inFlight.Load() == 0 && quiet > quietTime {
			return
		}
		clock.Sleep(g.work, changeCheck)
	}
}

// stoppingFor returns how long ago the stop began, or zero if there was none.
func (g *Gateway) stoppingFor(now time.Time) time.Duration {
	began := g.stopping.Load()
	if began == 0 {
		return 0
	}
	return max(now.Sub(time.Unix(0, began)), 1)
}
