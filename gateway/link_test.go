package gateway

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// link is the network path between one gateway and one endpoint, which may be cut.
type link struct {
	t       testing.TB
	address string
	target  string

	mu       sync.Mutex
	listener net.Listener
	// conns holds both ends of each open connection.
	conns map[net.Conn]net.Conn
	// silent links carry no bytes.
	silent bool
	// queued fills the queue of new connections of a silent link, and silentListener is its socket.
	queued         []net.Conn
	silentListener int
	// resumed is closed when the link carries data again, and then replaced.
	resumed chan struct{}
}

// cutKind is how a link is cut.
type cutKind int

const (
	// silentCut: open connections carry nothing, and new ones hang.
	silentCut cutKind = iota
	// resetCut: open connections are reset, and new ones refused.
	resetCut
	// keptCut: open connections live on, and new ones are refused.
	keptCut
)

func (k cutKind) String() string { return [...]string{"silent", "reset", "kept"}[k] }

// newLink returns a link to an endpoint's address.
func newLink(t testing.TB, target string) *link {
	t.Helper()
	l := &link{t: t, target: target, conns: map[net.Conn]net.Conn{}, resumed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.address = listener.Addr().String()
	l.serve(listener)
	t.Cleanup(func() {
		l.cut(resetCut)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.endSilence()
	})
	return l
}

func (l *link) serve(listener net.Listener) {
	l.mu.Lock()
	l.listener, l.silent = listener, false
	l.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", l.target)
			if err != nil {
				// The endpoint refuses connections: so does the link, though late.
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
				_ = listener.Close()
				return
			}
			l.mu.Lock()
			l.conns[conn] = out
			l.mu.Unlock()
			go l.carry(conn, out, conn)
			go l.carry(out, conn, conn)
		}
	}()
}

// carry copies bytes until one end closes or the link is silent.
func (l *link) carry(to, from, key net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent, resumed := l.silent, l.resumed
		l.mu.Unlock()
		if silent {
			select {
			case <-resumed:
			case <-l.t.Context().Done():
				return
			}
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			l.mu.Lock()
			delete(l.conns, key)
			l.mu.Unlock()
			return
		}
	}
}

// cut interrupts the link in the given way.
func (l *link) cut(kind cutKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	switch kind {
	case silentCut:
		l.silent = true
		l.listenSilently()
	case resetCut:
		for conn, out := range l.conns {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			_ = out.Close()
		}
		l.conns = map[net.Conn]net.Conn{}
	case keptCut:
	}
}

// restore ends a silent cut: what the open connections held up arrives, and new ones succeed.
func (l *link) restore() {
	l.mu.Lock()
	l.endSilence()
	close(l.resumed)
	l.resumed = make(chan struct{})
	l.mu.Unlock()
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", l.address); err == nil {
			l.serve(listener)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	l.t.Error(err)
}

// endSilence closes the listener of a silent link.
func (l *link) endSilence() {
	for _, conn := range l.queued {
		_ = conn.Close()
	}
	l.queued = nil
	if l.silentListener > 0 {
		_ = syscall.Close(l.silentListener)
		l.silentListener = 0
	}
}

// listenSilently lets new connections hang: the queue of the listener is full.
func (l *link) listenSilently() {
	address, err := net.ResolveTCPAddr("tcp", l.address)
	if err != nil {
		l.t.Error(err)
		return
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		l.t.Error(err)
		return
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	bind := &syscall.SockaddrInet4{Port: address.Port}
	copy(bind.Addr[:], address.IP.To4())
	if err := syscall.Bind(fd, bind); err != nil {
		l.t.Error(err)
		return
	}
	if err := syscall.Listen(fd, 0); err != nil {
		l.t.Error(err)
		return
	}
	l.silentListener = fd
	conn, err := net.Dial("tcp", l.address)
	if err != nil {
		l.t.Error(err)
		return
	}
	l.queued = append(l.queued, conn)
}
