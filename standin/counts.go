package standin

import (
	"maps"
	"sync"
	"time"
)

// maxCancels limits the number of cancelled requests that an engine records.
const maxCancels = 10_000

// Counts are the counters of an engine since its start.
type Counts struct {
	Requests     int64 `json:"requests"`
	Finished     int64 `json:"finished"`
	Cancelled    int64 `json:"cancelled"`
	Resumed      int64 `json:"resumed"`
	Tokens       int64 `json:"tokens"`
	PromptTokens int64 `json:"promptTokens"`
	CachedTokens int64 `json:"cachedTokens"`
	// Cancels is the time at which each recorded request was cancelled, in Unix microseconds, by request id.
	Cancels map[string]int64 `json:"cancels"`
}

// counts are the counters of an engine, guarded by mu.
type counts struct {
	mu      sync.Mutex
	counts  Counts
	cancels map[string]int64
}

func (c *counts) update(change func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}

func (c *counts) recordCancel(id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Cancelled++
	if len(c.cancels) < maxCancels {
		c.cancels[id] = at.UnixMicro()
	}
}

func (c *counts) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.counts
	s.Cancels = maps.Clone(c.cancels)
	return s
}
