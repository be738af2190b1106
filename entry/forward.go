package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"arbutusreel/dispatch"
	"arbutusreel/membership"
	"arbutusreel/origin"
	"arbutusreel/problem"
	"arbutusreel/stream"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

var _ dispatch.Forwarder = (*peers)(nil)

// ForwardModel sends a model request to an entry of the region. If an entry fails before any piece of the answer has
// arrived, the next one is tried.
func (p *peers) ForwardModel(ctx context.Context, region string, r dispatch.Request, sink stream.Sink) (stream.End, error) {
	sequencer := stream.NewSequencer(r.CorrelationID, 0, r.Resume.Next)
	var end stream.End
	err := p.tryEntries(ctx, region, r, func(frames forwardFrames) error {
		var err error
		end, err = readForward(frames, r, sequencer, sink)
		return err
	}, func(err error) bool { return sequencer.Next() == r.Resume.Next && ctx.Err() == nil && retriable(err) })
	return end, err
}

// ForwardCall sends a call to an entry of the region. The next entry is tried only if the call was refused without
// being run.
func (p *peers) ForwardCall(ctx context.Context, region string, r dispatch.Request) (dispatch.Reply, error) {
	var reply dispatch.Reply
	err := p.tryEntries(ctx, region, r, func(frames forwardFrames) error {
		var err error
		reply, err = readReply(frames, region)
		return err
	}, func(err error) bool { return ctx.Err() == nil && refusedByInstance(err) })
	return reply, err
}

// forwardFrames is the stream of frames that answers a forwarded request.
type forwardFrames = grpc.ServerStreamingClient[wiregen.ForwardFrame]

// tryEntries sends a request to the entries of the region in turn until one answers or next reports that a failure is
// final.
func (p *peers) tryEntries(ctx context.Context, region string, r dispatch.Request, run func(forwardFrames) error, next func(error) bool) error {
	if _, err := p.checkDestination(r, region); err != nil {
		return err
	}
	m := wire.EncodeForward(r)
	last := error(problem.New(problem.HomeRegionRequired, http.StatusServiceUnavailable, "no entry of region %q can be reached", region).WithRetryAfter(retryAfterStopping))
	for _, e := range p.targets(region, r) {
		client, err := p.connectedClient(ctx, e.PeerAddress)
		if err != nil {
			continue
		}
		if m.Revision, err = p.checkDestination(r, region); err != nil {
			return err
		}
		err = forwardOnce(ctx, client, m, run)
		if err == nil || !next(err) {
			return err
		}
		last = err
	}
	return last
}

// targets returns the entries of the region that the request has not passed yet, starting at one that depends on the
// correlation ID and so differs from request to request. Leaving entries come last but are included: they serve until
// their notice has passed, and an entry that has just started may still be known as leaving.
func (p *peers) targets(region string, r dispatch.Request) []membership.Entry {
	targets := slices.DeleteFunc(p.state.live(), func(e membership.Entry) bool { return e.Region != region || r.Passed(e.Name) })
	if len(targets) > 1 {
		first := xxhash.Sum64String(r.CorrelationID) % uint64(len(targets))
		targets = slices.Concat(targets[first:], targets[:first])
	}
	slices.SortStableFunc(targets, func(a, b membership.Entry) int {
		switch {
		case a.Leaving == b.Leaving:
			return 0
		case a.Leaving:
			return 1
		default:
			return -1
		}
	})
	return targets
}

// forwardOnce sends one request, reads its answer with run, and releases the stream.
func forwardOnce(ctx context.Context, client wiregen.PeerClient, m *wiregen.ForwardRequest, run func(forwardFrames) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	frames, err := client.Forward(ctx, m)
	if err != nil {
		return &stream.IncompleteError{RequestID: m.GetCorrelationId(), Cause: err}
	}
	return run(frames)
}

// retriable reports whether another entry may answer a model request that failed without any piece of an answer.
func retriable(err error) bool {
	var incomplete *stream.IncompleteError
	return errors.As(err, &incomplete) || refusedByInstance(err)
}

// refusedByInstance reports whether an entry refused a request because it is stopping or full, so that another entry
// may accept it.
func refusedByInstance(err error) bool {
	var p *problem.Problem
	return errors.As(err, &p) && (p.Code == problem.Stopping || p.Code == problem.InstanceFull) && p.Outcome == problem.NotRun
}

// readForward passes the pieces of a forwarded answer to the sink until the answer ends.
func readForward(frames forwardFrames, r dispatch.Request, sequencer *stream.Sequencer, sink stream.Sink) (stream.End, error) {
	requestID := r.CorrelationID
	var wrote origin.Origin
	for {
		frame, err := frames.Recv()
		if err != nil {
			return stream.End{}, incomplete(requestID, sequencer, err)
		}
		switch f := frame.GetFrame().(type) {
		case *wiregen.ForwardFrame_Piece:
			piece := wire.DecodePiece(f.Piece, requestID, r.Service, wrote)
			wrote = piece.Origin
			if err := deliverPiece(piece, sequencer, sink); err != nil {
				return stream.End{}, incomplete(requestID, sequencer, err)
			}
		case *wiregen.ForwardFrame_End:
			end, err := sequencer.Close(wire.DecodeEnd(f.End))
			if err != nil {
				return stream.End{}, incomplete(requestID, sequencer, err)
			}
			return end, nil
		case *wiregen.ForwardFrame_Problem:
			return stream.End{}, wire.DecodeProblem(f.Problem)
		}
	}
}

func incomplete(requestID string, sequencer *stream.Sequencer, cause error) error {
	return &stream.IncompleteError{RequestID: requestID, Pieces: sequencer.Next(), Cause: cause}
}

// deliverPiece passes a piece to the sink if it is the next one in order.
func deliverPiece(piece stream.Piece, sequencer *stream.Sequencer, sink stream.Sink) error {
	ok, err := sequencer.Accept(piece)
	if err != nil || !ok {
		return err
	}
	return sink.Piece(piece)
}

// maxReplyBytes bounds the body of a forwarded call's answer; endpoints' answers are not longer.
const maxReplyBytes = 8 << 20

// readReply reads the full answer of a forwarded call; if the answer ends early, the outcome of the call is unknown.
func readReply(frames forwardFrames, region string) (dispatch.Reply, error) {
	var reply dispatch.Reply
	for {
		frame, err := frames.Recv()
		if err != nil {
			return dispatch.Reply{}, callUnknown(region)
		}
		switch f := frame.GetFrame().(type) {
		case *wiregen.ForwardFrame_Head:
			reply.Status = int(f.Head.GetStatus())
			reply.ContentType = f.Head.GetContentType()
			reply.Endpoint = f.Head.GetEndpoint()
		case *wiregen.ForwardFrame_Piece:
			if len(reply.Body)+len(f.Piece.GetData()) > maxReplyBytes {
				return dispatch.Reply{}, callUnknown(region)
			}
			reply.Body = append(reply.Body, f.Piece.GetData()...)
		case *wiregen.ForwardFrame_End:
			if reply.Status == 0 {
				return dispatch.Reply{}, callUnknown(region)
			}
			return reply, nil
		case *wiregen.ForwardFrame_Problem:
			return dispatch.Reply{}, wire.DecodeProblem(f.Problem)
		}
	}
}

func callUnknown(region string) *problem.Problem {
	return problem.New(problem.CallUnknown, http.StatusBadGateway, "region %q sent no complete answer", region).WithOutcome(problem.Unknown)
}
