package entry

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/dispatch"
	"arbutusreel/inventory"
	"arbutusreel/problem"
	"arbutusreel/stream"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

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
	if err := n.checkSender(frames.Context(), m); err != nil {
		return err
	}
	if n.closed.Load() {
		return frames.Send(wire.ProblemFrame(n.stopping()))
	}
	r, err := n.checkForwarded(wire.DecodeForward(time.Now(), m), m.GetRevision())
	if err != nil {
		return frames.Send(wire.ProblemFrame(problem.From(err)))
	}
	r = n.withPriority(r)
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

// withPriority returns the request with the priority that its class has here.
func (n *Entry) withPriority(r dispatch.Request) dispatch.Request {
	if inv, _ := n.state.Inventory(); inv != nil {
		class, _ := inv.Class(r.Class)
		r.Priority = class.Priority
	}
	return r
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
