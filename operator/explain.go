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

// decisionsTimeout bounds the question to one instance, so that a silent one does not hold up the others.
const decisionsTimeout = 2 * time.Second

// Story is what the instances tell of a subject.
type Story struct {
	Lines []string
	// Silent are the addresses that gave no answer.
	Silent []string
}

// Entries returns the entries that the control voters know.
func (c *Client) Entries(ctx context.Context) (*wiregen.EntriesReply, error) {
	reply := &wiregen.EntriesReply{}
	return reply, c.do(ctx, http.MethodGet, "/v1/entries", nil, reply)
}

// Explain asks the control voters and the entries at the addresses, all at once, and merges what they tell.
func (c *Client) Explain(ctx context.Context, subject decision.Subject, entries []string) Story {
	addresses := append(append([]string(nil), c.controls...), entries...)
	stories := make([][]string, len(addresses))
	failures := make([]error, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() { stories[i], failures[i] = c.decisions(ctx, address, subject) })
	}
	wg.Wait()
	story := Story{Lines: decision.Merge(stories...)}
	for i, err := range failures {
		if err != nil {
			story.Silent = append(story.Silent, addresses[i])
		}
	}
	return story
}

// decisions returns the lines that one instance keeps.
func (c *Client) decisions(ctx context.Context, address string, subject decision.Subject) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, decisionsTimeout)
	defer cancel()
	path := "/v1/decisions/" + string(subject.Kind) + "/" + url.PathEscape(subject.Name)
	b, err := c.ask(ctx, address, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	reply := &wiregen.DecisionsReply{}
	err = wire.DecodeJSON(b, reply)
	return reply.GetLines(), err
}
