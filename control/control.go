package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"arbutusreel/wiregen"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// Control is one control daemon.
type Control struct {
	wiregen.UnimplementedConfigurationServer

	cfg       Config
	log       zerolog.Logger
	now       func() time.Time
	store     Store
	followers *followers
	stopping  context.Context
	stop      context.CancelFunc
	done      chan struct{}
}

// New returns a control daemon that runs when Run is called.
func New(cfg Config, log zerolog.Logger, now func() time.Time) *Control {
	leader, _, _ := strings.Cut(cfg.Voters[0], "=")
	stopping, stop := context.WithCancel(context.Background())
	return &Control{
		cfg:       cfg,
		log:       log,
		now:       now,
		store:     newMemoryStore(cfg.Name, leader),
		followers: newFollowers(),
		stopping:  stopping,
		stop:      stop,
		done:      make(chan struct{}),
	}
}

// Done is closed when the daemon has stopped.
func (c *Control) Done() <-chan struct{} { return c.done }

// Run serves until ctx ends; an address that cannot be served is returned as an error.
func (c *Control) Run(ctx context.Context) error {
	defer close(c.done)
	defer c.stop()
	var config net.ListenConfig
	operators, err := config.Listen(ctx, "tcp", c.cfg.OperatorAddress)
	if err != nil {
		return err
	}
	peers, err := config.Listen(ctx, "tcp", c.cfg.PeerAddress)
	if err != nil {
		return err
	}
	operators = c.cfg.Keys.Listener(operators)
	operatorServer := &http.Server{Handler: c.operatorHandler(), ReadHeaderTimeout: headerTimeout}
	peerServer := grpc.NewServer(grpc.Creds(c.cfg.Keys.Server()))
	wiregen.RegisterConfigurationServer(peerServer, c)
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := operatorServer.Serve(operators); !errors.Is(err, http.ErrServerClosed) {
			c.log.Error().Err(err).Msg("operatorServerFailed")
		}
	})
	wg.Go(func() { _ = peerServer.Serve(peers) })
	c.log.Info().Str("operatorAddress", c.cfg.OperatorAddress).Msg("started")
	<-ctx.Done()
	c.stop()
	_ = operatorServer.Shutdown(context.WithoutCancel(ctx))
	peerServer.GracefulStop()
	wg.Wait()
	c.log.Info().Msg("stopped")
	return nil
}
