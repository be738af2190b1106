package control

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arbutusreel/fleet"
)

// silenceableProxy passes connections on to an address. Those that are open when silence is called stay open, and what is sent over
// them is dropped.
type silenceableProxy struct {
	address string
	mu      sync.Mutex
	open    []*atomic.Bool
}

func newSilenceableProxy(t *testing.T, to string) *silenceableProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &silenceableProxy{address: l.Addr().String()}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			silent := new(atomic.Bool)
			p.mu.Lock()
			p.open = append(p.open, silent)
			p.mu.Unlock()
			go pass(out, in, silent)
			go pass(in, out, silent)
		}
	}()
	return p
}

// pass copies bytes, or drops them once the connection is silent.
func pass(to, from net.Conn, silent *atomic.Bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if silent.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, writeErr := to.Write(b[:n]); err != nil || writeErr != nil {
			_, _ = to.Close(), from.Close()
			return
		}
	}
}

func (p *silenceableProxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, silent := range p.open {
		silent.Store(true)
	}
}

// TestSilentShareStream has the open connection between two control daemons go silent without a reset: what endpoints report to one
// of them reaches the other one again within the time after which a disturbance counts as over.
func TestSilentShareStream(t *testing.T) {
	const connectivityWindow = 6 * time.Second
	from, to := start(t, newConfigs(t, 1, 0)[0]), start(t, newConfigs(t, 1, 0)[0])
	p := newSilenceableProxy(t, to.cfg.PeerAddress)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	go func() {
		defer close(ended)
		from.maintainShareStream(ctx, p.address)
	}()
	e := leavingEndpoint()
	from.Announce(e)
	waitFor(t, "the endpoint known by the other daemon", func() bool { return to.knows(e.ID, fleet.Ready) })
	p.silence()
	e.Sequence++
	e.State = fleet.Draining
	from.Announce(e)
	for silenced := time.Now(); !to.knows(e.ID, fleet.Draining); time.Sleep(10 * time.Millisecond) {
		if time.Since(silenced) > connectivityWindow {
			t.Fatalf("the state is not known %v after the connection went silent", connectivityWindow)
		}
	}
}
