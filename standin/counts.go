package standin

import (
	"maps"
	"sync"
	"time"
)

// maxCancels is the number of cancelled requests that an engine remembers.
const maxCancels = 10_000

// Counts is what an engine has done since its start.
type Counts struct {
	Requests     int64 `json:"requests"`
	Finished     int64 `json:"finished"`
	Cancelled    int64 `json:"cancelled"`
	Resumed      int64 `json:"resumed"`
	Tokens       int64 `json:"tokens"`
	PromptTokens int64 `json:"promptTokens"`
	CachedTokens int64 `json:"cachedTokens"`
	// Cancels is the time at which each cancelled request was given up, in microseconds since 1970.
	Cancels map[string]int64 `json:"cancels"`
}

// counts guards the counts of an engine.
type counts struct {
	mu      sync.Mutex
	counts  Counts
	cancels map[string]int64
}

func (c *counts) add(change func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}

func (c *counts) cancel(id string, at time.Time) {
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
