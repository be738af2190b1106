package control

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"arbutusreel/exchange"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// Limits of an order to an engine.
const (
	orderTimeout  = 2 * time.Second
	maxOrderReply = 64 << 10
	// orderDeadline is the time after receipt within which an engine may start an order.
	orderDeadline = time.Second
)

// Parts of an order's HTTP request.
const (
	ordersPath     = "/v1/orders"
	orderMediaType = "application/json"
)

// OrderStatusError reports that an engine answered an order with a status other than 200.
type OrderStatusError struct {
	Endpoint string
	Status   int
}

// Error returns the name of the endpoint and the status.
func (e *OrderStatusError) Error() string {
	return fmt.Sprintf("endpoint %q answered an order with status %d", e.Endpoint, e.Status)
}

// OrderRefusedError reports that an engine did not apply an order.
type OrderRefusedError struct {
	Endpoint string
	Reason   string
}

// Error returns the name of the endpoint and the reason.
func (e *OrderRefusedError) Error() string {
	return fmt.Sprintf("endpoint %q refused an order: %s", e.Endpoint, e.Reason)
}

// orderSender sends orders to engines, each over a new connection.
type orderSender struct {
	client *http.Client
}

func newOrderSender() *orderSender {
	dialer := &net.Dialer{Timeout: orderTimeout}
	return &orderSender{client: &http.Client{
		Timeout:   orderTimeout,
		Transport: exchange.NewTransport(exchange.TransportConfig{Dial: dialer.DialContext, MaxHeadBytes: maxOrderReply}),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// guardedBody is a request body that calls check before each read.
//
// The transport reads the body after it has connected and directly before it writes the bytes, so the check is the
// last step before sending.
type guardedBody struct {
	check  func() error
	reader *bytes.Reader
}

// Read runs the check first; its error aborts the request before a complete order is sent.
func (b *guardedBody) Read(p []byte) (int, error) {
	if err := b.check(); err != nil {
		return 0, err
	}
	return b.reader.Read(p)
}

// send sends an order once. It calls check directly before the bytes are written and returns its error.
func (s *orderSender) send(ctx context.Context, address string, m *wiregen.EngineOrder, check func() error) error {
	body, err := protojson.Marshal(m)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+ordersPath, &guardedBody{check: check, reader: bytes.NewReader(body)})
	if err != nil {
		return err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", orderMediaType)
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &OrderStatusError{Endpoint: m.GetEndpoint(), Status: resp.StatusCode}
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxOrderReply))
	if err != nil {
		return err
	}
	reply := &wiregen.EngineOrderReply{}
	if err := wire.DecodeJSON(b, reply); err != nil {
		return err
	}
	if !reply.GetApplied() {
		return &OrderRefusedError{Endpoint: m.GetEndpoint(), Reason: reply.GetReason()}
	}
	return nil
}
