package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/problem"
)

const (
	// closingPeriod is the interval at which a gateway that closes its servers looks for requests in progress.
	closingPeriod = 10 * time.Millisecond
	// closingTime bounds the time to close everything else, within stopMargin.
	closingTime = 100 * time.Millisecond
)

// activeConns holds the connections on which a request has been read whose answer is not complete. It is safe for concurrent use.
type activeConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newActiveConns() *activeConns { return &activeConns{conns: map[net.Conn]struct{}{}} }

// record is called by a server at each change of the state of a connection.
func (a *activeConns) record(c net.Conn, s http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s == http.StateActive {
		a.conns[c] = struct{}{}
	} else {
		delete(a.conns, c)
	}
}

func (a *activeConns) any() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns) > 0
}

// closeServers closes the servers. They pass on no further request; those that they have read by then are answered until end.
func (g *Gateway) closeServers(end time.Time, servers ...*http.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg, closing sync.WaitGroup
	closing.Add(len(servers))
	for _, s := range servers {
		s.RegisterOnShutdown(closing.Done)
		wg.Go(func() {
			_ = s.Shutdown(ctx)
			_ = s.Close()
		})
	}
	closing.Wait()
	// Shutdown also waits for new connections that have carried no request.
	for g.active.any() && time.Now().Before(end) {
		time.Sleep(closingPeriod)
	}
	g.answerLast()
	cancel()
	wg.Wait()
}

// answerLast has requests answered whose answers have not begun, within closingTime. There are some if the process was suspended when
// it was time to answer them.
func (g *Gateway) answerLast() {
	g.endAnswers()
	last := time.Now().Add(closingTime)
	for awaited := g.answers.anyAwaited(); awaited && time.Now().Before(last); {
		awaited = g.answers.anyAwaited()
		// An answer that has just begun is still to be sent.
		time.Sleep(closingPeriod)
	}
}

// closeParts ends everything but the HTTP servers, and returns after closingTime at the latest: closing a gRPC connection may take
// seconds, and there is nothing to save.
func (g *Gateway) closeParts(loadServer *grpc.Server) {
	g.cancelWork()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		loadServer.Stop()
		g.pool.Close()
		g.peers.Close()
		g.allotments.close()
		g.wg.Wait()
	}()
	select {
	case <-closed:
	case <-time.After(closingTime):
		g.log.Warn().Msg("not all parts have ended")
	}
}

// endAtStop ends the request if the grace period is nearly over, and reports whether it did. A stream in progress that is not handed
// back goes on until the servers are closed.
func (j *job) endAtStop() bool {
	if j.g.answerCtx.Err() == nil {
		return false
	}
	if j.mayHandBack() {
		j.handBack()
	}
	if j.streaming() {
		return false
	}
	j.giveUp(problem.Stopping, "the grace period of the gateway is over")
	return true
}

// hurry is called when the grace period is nearly over. It ends the attempts of a request without an answer, and of a stream that is
// handed back.
func (j *job) hurry(cancel context.CancelFunc) {
	if j.w.giveUp() || j.mayHandBack() {
		cancel()
		return
	}
	growSocketBuffer(j.r)
}
