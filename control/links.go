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
	linkQueueLength = 256
	linkBackoff     = 100 * time.Millisecond
	// linkConnectTimeout limits one attempt to connect, so that a link recovers soon after a partition.
	linkConnectTimeout = 2 * time.Second
	// linkPing and linkPingTimeout detect a connection that is cut by a partition.
	linkPing        = 10 * time.Second
	linkPingTimeout = 2 * time.Second
	linkMinPing     = 5 * time.Second
	// maxMessageBytes limits the size of a message between voters, which may contain a snapshot.
	maxMessageBytes = 128 << 20
	// linkIdleTimeout is the time without messages after which a link is closed.
	linkIdleTimeout = 30 * time.Second
)

// links sends messages to the other voters, with one goroutine and one bounded queue for each address.
type links struct {
	ctx  context.Context
	keys *keys.Source
	log  zerolog.Logger
	wg   sync.WaitGroup

	mu     sync.Mutex
	queues map[string]*ring.Queue[*wiregen.ConsensusMessage]
}

func newLinks(ctx context.Context, source *keys.Source, log zerolog.Logger) *links {
	return &links{ctx: ctx, keys: source, log: log, queues: map[string]*ring.Queue[*wiregen.ConsensusMessage]{}}
}

// send queues a message. A message for a full queue is dropped, as consensus retransmits what matters.
func (l *links) send(m consensus.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queues[m.ToAddress]
	if queue == nil {
		queue = ring.New[*wiregen.ConsensusMessage](linkQueueLength)
		l.queues[m.ToAddress] = queue
		l.wg.Go(func() { l.run(m.To.Name, m.ToAddress, queue) })
	}
	queue.Offer(encodeMessage(m))
}

// run maintains a stream to an address until the link is idle or the context ends.
func (l *links) run(name, address string, queue *ring.Queue[*wiregen.ConsensusMessage]) {
	for l.ctx.Err() == nil {
		idle, err := l.stream(name, address, queue)
		if err != nil && l.ctx.Err() == nil {
			l.log.Debug().Str("voter", address).Err(err).Msg("voter unreachable")
		}
		if idle && l.removeIdle(address, queue) {
			return
		}
		clock.Sleep(l.ctx, linkBackoff)
	}
}

// removeIdle removes the link if its queue is empty and reports whether it did.
func (l *links) removeIdle(address string, queue *ring.Queue[*wiregen.ConsensusMessage]) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if queue.Len() > 0 {
		return false
	}
	delete(l.queues, address)
	return true
}

// stream sends queued messages over one connection; idle reports that it ended because no message was queued in time.
func (l *links) stream(name, address string, queue *ring.Queue[*wiregen.ConsensusMessage]) (idle bool, err error) {
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
		takeCtx, stop := context.WithTimeout(ctx, linkIdleTimeout)
		m, err := queue.Take(takeCtx)
		stop()
		if err != nil {
			return true, l.ctx.Err()
		}
		if err := messages.Send(m); err != nil {
			return false, err
		}
	}
}

// Deliver receives messages from another voter.
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
			c.log.Error().Err(err).Str("voter", m.GetFrom().GetName()).Msg("voter message refused")
			return status.Error(codes.InvalidArgument, err.Error())
		}
		if err := c.quorum.enqueue(messages.Context(), func(now time.Time) { c.quorum.node.Receive(now, decoded) }); err != nil {
			return err
		}
	}
}

// checkVoter refuses a message whose sender does not match the name in its certificate.
func (c *Control) checkVoter(ctx context.Context, from *wiregen.VoterId) error {
	identity, ok := keys.Peer(ctx)
	if !c.cfg.Keys.Mutual() || ok && identity.Name == from.GetName() {
		return nil
	}
	c.log.Warn().Str("claimed", from.GetName()).Str("certificate", identity.Name).Msg("peer refused")
	return status.Errorf(codes.PermissionDenied, "the certificate is not that of voter %q", from.GetName())
}

// Identify returns the name and disk identity of this daemon.
func (c *Control) Identify(context.Context, *wiregen.IdentifyRequest) (*wiregen.VoterId, error) {
	return &wiregen.VoterId{Name: c.cfg.Name, Disk: c.quorum.disk.identity}, nil
}
