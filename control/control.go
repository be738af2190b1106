package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"arbutusreel/clock"
	"arbutusreel/journal"
	"arbutusreel/relay"
	"arbutusreel/wiregen"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// Control is one control daemon.
type Control struct {
	wiregen.UnimplementedConsensusServer
	wiregen.UnimplementedFleetServer

	cfg    Config
	log    zerolog.Logger
	now    func() time.Time
	hub    *relay.Hub
	quorum *quorum
	store  Store
	direct *direct
	fleet  *fleetState
	peers  *peers
	joined joined
	// changing is held for reading by a change of the whole inventory, and for writing by a patch, which is decided alone.
	changing sync.RWMutex
	done     chan struct{}
}

// New returns a control daemon that runs when Run is called.
func New(cfg Config, log zerolog.Logger, now func() time.Time) *Control {
	return &Control{cfg: cfg, log: log, now: now, hub: relay.NewHub(cfg.Name, now), direct: newDirect(), fleet: newFleetState(now), done: make(chan struct{})}
}

// Done is closed when the daemon has stopped.
func (c *Control) Done() <-chan struct{} { return c.done }

// Run serves until ctx ends. An address that cannot be served, a data folder
// that cannot be read and a disk that fails are returned as errors.
func (c *Control) Run(ctx context.Context) error { return c.RunOpened(ctx, make(chan struct{})) }

// RunOpened is Run; it closes opened once the daemon takes calls.
func (c *Control) RunOpened(ctx context.Context, opened chan<- struct{}) error {
	defer close(c.done)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	folder, err := journal.OpenFolder(c.cfg.DataFolder)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	links := newLinks(work, c.cfg.Keys, c.log)
	c.peers = newPeers(c.cfg.Keys)
	defer c.peers.close()
	if err := c.open(folder, links); err != nil {
		return err
	}
	servers, err := c.listen(ctx, work.Done())
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	servers.start(&wg, c.log)
	failed := make(chan error, 1)
	wg.Go(func() { failed <- c.quorum.run(work) })
	wg.Go(func() { c.watchLeader(work) })
	wg.Go(func() { c.place(work) })
	wg.Go(func() { c.runFleet(work) })
	c.log.Info().Str("operatorAddress", c.cfg.OperatorAddress).Str("disk", c.quorum.disk.identity).
		Int64("revision", c.store.Current().Revision).Msg("started")
	close(opened)
	select {
	case <-ctx.Done():
		c.handOver(work)
	case err = <-failed:
	}
	stop()
	servers.stop()
	wg.Wait()
	links.wg.Wait()
	c.log.Info().Err(err).Msg("stopped")
	return err
}

// open reads the data folder and makes the voter.
func (c *Control) open(files journal.Files, l *links) error {
	if !c.cfg.Join && !slices.ContainsFunc(c.cfg.Voters, func(v string) bool { return strings.HasPrefix(v, c.cfg.Name+"=") }) {
		return &VoterMissingError{Name: c.cfg.Name, Voters: c.cfg.Voters}
	}
	d, restored, err := openDisk(files)
	if err != nil {
		return err
	}
	accepted := func(revision int64, whole []byte) { c.hub.Put(revision, whole) }
	if c.quorum, err = newQuorum(c.cfg, d, restored, l, accepted, c.log, c.now); err != nil {
		return err
	}
	c.store = c.quorum
	c.publishMetrics()
	return nil
}

// watchLeader tells the followers how old this voter's word of a leader is.
func (c *Control) watchLeader(ctx context.Context) {
	t := time.NewTicker(c.cfg.Heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if status := c.store.Status(); status.Leader.Name != "" {
				c.hub.HeardLeader(status.Heard)
			}
		case <-ctx.Done():
			return
		}
	}
}

// handOver gives leadership away before a planned stop and lets the message leave.
func (c *Control) handOver(ctx context.Context) {
	if !c.store.Status().Leads {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ElectionTimeout)
	defer cancel()
	c.quorum.transfer(ctx)
	for c.store.Status().Leader.Name == "" && ctx.Err() == nil {
		clock.Sleep(ctx, c.cfg.Heartbeat)
	}
}

// servers are the daemon's listeners with what serves them.
type servers struct {
	operators        *http.Server
	operatorListener net.Listener
	peers            *grpc.Server
	peerListener     net.Listener
}

func (c *Control) listen(ctx context.Context, done <-chan struct{}) (*servers, error) {
	var config net.ListenConfig
	operators, err := config.Listen(ctx, "tcp", c.cfg.OperatorAddress)
	if err != nil {
		return nil, err
	}
	peers, err := config.Listen(ctx, "tcp", c.cfg.PeerAddress)
	if err != nil {
		_ = operators.Close()
		return nil, err
	}
	s := &servers{
		operators:        &http.Server{Handler: c.operatorHandler(), ReadHeaderTimeout: headerTimeout},
		operatorListener: c.cfg.Keys.Listener(operators),
		peers: grpc.NewServer(
			grpc.MaxRecvMsgSize(maxMessageBytes),
			grpc.Creds(c.cfg.Keys.Server()),
			grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: linkLeastPing, PermitWithoutStream: true}),
		),
		peerListener: peers,
	}
	wiregen.RegisterConfigurationServer(s.peers, relay.NewServer(c.hub, c.heardFollower, done))
	wiregen.RegisterConsensusServer(s.peers, c)
	wiregen.RegisterFleetServer(s.peers, fleetServer{Control: c})
	return s, nil
}

func (s *servers) start(wg *sync.WaitGroup, log zerolog.Logger) {
	wg.Go(func() {
		if err := s.operators.Serve(s.operatorListener); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Msg("operatorServerFailed")
		}
	})
	wg.Go(func() { _ = s.peers.Serve(s.peerListener) })
}

// stop answers the operators' requests in progress and cuts the peers' streams, which are resumed elsewhere.
func (s *servers) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), decisionTimeout)
	defer cancel()
	_ = s.operators.Shutdown(ctx)
	s.peers.Stop()
}
