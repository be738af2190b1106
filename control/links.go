package control

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"arbutusreel/clock"
	"arbutusreel/consensus"
	"arbutusreel/keys"
	"arbutusreel/ring"
	"arbutusreel/wiregen"
)

const (
	linkMessages = 256
	linkBackoff  = 100 * time.Millisecond
	// linkConnectTimeout bounds one attempt to connect, so that a link comes back soon after a partition.
	linkConnectTimeout = 2 * time.Second
	// linkPing and linkPingTimeout find a connection that a partition has cut.
	linkPing        = 10 * time.Second
	linkPingTimeout = 2 * time.Second
	linkLeastPing   = 5 * time.Second
	// maxMessageBytes bounds one message between voters, which may hold a snapshot.
	maxMessageBytes = 128 << 20
	// linkIdle is the time after which a link that has nothing to send is closed.
	linkIdle = 30 * time.Second
)

// links carries messages to the other voters, with one goroutine for each address.
type links struct {
	ctx  context.Context
	keys *keys.Source
	log  zerolog.Logger
	wg   sync.WaitGroup

	mu    sync.Mutex
	rings map[string]*ring.Ring[*wiregen.ConsensusMessage]
}

func newLinks(ctx context.Context, source *keys.Source, log zerolog.Logger) *links {
	return &links{ctx: ctx, keys: source, log: log, rings: map[string]*ring.Ring[*wiregen.ConsensusMessage]{}}
}

// send passes on a message; one for a link that is full is dropped, as consensus repeats what matters.
func (l *links) send(m consensus.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rings[m.ToAddress]
	if r == nil {
		r = ring.New[*wiregen.ConsensusMessage](linkMessages)
		l.rings[m.ToAddress] = r
		l.wg.Go(func() { l.run(m.To.Name, m.ToAddress, r) })
	}
	r.Offer(encodeMessage(m))
}

// run keeps a stream to an address until the link has been idle or the links end.
func (l *links) run(name, address string, r *ring.Ring[*wiregen.ConsensusMessage]) {
	for l.ctx.Err() == nil {
		idle, err := l.stream(name, address, r)
		if err != nil && l.ctx.Err() == nil {
			l.log.Debug().Str("voter", address).Err(err).Msg("voterUnreachable")
		}
		if idle && l.forget(address, r) {
			return
		}
		clock.Sleep(l.ctx, linkBackoff)
	}
}

// forget removes an empty link and reports whether it did.
func (l *links) forget(address string, r *ring.Ring[*wiregen.ConsensusMessage]) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Len() > 0 {
		return false
	}
	delete(l.rings, address)
	return true
}

// stream sends the messages of one connection; idle says that it ended for want of messages.
func (l *links) stream(name, address string, r *ring.Ring[*wiregen.ConsensusMessage]) (idle bool, err error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(l.keys.Client(name)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: linkConnectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: linkPing, Timeout: linkPingTimeout}))
	if err != nil {
		return false, err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	messages, err := wiregen.NewConsensusClient(conn).Deliver(ctx)
	if err != nil {
		return false, err
	}
	for {
		waiting, stop := context.WithTimeout(ctx, linkIdle)
		m, err := r.Take(waiting)
		stop()
		if err != nil {
			return true, l.ctx.Err()
		}
		if err := messages.Send(m); err != nil {
			return false, err
		}
	}
}

// Deliver takes the messages of another voter.
func (c *Control) Deliver(messages grpc.ClientStreamingServer[wiregen.ConsensusMessage, wiregen.DeliverReply]) error {
	for {
		m, err := messages.Recv()
		if errors.Is(err, io.EOF) {
			return messages.SendAndClose(&wiregen.DeliverReply{})
		}
		if err != nil {
			return err
		}
		if err := c.checkVoter(messages.Context(), m.GetFrom()); err != nil {
			return err
		}
		decoded, err := decodeMessage(m)
		if err != nil {
			c.log.Error().Err(err).Str("voter", m.GetFrom().GetName()).Msg("messageRefused")
			return status.Error(codes.InvalidArgument, err.Error())
		}
		if err := c.quorum.input(messages.Context(), func(now time.Time) { c.quorum.node.Receive(now, decoded) }); err != nil {
			return err
		}
	}
}

// checkVoter refuses a message whose sender has the certificate of another instance.
func (c *Control) checkVoter(ctx context.Context, from *wiregen.VoterId) error {
	identity, ok := keys.Peer(ctx)
	if !c.cfg.Keys.Mutual() || ok && identity.Name == from.GetName() {
		return nil
	}
	c.log.Warn().Str("claimed", from.GetName()).Str("certificate", identity.Name).Msg("peerRefused")
	return status.Errorf(codes.PermissionDenied, "the certificate is not that of voter %q", from.GetName())
}

// Identify returns this daemon's name and disk.
func (c *Control) Identify(context.Context, *wiregen.IdentifyRequest) (*wiregen.VoterId, error) {
	return &wiregen.VoterId{Name: c.cfg.Name, Disk: c.quorum.disk.identity}, nil
}
