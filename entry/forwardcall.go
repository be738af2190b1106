package entry

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"

	"arbutusreel/dispatch"
	"arbutusreel/problem"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// Times of the connections to other instances.
const (
	connectTimeout  = time.Second
	reconnectDelay  = 100 * time.Millisecond
	reconnectLimit  = time.Second
	reconnectFactor = 1.6
	reconnectJitter = 0.2
)

func reconnectBackoff() backoff.Config {
	return backoff.Config{BaseDelay: reconnectDelay, Multiplier: reconnectFactor, Jitter: reconnectJitter, MaxDelay: reconnectLimit}
}

// ForwardCall sends a call to one entry of the region; without a connection to any, nothing was sent.
//
// The outcome is then "not run" only for a call that the own region's ledger
// has claimed: an earlier try with the key of any other call may have run.
func (p *peers) ForwardCall(ctx context.Context, region string, r dispatch.Request) (dispatch.Reply, error) {
	for _, e := range p.state.live() {
		if e.Region != region || e.Leaving || r.Passed(e.Name) {
			continue
		}
		conn, err := p.conn(e.PeerAddress)
		if err == nil && connected(ctx, conn) {
			return forwardCall(ctx, conn, region, r)
		}
	}
	unsent := problem.New(problem.HomeRegionRequired, http.StatusServiceUnavailable, "no entry of region %q can be reached", region).WithRetryAfter(retryAfterStopping)
	if r.Claimed {
		return dispatch.Reply{}, unsent
	}
	return dispatch.Reply{}, unsent.WithOutcome(problem.Unknown)
}

// connected reports whether the connection is made within the time for it.
func connected(ctx context.Context, conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		state := conn.GetState()
		if state == connectivity.Ready {
			return true
		}
		conn.Connect()
		if !conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

// forwardCall sends a call on a connection; whatever fails after that leaves its outcome unknown.
func forwardCall(ctx context.Context, conn *grpc.ClientConn, region string, r dispatch.Request) (dispatch.Reply, error) {
	frames, err := wiregen.NewPeerClient(conn).Forward(ctx, wire.EncodeForward(r))
	if err != nil {
		return dispatch.Reply{}, noAnswer(region)
	}
	var reply dispatch.Reply
	for {
		frame, err := frames.Recv()
		if err != nil {
			return dispatch.Reply{}, noAnswer(region)
		}
		switch f := frame.GetFrame().(type) {
		case *wiregen.ForwardFrame_Head:
			reply.Status = int(f.Head.GetStatus())
			reply.ContentType = f.Head.GetContentType()
			reply.Endpoint = f.Head.GetEndpoint()
		case *wiregen.ForwardFrame_Piece:
			reply.Body = append(reply.Body, f.Piece.GetData()...)
		case *wiregen.ForwardFrame_End:
			return reply, nil
		case *wiregen.ForwardFrame_Problem:
			return dispatch.Reply{}, wire.DecodeProblem(f.Problem)
		}
	}
}

func noAnswer(region string) *problem.Problem {
	return problem.New(problem.CallUnknown, http.StatusBadGateway, "region %q gave no answer", region).WithOutcome(problem.Unknown).WithRetryAfter(retryAfterStopping)
}
