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
	"arbutusreel/problem"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

const (
	// attemptTimeout bounds the wait for one voter, which may be cut off.
	attemptTimeout = 1500 * time.Millisecond
	// roundPause is the time between two rounds over all voters.
	roundPause = 200 * time.Millisecond
)

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

// Apply proposes another inventory. A refusal returns *problem.Problem; if no voter
// decided before ctx ended it returns *UndecidedError when the change may have
// been accepted, and *UnreachableError when it was not. The change id makes it
// safe to send again.
func (c *Client) Apply(ctx context.Context, m *wiregen.ApplyRequest) (*wiregen.ApplyReply, error) {
	return c.change(ctx, "/v1/inventory", m.GetChangeId(), m)
}

// Patch proposes a change of parts of the inventory; its failures are those of Apply.
func (c *Client) Patch(ctx context.Context, m *wiregen.PatchRequest) (*wiregen.ApplyReply, error) {
	return c.change(ctx, "/v1/patch", m.GetChangeId(), m)
}

func (c *Client) change(ctx context.Context, path, changeID string, m proto.Message) (*wiregen.ApplyReply, error) {
	reply := &wiregen.ApplyReply{}
	err := c.do(ctx, http.MethodPost, path, m, reply)
	var undecided *UndecidedError
	if errors.As(err, &undecided) {
		undecided.ChangeID = changeID
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

// History returns the newest accepted changes, at most count, the newest first.
func (c *Client) History(ctx context.Context, count int) (*wiregen.HistoryReply, error) {
	reply := &wiregen.HistoryReply{}
	return reply, c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/history?count=%d", count), nil, reply)
}

// Members returns the members of the quorum.
func (c *Client) Members(ctx context.Context) (*wiregen.MembersReply, error) {
	reply := &wiregen.MembersReply{}
	return reply, c.do(ctx, http.MethodGet, "/v1/members", nil, reply)
}

// AddMember adds a control daemon to the quorum; one that is a member already is a success.
func (c *Client) AddMember(ctx context.Context, name, address string) (*wiregen.MembersReply, error) {
	reply := &wiregen.MembersReply{}
	return reply, c.do(ctx, http.MethodPost, "/v1/members/add", &wiregen.AddMemberRequest{Name: name, Address: address}, reply)
}

// RemoveMember removes the present member of the name from the quorum, but not one that took its place in the meantime.
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

// Status returns the leader and the revision in force at each instance, from the leader if it answers.
func (c *Client) Status(ctx context.Context) (*wiregen.StatusReply, error) {
	var other *wiregen.StatusReply
	var last error
	for _, address := range c.controls {
		reply := &wiregen.StatusReply{}
		b, err := c.attempt(ctx, address, http.MethodGet, "/v1/status", nil)
		if err == nil {
			err = wire.DecodeJSON(b, reply)
		}
		if err != nil {
			last = err
			continue
		}
		if reply.GetCurrent() {
			return reply, nil
		}
		other = reply
	}
	if other == nil {
		return nil, &UnreachableError{Controls: c.controls, Cause: last}
	}
	return other, nil
}

// do sends a request to the voters in turn, round after round, until one decides or ctx ends.
func (c *Client) do(ctx context.Context, method, path string, m, reply proto.Message) error {
	var body []byte
	if m != nil {
		var err error
		if body, err = protojson.Marshal(m); err != nil {
			return err
		}
	}
	undecided := false
	for {
		var last error
		for _, address := range c.controls {
			b, err := c.attempt(ctx, address, method, path, body)
			if err == nil {
				return wire.DecodeJSON(b, reply)
			}
			var p *problem.Problem
			if errors.As(err, &p) && !passing(p.Code) {
				return p
			}
			undecided = undecided || method == http.MethodPost && mayHaveRun(err)
			last = err
		}
		if pause(ctx, roundPause) {
			continue
		}
		if undecided {
			return &UndecidedError{Cause: last}
		}
		return &UnreachableError{Controls: c.controls, Cause: last}
	}
}

// passing reports whether another voter, or the same one later, may answer otherwise.
func passing(code problem.Code) bool {
	return code == problem.QuorumUnavailable || code == problem.ChangeUnknown || code == problem.ChangePending
}

// mayHaveRun reports whether a voter may have taken the request although it did not answer.
func mayHaveRun(err error) bool {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p.Outcome == problem.Unknown
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}

// pause waits and reports whether there is time for another round.
func pause(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	return clock.Sleep(ctx, d)
}

// attempt asks one voter, for no longer than a part of the whole wait.
func (c *Client) attempt(ctx context.Context, address, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return c.ask(ctx, address, method, path, body)
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
