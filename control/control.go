package control

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"arbutusreel/clock"
	"arbutusreel/fleet"
	"arbutusreel/journal"
	"arbutusreel/keys"
	"arbutusreel/relay"
	"arbutusreel/ring"
	"arbutusreel/wiregen"
)

// headerTimeout limits the time for reading a request header.
const headerTimeout = 10 * time.Second

// Control is a control daemon.
type Control struct {
	wiregen.UnimplementedConsensusServer
	wiregen.UnimplementedFleetServer

	cfg       Config
	log       zerolog.Logger
	now       func() time.Time
	hub       *relay.Hub
	quorum    *quorum
	store     Store
	followers *followers
	fleet     *fleetState
	peers     *peers
	// decidedIndex is the highest index of an order that the leader has reported as decided.
	decidedIndex atomic.Int64
	// undecided holds the departures that were acknowledged without a decision.
	undecided *ring.Queue[fleet.LoggedDeparture]
	// inventoryMu is held for reading while a whole inventory is proposed and for writing while a patch is, so that
	// no other change through this daemon comes between a patch's read and its proposal.
	inventoryMu sync.RWMutex
	// openFolder opens and locks the data folder.
	openFolder func(path string) (dataFolder, error)
	// started is the time at which Run was called. Opening the journal takes long on a slow disk.
	started time.Time
	done    chan struct{}
}

// dataFolder is the locked folder of a journal.
type dataFolder interface {
	journal.Files
	io.Closer
}

func openDataFolder(path string) (dataFolder, error) {
	folder, err := journal.OpenFolder(path)
	if err != nil {
		return nil, err
	}
	return folder, nil
}

// New returns a control daemon that starts when Run is called.
func New(cfg Config, log zerolog.Logger, now func() time.Time) *Control {
	return &Control{cfg: cfg, log: log, now: now, hub: relay.NewHub(cfg.Name, now), followers: newFollowers(), fleet: newFleetState(now), undecided: ring.New[fleet.LoggedDeparture](maxUndecidedDepartures), openFolder: openDataFolder, done: make(chan struct{})}
}

// Done returns a channel that is closed when the daemon has stopped.
func (c *Control) Done() <-chan struct{} { return c.done }

// Run serves until ctx ends. It returns an error if an address cannot be listened on, the data folder cannot be read
// or the disk fails.
func (c *Control) Run(ctx context.Context) error { return c.RunOpened(ctx, make(chan struct{})) }

// RunOpened is like Run and closes opened once the daemon accepts calls.
func (c *Control) RunOpened(ctx context.Context, opened chan<- struct{}) error {
	defer close(c.done)
	c.started = c.now()
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	folder, err := c.openFolder(c.cfg.DataFolder)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	links := newLinks(workCtx, c.cfg.Keys, c.log)
	c.peers = newPeers(c.cfg.Keys)
	defer c.peers.close()
	if err := c.open(folder, links); err != nil {
		return err
	}
	servers, err := c.listen(ctx, workCtx.Done())
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	servers.start(&wg, c.log)
	failed := make(chan error, 1)
	wg.Go(func() { failed <- c.quorum.run(workCtx) })
	wg.Go(func() { c.reportLeaderAge(workCtx) })
	wg.Go(func() { c.runPlacement(workCtx) })
	wg.Go(func() { c.runFleet(workCtx) })
	c.log.Info().Str("operatorAddress", c.cfg.OperatorAddress).Str("disk", c.quorum.disk.identity).
		Int64("revision", c.store.Current().Revision).Dur("opened", c.now().Sub(c.started)).Int("processors", runtime.NumCPU()).
		Int("usedProcessors", runtime.GOMAXPROCS(0)).Msg("started")
	close(opened)
	select {
	case <-ctx.Done():
		c.leaveQuorum(workCtx)
	case err = <-failed:
	}
	stop()
	servers.stop()
	wg.Wait()
	links.wg.Wait()
	c.log.Info().Err(err).Msg("stopped")
	return err
}

