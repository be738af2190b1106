package operator

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"arbutusreel/decision"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// decisionsTimeout limits the request to one instance, so that an unresponsive one does not delay the others.
const decisionsTimeout = 2 * time.Second

// Explanation contains the decisions that instances recorded about a subject.
type Explanation struct {
	Lines []string
	// Unreachable lists the addresses that gave no answer.
	Unreachable []string
}

// Entries returns the entries that the control voters know.
func (c *Client) Entries(ctx context.Context) (*wiregen.EntriesReply, error) {
	reply := &wiregen.EntriesReply{}
	return reply, c.do(ctx, http.MethodGet, "/v1/entries", nil, reply)
}

// Explain requests the decisions about a subject from the control voters and from the entries at the addresses, all
// concurrently, and merges the answers.
func (c *Client) Explain(ctx context.Context, subject decision.Subject, entries []string) Explanation {
	addresses := append(append([]string(nil), c.controls...), entries...)
	lines := make([][]string, len(addresses))
	errs := make([]error, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() { lines[i], errs[i] = c.fetchDecisions(ctx, address, subject) })
	}
	wg.Wait()
	explanation := Explanation{Lines: decision.Merge(lines...)}
	for i, err := range errs {
		if err != nil {
			explanation.Unreachable = append(explanation.Unreachable, addresses[i])
		}
	}
	return explanation
}

// fetchDecisions returns the lines that one instance has recorded about the subject.
func (c *Client) fetchDecisions(ctx context.Context, address string, subject decision.Subject) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, decisionsTimeout)
	defer cancel()
	path := "/v1/decisions/" + string(subject.Kind) + "/" + url.PathEscape(subject.Name)
	b, err := c.send(ctx, address, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	reply := &wiregen.DecisionsReply{}
	err = wire.DecodeJSON(b, reply)
	return reply.GetLines(), err
}
