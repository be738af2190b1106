package endpoint

import (
	"context"
	"net"
	"time"

	"arbutusreel/exchange"
)

// Limits of the connections to endpoints.
const (
	connectTimeout    = 2 * time.Second
	idleTimeout       = 30 * time.Second
	maxIdlePerAddress = 64
	// maxHeadBytes bounds the header of an answer and the informational ones before it.
	maxHeadBytes = 64 << 10
)

// dialer opens a connection to an address.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// newKeepingTransport returns a transport that keeps connections for later requests.
func newKeepingTransport() *exchange.Transport {
	return exchange.NewTransport(exchange.TransportConfig{
		Dial: dial, MaxHeadBytes: maxHeadBytes, IdleTimeout: idleTimeout, MaxIdle: maxIdlePerAddress,
	})
}

// newSingleTransport returns a transport that opens a connection for each request.
func newSingleTransport(dial dialer) *exchange.Transport {
	return exchange.NewTransport(exchange.TransportConfig{Dial: dial, MaxHeadBytes: maxHeadBytes})
}

// dial opens a connection within connectTimeout.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, network, address)
}
