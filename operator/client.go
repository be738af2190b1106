package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"arbutusreel/problem"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// UnreachableError says that no control voter answered.
type UnreachableError struct {
	Controls []string
	Cause    error
}

// Error names the voters and the last cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no control voter of %q answered: %v", e.Controls, e.Cause)
}

// Unwrap returns the last cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Client asks one control voter after another until one answers.
type Client struct {
	controls []string
	token    string
	client   *http.Client
	scheme   string
}

// New returns a client of the control voters at the addresses.
func New(controls []string, token string, client *http.Client) *Client {
	return &Client{controls: controls, token: token, client: client, scheme: "http"}
}

// WithTLS returns a client that speaks TLS by the configuration.
func (c *Client) WithTLS(cfg *tls.Config) *Client {
	with := *c
	with.client = &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}
	with.scheme = "https"
	return &with
}

// Apply proposes a change; a refusal returns *problem.Problem, silence *UnreachableError.
func (c *Client) Apply(ctx context.Context, m *wiregen.ApplyRequest) (*wiregen.ApplyReply, error) {
	reply := &wiregen.ApplyReply{}
	return reply, c.do(ctx, http.MethodPost, "/v1/inventory", m, reply)
}

// Inventory returns the inventory in force.
func (c *Client) Inventory(ctx context.Context) (*wiregen.InventoryReply, error) {
	reply := &wiregen.InventoryReply{}
	return reply, c.do(ctx, http.MethodGet, "/v1/inventory", nil, reply)
}

// Status returns the leader and the revision in force at each instance.
func (c *Client) Status(ctx context.Context) (*wiregen.StatusReply, error) {
	reply := &wiregen.StatusReply{}
	return reply, c.do(ctx, http.MethodGet, "/v1/status", nil, reply)
}

// do sends a request to the voters in turn; one that is not the leader is passed over.
func (c *Client) do(ctx context.Context, method, path string, m, reply proto.Message) error {
	var body []byte
	if m != nil {
		var err error
		if body, err = protojson.Marshal(m); err != nil {
			return err
		}
	}
	var last error
	for _, address := range c.controls {
		b, err := c.ask(ctx, address, method, path, body)
		if err == nil {
			return wire.DecodeJSON(b, reply)
		}
		var p *problem.Problem
		if errors.As(err, &p) && p.Code != problem.QuorumUnavailable {
			return p
		}
		last = err
	}
	return &UnreachableError{Controls: c.controls, Cause: last}
}

// ask returns the answer of one voter.
func (c *Client) ask(ctx context.Context, address, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if p, ok := problem.Decode(b); ok && resp.StatusCode >= http.StatusBadRequest {
		return nil, p
	}
	return b, nil
}