// open reads the data folder and creates the voter.
func (c *Control) open(files journal.Files, l *links) error {
	if !c.cfg.Join && !slices.ContainsFunc(c.cfg.Voters, func(v string) bool { return strings.HasPrefix(v, c.cfg.Name+"=") }) {
		return &VoterMissingError{Name: c.cfg.Name, Voters: c.cfg.Voters}
	}
	d, restored, err := openDisk(files)
	if err != nil {
		return err
	}
	onAccepted := func(revision int64, encoded []byte) { c.hub.Put(revision, encoded) }
	if c.quorum, err = newQuorum(c.cfg, d, restored, l, onAccepted, c.removeDeparted, c.log, c.now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))); err != nil {
		return err
	}
	c.store = c.quorum
	c.publishMetrics()
	return nil
}

// reportLeaderAge passes the time of the last contact with a leader to the hub, which reports its age to the
// followers.
func (c *Control) reportLeaderAge(ctx context.Context) {
	t := time.NewTicker(c.cfg.Heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if status := c.store.Status(); status.Leader.Name != "" {
				c.hub.RecordLeaderContact(status.LastLeaderContact)
			}
		case <-ctx.Done():
			return
		}
	}
}

// leaveQuorum announces a planned stop to the other members and hands leadership over if this voter leads.
func (c *Control) leaveQuorum(ctx context.Context) {
	c.quorum.announceStop(ctx)
	if c.store.Status().IsLeader {
		c.transferLeadership(ctx)
		return
	}
	// The reply to the leader's next heartbeat carries the announcement.
	clock.Sleep(ctx, 2*c.cfg.Heartbeat)
}

// transferLeadership hands leadership to another voter before a planned stop. It waits up to the election timeout
// until a new leader is known, so that the transfer message is sent before the links close.
func (c *Control) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ElectionTimeout)
	defer cancel()
	c.quorum.transfer(ctx)
	for c.store.Status().Leader.Name == "" && ctx.Err() == nil {
		clock.Sleep(ctx, c.cfg.Heartbeat)
	}
}

// servers holds the daemon's listeners and the servers on them.
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
		operatorListener: c.cfg.Keys.Listener(c.cfg.Connections.Listener(operators)),
		peers: grpc.NewServer(append(c.cfg.PeerConnections.ServerOptions(),
			grpc.MaxRecvMsgSize(maxMessageBytes),
			grpc.Creds(c.cfg.Keys.Server()),
			grpc.StaticStreamWindowSize(keys.WindowBytes),
			grpc.StaticConnWindowSize(keys.WindowBytes),
			grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: linkMinPing, PermitWithoutStream: true}),
			// Connections that went silent are closed by this side as well.
			grpc.KeepaliveParams(keepalive.ServerParameters{Time: linkPing, Timeout: linkPingTimeout}),
		)...),
		peerListener: c.cfg.PeerConnections.RPCListener(peers, linkPingTimeout),
	}
	c.cfg.Connections.Configure(s.operators)
	wiregen.RegisterConfigurationServer(s.peers, relay.NewServer(c.hub, c.acceptFollower, done))
	wiregen.RegisterConsensusServer(s.peers, c)
	wiregen.RegisterFleetServer(s.peers, fleetServer{Control: c})
	return s, nil
}

func (s *servers) start(wg *sync.WaitGroup, log zerolog.Logger) {
	wg.Go(func() {
		if err := s.operators.Serve(s.operatorListener); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Msg("operator server failed")
		}
	})
	wg.Go(func() { _ = s.peers.Serve(s.peerListener) })
}

// stop waits up to decisionTimeout for operators' requests in progress and closes the peers' streams, which their
// clients reopen at other daemons.
func (s *servers) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), decisionTimeout)
	defer cancel()
	_ = s.operators.Shutdown(ctx)
	s.peers.Stop()
}
