package gateway

import (
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
)

// endlessControl accepts connections, writes the start and then repeats the rest until the connection is closed. The counter
// receives the connections that were closed.
func endlessControl(t *testing.T, start func(w io.Writer), rest string) (address string, closed *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed = new(atomic.Int64)
	block := strings.Repeat(rest, 1+(16<<10)/len(rest))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
			go func() {
				defer c.Close()
				start(c)
				for err := error(nil); err == nil; _, err = io.WriteString(c, block) {
					continue
				}
				closed.Add(1)
			}()
		}
	}()
	return l.Addr().String(), closed
}

// TestEndlessControl has a gateway know several control daemons whose bytes are no messages and never end, beside a sound one: it
// cuts them off, keeps little of their bytes, and follows the sound one.
func TestEndlessControl(t *testing.T) {
	const heldBytes = 32 << 20
	nothing := func(io.Writer) {}
	settings := func(w io.Writer) { _ = http2.NewFramer(w, nil).WriteSettings() }
	header := func(w io.Writer) {
		f := http2.NewFramer(w, nil)
		_ = f.WriteSettings()
		_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
	}
	var continuation strings.Builder
	// A literal header field that isn't indexed, in a frame that doesn't end the header.
	_ = http2.NewFramer(&continuation, nil).WriteContinuation(1, false, []byte(strings.Repeat("\x00\x01x\x01x", 3000)))
	for _, c := range []struct {
		name  string
		start func(io.Writer)
		rest  string
	}{
		{"no HTTP", nothing, "x"},
		{"answer of HTTP/1.1", nothing, "HTTP/1.1 200 OK\r\n"},
		{"bytes after the settings", settings, "x"},
		{"header without end", header, continuation.String()},
	} {
		t.Run(c.name, func(t *testing.T) {
			var before, during runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			sound := newControl(t, 300*time.Millisecond, true)
			g := newGateway(t, testTable(t, nil))
			g.view.Store(&view{})
			g.cfg.Controls = []string{sound.address}
			var cut []*atomic.Int64
			for range 4 {
				address, closed := endlessControl(t, c.start, c.rest)
				g.cfg.Controls = append(g.cfg.Controls, address)
				cut = append(cut, closed)
			}
			g.wg.Go(func() { g.subscribe(g.workCtx) })
			t.Cleanup(func() {
				g.cancelWork()
				g.wg.Wait()
			})
			waitFor(t, "the gateway follows the sound control daemon", func() bool { return g.view.Load().control == sound.address })
			runtime.GC()
			runtime.ReadMemStats(&during)
			if held := int64(during.HeapAlloc) - int64(before.HeapAlloc); held > heldBytes {
				t.Errorf("%d MB held", held>>20)
			}
			for _, closed := range cut {
				waitFor(t, "the endless connection closed", func() bool { return closed.Load() > 0 })
			}
		})
	}
}
