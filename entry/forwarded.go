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

// frameSink is a sink that sends the pieces of an answer to the forwarding entry.
type frameSink struct {
	frames grpc.ServerStreamingServer[wiregen.ForwardFrame]
	// started reports whether a piece was sent.
	started bool
}

// Piece sends one piece; the first one names the software version that wrote the answer.
func (s *frameSink) Piece(p stream.Piece) error {
	if !s.started {
		s.started = true
		return s.frames.Send(wire.FirstPieceFrame(p))
	}
	return s.frames.Send(wire.PieceFrame(p))
}

// Forward runs a request that another entry has forwarded or handed over.
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
	class := n.classOf(r)
	r.Priority = class.Priority
	reserved, err := n.reserveBody(r.Team, class, int64(len(r.Body)))
	if err != nil {
		return frames.Send(wire.ProblemFrame(problem.From(err)))
	}
	ctx, cancel := context.WithDeadline(frames.Context(), r.Deadline)
	defer cancel()
	if r.Model != "" {
		defer reserved.release()
		end, err := n.dispatcher.Generate(ctx, r, &frameSink{frames: frames})
		if err != nil {
			return frames.Send(wire.ProblemFrame(n.streamProblem(err)))
		}
		return frames.Send(wire.EndFrame(end))
	}
	reply, err := n.forwardedCall(ctx, r, reserved.release)
	if err != nil {
		return frames.Send(wire.ProblemFrame(problem.From(err)))
	}
	return sendReply(frames, reply)
}

// classOf returns the class of a forwarded request according to the own inventory; an unknown class has the highest
// priority.
func (n *Entry) classOf(r dispatch.Request) inventory.Class {
	inv, _ := n.state.Inventory()
	if inv == nil {
		return inventory.Class{Name: r.Class}
	}
	class, _ := inv.Class(r.Class)
	return class
}

// forwardedCall runs a call from another region, through the ledger if the call must not be repeated. It calls release
// once the call holds no memory any more.
func (n *Entry) forwardedCall(ctx context.Context, r dispatch.Request, release func()) (dispatch.Reply, error) {
	inv, _ := n.state.Inventory()
	if inv == nil {
		release()
		return dispatch.Reply{}, problem.New(problem.NotReady, http.StatusServiceUnavailable, "instance %q has no inventory yet", n.cfg.Self.Name)
	}
	s, ok := inv.Service(r.Service)
	team, known := inv.Team(r.Team)
	if ok && !s.Idempotent && known && team.HomeRegion == n.cfg.Self.Region {
		return n.runner.RunNotify(ctx, r, release)
	}
	defer release()
	switch {
	case !ok:
		return dispatch.Reply{}, problem.New(problem.UnknownService, http.StatusNotFound, "no plain service has the name %q", r.Service)
	case s.Idempotent || r.Claimed:
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
