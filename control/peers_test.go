package control

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/peer"

	"arbutusreel/keys"
	"arbutusreel/wiregen"
)

// slowFleet sends the address of the caller's connection on began as it receives an order, and replies once released.
type slowFleet struct {
	wiregen.UnimplementedFleetServer
	began    chan string
	released chan struct{}
}

func (s *slowFleet) Decide(ctx context.Context, _ *wiregen.FleetOrder) (*wiregen.FleetDecision, error) {
	from, _ := peer.FromContext(ctx)
	s.began <- from.Addr.String()
	select {
	case <-s.released:
	case <-ctx.Done():
	}
	return &wiregen.FleetDecision{Accepted: true}, ctx.Err()
}

// TestCallCutAsAnotherEnds has a call over a shared connection be cancelled or reach its deadline: the other call over it gets its
// reply, and after a deadline the next call uses a new connection.
func TestCallCutAsAnotherEnds(t *testing.T) {
	for _, c := range []struct {
		name     string
		end      func(context.Context) (context.Context, context.CancelFunc)
		replaced bool
	}{
		{"cancelled", context.WithCancel, false},
		{"deadline", func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, time.Second)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", freeAddress(t))
			if err != nil {
				t.Fatal(err)
			}
			fleet := &slowFleet{began: make(chan string), released: make(chan struct{})}
			server := grpc.NewServer()
			wiregen.RegisterFleetServer(server, fleet)
			go func() { _ = server.Serve(listener) }()
			defer server.Stop()
			p := newPeers(keys.Plain())
			defer p.close()
			var shared *peerConnection
			call := func(ctx context.Context) <-chan error {
				answered := make(chan error, 1)
				go func() {
					_, err := callPeer(ctx, p, listener.Addr().String(), func(ctx context.Context, conn grpc.ClientConnInterface) (*wiregen.FleetDecision, error) {
						shared, _ = conn.(*peerConnection)
						return wiregen.NewFleetClient(conn).Decide(ctx, &wiregen.FleetOrder{})
					})
					answered <- err
				}()
				return answered
			}
			other := call(t.Context())
			address := <-fleet.began
			first := shared
			ctx, cancel := c.end(t.Context())
			ended := call(ctx)
			select {
			case at := <-fleet.began:
				if at != address {
					t.Fatalf("the calls use different connections: %s, %s", address, at)
				}
			case err := <-ended:
				t.Fatalf("the call that ends did not begin: %v", err)
			}
			if !c.replaced {
				cancel()
			}
			if err := <-ended; err == nil {
				t.Error("the call that ended was answered")
			}
			cancel()
			next := call(t.Context())
			if at := <-fleet.began; at != address != c.replaced {
				t.Errorf("the next call used the connection %s after %s", at, address)
			}
			close(fleet.released)
			for _, answered := range []<-chan error{other, next} {
				if err := <-answered; err != nil {
					t.Errorf("another call was answered %v", err)
				}
			}
			if closed := first.GetState() == connectivity.Shutdown; closed != c.replaced {
				t.Errorf("the first connection is closed: %v", closed)
			}
		})
	}
}

// lateContext is a context whose deadline has passed and whose timer has not run yet.
type lateContext struct{ context.Context }

func (lateContext) Deadline() (time.Time, bool) { return time.Unix(1, 0), true }

// TestConnectionKeptAfterDeadline has a call fail at its deadline before its context has expired: the next call uses a new connection.
func TestConnectionKeptAfterDeadline(t *testing.T) {
	p := newPeers(keys.Plain())
	defer p.close()
	var used []grpc.ClientConnInterface
	call := func(ctx context.Context, result error) {
		_, err := callPeer(ctx, p, "127.0.0.1:1", func(_ context.Context, conn grpc.ClientConnInterface) (struct{}, error) {
			used = append(used, conn)
			return struct{}{}, result
		})
		if !errors.Is(err, result) {
			t.Errorf("got %v, want %v", err, result)
		}
	}
	call(t.Context(), io.EOF)
	call(lateContext{t.Context()}, nil)
	call(lateContext{t.Context()}, io.EOF)
	call(t.Context(), nil)
	if used[0] != used[1] || used[1] != used[2] {
		t.Error("a connection was replaced without a call that failed at its deadline")
	}
	if used[2] == used[3] {
		t.Error("the connection was used again after a call that failed at its deadline")
	}
}
