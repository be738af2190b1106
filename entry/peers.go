package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"arbutusreel/dispatch"
	"arbutusreel/inventory"
	"arbutusreel/problem"
	"arbutusreel/stream"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// peers speaks to the other entries.
type peers struct {
	state *state
	self  string
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

var _ dispatch.Forwarder = (*peers)(nil)

func newPeers(s *state, self string) *peers {
	return &peers{state: s, self: self, conns: map[string]*grpc.ClientConn{}}
}

// client returns the client of the peer at the address, which is connected at its first use.
func (p *peers) client(address string) (wiregen.PeerClient, error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	return wiregen.NewPeerClient(conn), nil
}

// conn returns the connection to the address, which is made at its first use.
func (p *peers) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff(), MinConnectTimeout: connectTimeout}))
	if err != nil {
		return nil, err
	}
	p.conns[address] = conn
	return conn, nil
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

// ForwardModel sends a model request to an entry of the region.
func (p *peers) ForwardModel(ctx context.Context, region string, r dispatch.Request, sink stream.Sink) (stream.End, error) {
	frames, err := p.open(ctx, region, r)
	if err != nil {
		return stream.End{}, err
	}
	order := stream.NewOrder(r.CorrelationID, 0, 0)
	for {
		frame, err := frames.Recv()
		if err != nil {
			return stream.End{}, &stream.IncompleteError{RequestID: r.CorrelationID, Pieces: order.Next(), Cause: err}
		}
		switch f := frame.GetFrame().(type) {
		case *wiregen.ForwardFrame_Piece:
			piece := stream.Piece{RequestID: r.CorrelationID, Position: int(f.Piece.GetPosition()), Text: string(f.Piece.GetData())}
			ok, err := order.Accept(piece)
			if err != nil {
				return stream.End{}, err
			}
			if !ok {
				continue
			}
			if err := sink.Piece(piece); err != nil {
				return stream.End{}, err
			}
		case *wiregen.ForwardFrame_End:
			return wire.DecodeEnd(f.End), nil
		case *wiregen.ForwardFrame_Problem:
			return stream.End{}, wire.DecodeProblem(f.Problem)
		}
	}
}

// open starts a forward to a live entry of the region.
func (p *peers) open(ctx context.Context, region string, r dispatch.Request) (grpc.ServerStreamingClient[wiregen.ForwardFrame], error) {
	for _, e := range p.state.live() {
		if e.Region != region || e.Leaving || r.Passed(e.Name) {
			continue
		}
		client, err := p.client(e.PeerAddress)
		if err != nil {
			continue
		}
		return client.Forward(ctx, wire.EncodeForward(r))
	}
	return nil, problem.New(problem.HomeRegionRequired, http.StatusServiceUnavailable, "no entry of region %q is known", region).WithRetryAfter(retryAfterStopping)
}

// frameSink sends the pieces of a forwarded answer back.
type frameSink struct {
	frames grpc.ServerStreamingServer[wiregen.ForwardFrame]
}

// Piece sends one piece.
func (s frameSink) Piece(p stream.Piece) error {
	return s.frames.Send(wire.PieceFrame(p))
}

// Forward runs a request that another region's entry sent.
func (n *Entry) Forward(m *wiregen.ForwardRequest, frames grpc.ServerStreamingServer[wiregen.ForwardFrame]) error {
	n.active.Add(1)
	defer n.active.Add(-1)
	r := wire.DecodeForward(time.Now(), m)
	ctx, cancel := context.WithDeadline(frames.Context(), r.Deadline)
	defer cancel()
	if r.Model != "" {
		end, err := n.dispatcher.Generate(ctx, r, frameSink{frames: frames})
		if err != nil {
			return frames.Send(wire.ProblemFrame(n.streamProblem(err)))
		}
		return frames.Send(wire.EndFrame(end))
	}
	reply, err := n.forwardedCall(ctx, r)
	if err != nil {
		return frames.Send(wire.ProblemFrame(problem.From(err)))
	}
	return sendReply(frames, reply)
}

// forwardedCall runs a call from another region, through the ledger if it may not be repeated.
func (n *Entry) forwardedCall(ctx context.Context, r dispatch.Request) (dispatch.Reply, error) {
	inv, _ := n.state.Inventory()
	if inv == nil {
		return dispatch.Reply{}, problem.New(problem.NotReady, http.StatusServiceUnavailable, "instance %q has no inventory yet", n.cfg.Self.Name)
	}
	s, ok := inv.Service(r.Service)
	if !ok {
		return dispatch.Reply{}, problem.New(problem.UnknownService, http.StatusNotFound, "no plain service has the name %q", r.Service)
	}
	if s.Idempotent {
		return n.dispatcher.Call(ctx, r)
	}
	return n.forwardedOnce(ctx, inv, r)
}

// forwardedOnce runs a call that may not be repeated: through the ledger in its home region, and elsewhere if that has claimed it.
func (n *Entry) forwardedOnce(ctx context.Context, inv *inventory.Inventory, r dispatch.Request) (dispatch.Reply, error) {
	team, ok := inv.Team(r.Team)
	switch {
	case ok && team.HomeRegion == n.cfg.Self.Region:
		return n.runner.Run(ctx, r)
	case r.Claimed:
		return n.dispatcher.Call(ctx, r)
	default:
		return dispatch.Reply{}, problem.New(problem.HomeRegionRequired, http.StatusServiceUnavailable, "region %q is not the home of team %q", n.cfg.Self.Region, r.Team).WithOutcome(problem.Unknown)
	}
}

func sendReply(frames grpc.ServerStreamingServer[wiregen.ForwardFrame], reply dispatch.Reply) error {
	for _, frame := range wire.ReplyFrames(reply) {
		if err := frames.Send(frame); err != nil {
			return err
		}
	}
	return nil
}
