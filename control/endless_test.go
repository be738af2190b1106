package control

import (
	"io"
	"net"
	"strings"
	"testing"

	"arbutusreel/wiregen"
)

// TestEndlessOrderReply sends an order to an engine that writes bytes without end, in the head or in the body of its reply: the
// connection is closed at a bound.
func TestEndlessOrderReply(t *testing.T) {
	// cutOffBytes is more than the socket buffers on both sides hold.
	const cutOffBytes = 8 << 20
	for name, start := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX: ", "body": "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", "no HTTP": "",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			written := make(chan int, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				go func() { _, _ = io.Copy(io.Discard, c) }()
				total, err := io.WriteString(c, start)
				for block := strings.Repeat("x", 16<<10); err == nil && total < 4*cutOffBytes; {
					var n int
					n, err = io.WriteString(c, block)
					total += n
				}
				written <- total
			}()
			if err := newOrderSender().send(t.Context(), l.Addr().String(), &wiregen.EngineOrder{Endpoint: "e"}, func() error { return nil }); err == nil {
				t.Error("the order counts as applied")
			}
			if n := <-written; n > cutOffBytes {
				t.Errorf("the engine could write %d MB", n>>20)
			}
		})
	}
}
