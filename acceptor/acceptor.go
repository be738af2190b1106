package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/intake"
)

const (
	// stallTime is how long a write to a client takes until the client counts as one that does not read.
	stallTime = 2 * time.Second
	// quietTime is how long a peer sends no whole message until its place may be taken. Peers report every second, and take one
	// another for lost after 3 s.
	quietTime = 3 * time.Second
	// placeTime is how long a new connection waits for a place, and placePeriod the interval at which it looks for one. The
	// connections after it wait in the queue of the socket, in the order in which they came.
	placeTime   = 250 * time.Millisecond
	placePeriod = 2 * time.Millisecond
	// roomTime is how long a head or a body waits for the memory of those that yield to it.
	roomTime = time.Second
)

// Acceptor bounds the connections of a process.
type Acceptor struct {
	now     func() time.Time
	log     zerolog.Logger
	started time.Time
	// shed and refused count the connections that were closed for others, and those that were not accepted.
	shed, refused atomic.Int64

	mu       sync.Mutex
	register *intake.Register[*Conn]
	notices  intake.Notices
}

// New returns an acceptor without connections.
func New(limits intake.Limits, log zerolog.Logger, now func() time.Time) *Acceptor {
	return &Acceptor{now: now, log: log, started: now(), register: intake.New[*Conn](limits)}
}

// Counts are the numbers of connections and bytes of an acceptor.
type Counts struct {
	// Waiting, Idle and Serving are the open connections by phase.
	Waiting int `json:"waiting"`
	Idle    int `json:"idle"`
	Serving int `json:"serving"`
	// HeadBytes is the memory that large heads count for.
	HeadBytes int64 `json:"headBytes"`
	// BodyBytes is the memory that bodies count for.
	BodyBytes int64 `json:"bodyBytes"`
	// Shed and Refused are the connections closed for others, and those closed when they were accepted, since the start.
	Shed    int64 `json:"shed"`
	Refused int64 `json:"refused"`
}

// Counts returns the present counts.
func (a *Acceptor) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Counts{
		Waiting: a.register.Count(intake.Waiting), Idle: a.register.Count(intake.Idle), Serving: a.register.Count(intake.Serving),
		HeadBytes: a.register.HeadCost(), BodyBytes: a.register.BodyCost(), Shed: a.shed.Load(), Refused: a.refused.Load(),
	}
}

// HeadLimits bounds the head of one request. Zero values set no bound beyond those of the server.
type HeadLimits struct {
	// Bytes is the size at which an unfinished head is answered with status 431.
	Bytes int64
	// Time is the time from the first part of a head to its end, after which the connection is closed. It must be zero for
	// a server with a ReadTimeout, whose deadline it would replace.
	Time time.Duration
}

// Listener returns a listener that accepts the TCP connections of l within the bounds. Configure must be called on the
// server that uses it. A nil acceptor sets no bounds and returns l.
func (a *Acceptor) Listener(l net.Listener) net.Listener {
	return a.ListenerWithin(l, func() HeadLimits { return HeadLimits{} })
}

// ListenerWithin is like Listener and bounds each head by the present limits.
func (a *Acceptor) ListenerWithin(l net.Listener, limits func() HeadLimits) net.Listener {
	if a == nil {
		return l
	}
	return newListener(l, a, limits)
}

// Configure prepares a server, so that the acceptor knows what its connections are doing.
func (a *Acceptor) Configure(s *http.Server) {
	if a == nil {
		return
	}
	if next := s.ConnState; next == nil {
		s.ConnState = a.connState
	} else {
		s.ConnState = func(nc net.Conn, state http.ConnState) {
			a.connState(nc, state)
			next(nc, state)
		}
	}
	s.Handler = a.handler(s.Handler)
	before := s.ConnContext
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if before != nil {
			ctx = before(ctx, nc)
		}
		return withConn(ctx, nc)
	}
}

type listener struct {
	net.Listener

	acceptor *Acceptor
	limits   func() HeadLimits
	closed   *atomic.Bool
}

func newListener(l net.Listener, a *Acceptor, limits func() HeadLimits) listener {
	return listener{Listener: l, acceptor: a, limits: limits, closed: &atomic.Bool{}}
}

// Close closes the listener. A connection that waits for a place is refused.
func (l listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// Accept returns the next connection that is not refused.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		if accepted := l.await(tcp); accepted != nil {
			return accepted, nil
		}
		l.acceptor.refused.Add(1)
		_ = c.Close()
		l.acceptor.notify()
	}
}

// await registers a connection as soon as there is a place; it returns nil if the connection is refused.
func (l listener) await(tcp *net.TCPConn) *Conn {
	for began := l.acceptor.now(); ; time.Sleep(placePeriod) {
		if accepted := l.acceptor.open(tcp, l.limits); accepted != nil {
			return accepted
		}
		if l.closed.Load() || l.acceptor.now().Sub(began) >= placeTime {
			return nil
		}
	}
}

// open registers a connection; it returns nil if the connection is refused.
func (a *Acceptor) open(tcp *net.TCPConn, limits func() HeadLimits) *Conn {
	c := &Conn{TCPConn: tcp, acceptor: a, limits: limits}
	c.readsHead.Store(true)
	now := a.now()
	a.mu.Lock()
	entry, closing := a.register.Open(c, func(c *Conn) bool { return c.stalled(now) })
	c.entry = entry
	a.mu.Unlock()
	if closing != nil {
		a.close(closing.Conn)
	}
	if entry == nil {
		return nil
	}
	return c
}

// close closes a connection that the register has given up.
func (a *Acceptor) close(c *Conn) {
	a.shed.Add(1)
	_ = c.TCPConn.Close()
	a.notify()
}

// notify logs the counts, if that is due.
func (a *Acceptor) notify() {
	a.mu.Lock()
	due := a.notices.Due(a.now())
	a.mu.Unlock()
	if due {
		a.log.Warn().Interface("counts", a.Counts()).Msg("connections exceed a bound")
	}
}

// enter moves a connection to a phase. It returns false if the connection has been given up.
func (a *Acceptor) enter(c *Conn, p intake.Phase) bool {
	a.mu.Lock()
	closing := a.register.Enter(c.entry, p)
	givenUp := c.entry.GivenUp()
	a.mu.Unlock()
	if closing {
		a.close(c)
	}
	return !givenUp
}

// connState records the changes of a server's connections.
func (a *Acceptor) connState(nc net.Conn, state http.ConnState) {
	c := connOf(nc)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.readsHead.Store(false)
	case http.StateIdle:
		c.head, c.headDeadline = intake.Head{}, time.Time{}
		c.readsHead.Store(true)
		a.enter(c, intake.Idle)
	default:
	}
}

// connOf returns the connection below one of a server, or nil if it was not accepted here.
func connOf(nc net.Conn) *Conn {
	if wrapped, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = wrapped.NetConn()
	}
	c, _ := nc.(*Conn)
	return c
}
