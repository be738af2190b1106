package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"arbutusreel/clock"
	"arbutusreel/exchange"
	"arbutusreel/problem"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

const (
	// attemptTimeout limits the wait for one voter, which may be partitioned.
	attemptTimeout = 1500 * time.Millisecond
	// retryInterval is the pause between two rounds of attempts over all voters.
	retryInterval = 200 * time.Millisecond
)

// Client sends requests to the control voters, one after another, until one answers.
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

// WithTLS returns a copy of the client that uses TLS with the configuration.
func (c *Client) WithTLS(cfg *tls.Config) *Client {
	tlsClient := *c
	tlsClient.client = &http.Client{Transport: exchange.NewTransport(exchange.TransportConfig{TLS: cfg})}
	tlsClient.scheme = "https"
	return &tlsClient
}

// Apply proposes a new inventory. A refusal returns *problem.Problem. If no voter decided before ctx ended, Apply
// returns *OutcomeUnknownError if the change may have been accepted, and *UnreachableError if it was not. The change id
// makes it safe to send the request again.
func (c *Client) Apply(ctx context.Context, m *wiregen.ApplyRequest) (*wiregen.ApplyReply, error) {
	return c.proposeChange(ctx, "/v1/inventory", m.GetChangeId(), m)
}

// Patch proposes a change to parts of the inventory; its errors are those of Apply.
func (c *Client) Patch(ctx context.Context, m *wiregen.PatchRequest) (*wiregen.ApplyReply, error) {
	return c.proposeChange(ctx, "/v1/patch", m.GetChangeId(), m)
}

func (c *Client) proposeChange(ctx context.Context, path, changeID string, m proto.Message) (*wiregen.ApplyReply, error) {
	reply := &wiregen.ApplyReply{}
	err := c.do(ctx, http.MethodPost, path, m, reply)
	var unknown *OutcomeUnknownError
	if errors.As(err, &unknown) {
		unknown.ChangeID = changeID
	}
	return reply, err
}

// Inventory returns the inventory in force.
func (c *Client) Inventory(ctx context.Context) (*wiregen.InventoryReply, error) {
	reply := &wiregen.InventoryReply{}
	return reply, c.do(ctx, http.MethodGet, "/v1/inventory", nil, reply)
}

// InventoryAt returns the inventory of an earlier revision and the revision in force.
func (c *Client) InventoryAt(ctx context.Context, revision int64) (*wiregen.InventoryReply, error) {
	reply := &wiregen.InventoryReply{}
	return reply, c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/inventory?revision=%d", revision), nil, reply)
}

// History returns at most count accepted changes, newest first.
func (c *Client) History(ctx context.Context, count int) (*wiregen.HistoryReply, error) {
	reply := &wiregen.HistoryReply{}
	return reply, c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/history?count=%d", count), nil, reply)
}

// Members returns the members of the quorum.
func (c *Client) Members(ctx context.Context) (*wiregen.MembersReply, error) {
	reply := &wiregen.MembersReply{}
	return reply, c.do(ctx, http.MethodGet, "/v1/members", nil, reply)
}

// AddMember adds a control daemon to the quorum. It succeeds if the daemon is a member already.
func (c *Client) AddMember(ctx context.Context, name, address string) (*wiregen.MembersReply, error) {
	reply := &wiregen.MembersReply{}
	return reply, c.do(ctx, http.MethodPost, "/v1/members/add", &wiregen.AddMemberRequest{Name: name, Address: address}, reply)
}

// RemoveMember removes the current member of that name from the quorum, but not one that replaces it in the meantime.
func (c *Client) RemoveMember(ctx context.Context, name string) (*wiregen.MembersReply, error) {
	members, err := c.Members(ctx)
	if err != nil {
		return nil, err
	}
	m := &wiregen.RemoveMemberRequest{Name: name}
	for _, member := range members.GetMembers() {
		if member.GetName() == name {
			m.Disk = member.GetDisk()
		}
	}
	reply := &wiregen.MembersReply{}
	return reply, c.do(ctx, http.MethodPost, "/v1/members/remove", m, reply)
}

// Status returns the leader and the revision in force at each instance. It prefers the answer of the leader.
func (c *Client) Status(ctx context.Context) (*wiregen.StatusReply, error) {
	var fallback *wiregen.StatusReply
	var lastErr error
	for _, address := range c.controls {
		reply := &wiregen.StatusReply{}
		b, err := c.sendWithTimeout(ctx, address, http.MethodGet, "/v1/status", nil)
		if err == nil {
			err = wire.DecodeJSON(b, reply)
		}
		if err != nil {
			lastErr = err
			continue
		}
		if reply.GetCurrent() {
			return reply, nil
		}
		fallback = reply
	}
	if fallback == nil {
		return nil, &UnreachableError{Controls: c.controls, Cause: lastErr}
	}
	return fallback, nil
}

// do sends a request to the voters in turn, in repeated rounds, until one decides or ctx ends.
func (c *Client) do(ctx context.Context, method, path string, m, reply proto.Message) error {
	var body []byte
	if m != nil {
		var err error
		if body, err = protojson.Marshal(m); err != nil {
			return err
		}
	}
	unknown := false
	for {
		var lastErr error
		for _, address := range c.controls {
			b, err := c.sendWithTimeout(ctx, address, method, path, body)
			if err == nil {
				return wire.DecodeJSON(b, reply)
			}
			var p *problem.Problem
			if errors.As(err, &p) && !isTransient(p.Code) {
				return p
			}
			unknown = unknown || method == http.MethodPost && mayHaveRun(err)
			lastErr = err
		}
		if pause(ctx, retryInterval) {
			continue
		}
		if unknown {
			return &OutcomeUnknownError{Cause: lastErr}
		}
		return &UnreachableError{Controls: c.controls, Cause: lastErr}
	}
}

// isTransient reports whether another voter, or the same one later, may answer differently.
func isTransient(code problem.Code) bool {
	return code == problem.QuorumUnavailable || code == problem.ChangeUnknown || code == problem.ChangePending
}

// mayHaveRun reports whether a voter may have received the request although it did not answer.
func mayHaveRun(err error) bool {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p.Outcome == problem.Unknown
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}

// pause waits for d and reports whether there is time for another attempt.
func pause(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	return clock.Sleep(ctx, d)
}

// sendWithTimeout sends a request to one voter and waits at most attemptTimeout for the answer.
func (c *Client) sendWithTimeout(ctx context.Context, address, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return c.send(ctx, address, method, path, body)
}

// send sends a request to one voter and returns the body of its answer.
func (c *Client) send(ctx context.Context, address, method, path string, body []byte) ([]byte, error) {
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
