package entry

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/calls"
	"arbutusreel/directory"
	"arbutusreel/dispatch"
	"arbutusreel/endpoint"
	"arbutusreel/exchange"
	"arbutusreel/metrics"
	"arbutusreel/relay"
	"arbutusreel/wiregen"
)

// Entry is one entry daemon.
type Entry struct {
	wiregen.UnimplementedPeerServer
	wiregen.UnimplementedPlacementServer

	cfg        Config
	log        zerolog.Logger
	metrics    *metrics.Set
	state      *state
	hub        *relay.Hub
	peers      *peers
	dispatcher *dispatch.Dispatcher
	limiter    *rateLimiter
	memory     *requestMemory
	runner     *calls.Runner
	demands    *demands
	// replica is nil on an instance that is not a ledger replica.
	replica     *calls.Replica
	ledgerGroup *calls.Group
	domains     *domains
	directory   *directory.Client
	startedAt   time.Time
	leaving     atomic.Bool
	closed      atomic.Bool
	active      atomic.Int64
	// adverts is the sequence number of the latest advert of this instance.
	adverts atomic.Int64
	done    chan struct{}
}

// New returns an entry daemon, which starts to serve when Run is called.
func New(cfg Config, log zerolog.Logger, now func() time.Time) *Entry {
	s := newState(cfg.Self, now)
	p := newPeers(s, cfg.Self.Name, cfg.Keys)
	self := dispatch.Hop{Instance: cfg.Self.Name, Region: cfg.Self.Region}
	d := dispatch.New(self, s, timedModelCaller{next: endpoint.NewModelClient()}, endpoint.NewPlainClient(), p, newChooser(cfg.RoutingPolicy, now(), newRandSource(cfg.Seed)), now, newRandSource(cfg.Seed), log)
	r := newRateLimiter(cfg.Self, now)
	d = d.WithLimiter(r)
	counts := cfg.Metrics
	if counts == nil {
		counts = metrics.New()
	}
	counts.Publish(dispatchVar, expvar.Func(func() any { return d.Metrics() }))
	n := &Entry{
		cfg:        cfg,
		log:        log,
		metrics:    counts,
		state:      s,
		hub:        relay.NewHub(cfg.Self.Name, now),
		peers:      p,
		dispatcher: d,
		limiter:    r,
		memory:     newRequestMemory(cfg.RequestBytes),
		demands:    newDemands(),
		domains:    newDomains(),
		directory:  directory.New(cfg.DirectoryAddress, &http.Client{Transport: exchange.NewTransport(exchange.TransportConfig{})}),
		startedAt:  now(),
		done:       make(chan struct{}),
	}
	counts.Publish(requestBytesVar, expvar.Func(func() any { return n.memory.used() }))
	client := newLedgerClient(n, cfg.LedgerReplicas)
	n.ledgerGroup = calls.NewGroup(client.slots(), client)
	n.runner = calls.New(cfg.Self.Name, n.ledgerGroup, d, n.mayStoreAnswer, cfg.LedgerRetention, log, now)
	return n
}

// Done returns a channel that is closed when the daemon has stopped.
func (n *Entry) Done() <-chan struct{} { return n.done }

// Run serves until ctx ends and then stops gracefully. It returns an error if an address cannot be listened on or the
// ledger replica cannot be opened.
func (n *Entry) Run(ctx context.Context) error {
	defer close(n.done)
	if err := n.openReplica(); err != nil {
		return err
	}
	listeners, err := listen(ctx, n.cfg.Self.CallerAddress, n.cfg.Self.EndpointAddress, n.cfg.Self.PeerAddress)
	if err != nil {
		return err
	}
	listeners[0] = n.cfg.Keys.Listener(n.cfg.Connections.Listener(listeners[0]))
	listeners[1] = n.cfg.Connections.Listener(listeners[1])
	listeners[2] = n.cfg.PeerConnections.RPCListener(listeners[2], peerPingTimeout)
	requests, cancelRequests := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancelRequests(nil)
	servers := n.newServers(requests)
	wiregen.RegisterLedgerServer(servers.peers, &ledgerServer{entry: n})
	wiregen.RegisterConfigurationServer(servers.peers, relay.NewServer(n.hub, n.checkFollower, ctx.Done()))
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var wg sync.WaitGroup
	wg.Go(func() { serveHTTP(servers.callers, listeners[0]) })
	wg.Go(func() { serveHTTP(servers.endpoints, listeners[1]) })
	wg.Go(func() { _ = servers.peers.Serve(listeners[2]) })
	wg.Go(func() { n.follow(background) })
	wg.Go(func() { n.exchangeLoop(background) })
	wg.Go(func() { n.publishLoop(background) })
	wg.Go(func() { n.borrowLoop(background) })
	wg.Go(func() { n.expireLoop(background) })
	wg.Go(func() { n.runLedgerReplica(background) })
	wg.Go(func() { n.watchDomains(background) })
	n.log.Info().Str("callerAddress", n.cfg.Self.CallerAddress).Msg("started")

	<-ctx.Done()
	n.drain(background, cancelRequests)
	servers.shutdown(background)
	stopBackground()
	wg.Wait()
	n.peers.close()
	n.log.Info().Msg("stopped")
	return nil
}

func listen(ctx context.Context, addresses ...string) ([]net.Listener, error) {
	var config net.ListenConfig
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		l, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

func serveHTTP(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		_ = l.Close()
	}
}

// every calls f at once and then once per period until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		f()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Entry) expireLoop(ctx context.Context) {
	every(ctx, expirePeriod, func() {
		n.dispatcher.Refresh(n.servingEntries())
		for _, e := range n.state.expire() {
			n.log.Info().Str("endpoint", e.Name).Str("service", e.Service).Bool("leaving", e.Leaving).Msg("endpoint lease expired")
		}
	})
}
