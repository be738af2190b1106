package load

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// Limits of asking the entries for the current list of entries.
const (
	refreshPeriod  = 500 * time.Millisecond
	refreshTimeout = time.Second
)

// entries is the list of entries that a caller uses in round-robin order.
type entries struct {
	client *http.Client
	token  string
	seeds  []string
	mu     sync.Mutex
	list   []string
	next   int
}

func newEntries(cfg Config, token string, client *http.Client) *entries {
	return &entries{client: client, token: token, seeds: cfg.Entries, list: cfg.Entries}
}

// pick returns the address of the next entry.
func (e *entries) pick() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next++
	return e.list[e.next%len(e.list)]
}

// exclude removes an entry until the next refresh, unless it is the only one.
func (e *entries) exclude(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var rest []string
	for _, other := range e.list {
		if other != address {
			rest = append(rest, other)
		}
	}
	if len(rest) > 0 {
		e.list = rest
	}
}

// refreshPeriodically refreshes the list until ctx ends.
func (e *entries) refreshPeriodically(ctx context.Context) {
	t := time.NewTicker(refreshPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.refresh(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// refresh replaces the list by that of the first entry that returns one.
func (e *entries) refresh(ctx context.Context) {
	e.mu.Lock()
	addresses := append(append([]string{}, e.list...), e.seeds...)
	e.mu.Unlock()
	for _, address := range addresses {
		if list := e.fetch(ctx, address); len(list) > 0 {
			e.mu.Lock()
			e.list = list
			e.mu.Unlock()
			return
		}
	}
}

func (e *entries) fetch(ctx context.Context, address string) []string {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return nil
	}
	req.Header.Set("Authorization", "Bearer "+e.token)
	resp, err := e.client.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	m := &wiregen.EntriesReply{}
	if err != nil || resp.StatusCode != http.StatusOK || wire.DecodeJSON(b, m) != nil {
		return nil
	}
	var list []string
	for _, entry := range m.GetEntries() {
		list = append(list, entry.GetCallerAddress())
	}
	return list
}
