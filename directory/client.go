package directory

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"

	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// StatusError reports that the directory refused a request.
type StatusError struct {
	Status int
}

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("directory answered with status %d", e.Status)
}

// Client is a client of the directory at one address.
type Client struct {
	address string
	client  *http.Client
}

// New returns a client of the directory at the address, which has the form ip:port.
func New(address string, client *http.Client) *Client {
	return &Client{address: address, client: client}
}

// Publish lists the entry in the directory until its time to live ends; a refusal returns *StatusError.
func (c *Client) Publish(ctx context.Context, e membership.Entry) error {
	body, err := protojson.Marshal(wire.EncodeEntries([]membership.Entry{e})[0])
	if err != nil {
		return err
	}
	return c.do(ctx, http.MethodPut, e.Name, body)
}

// Remove removes the entry from the directory; a refusal returns *StatusError.
func (c *Client) Remove(ctx context.Context, name string) error {
	return c.do(ctx, http.MethodDelete, name, nil)
}

func (c *Client) do(ctx context.Context, method, name string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+"/v1/entries/"+name, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode >= http.StatusBadRequest {
		return &StatusError{Status: resp.StatusCode}
	}
	return err
}

// Entries returns the entries listed in the directory, for the tools of endpoints and callers; a refusal returns
// *StatusError.
func (c *Client) Entries(ctx context.Context) ([]membership.Entry, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/v1/entries", nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, &StatusError{Status: resp.StatusCode}
	}
	m := &wiregen.EntriesReply{}
	if err := wire.DecodeJSON(b, m); err != nil {
		return nil, err
	}
	return wire.DecodeEntries(m.GetEntries()), nil
}
