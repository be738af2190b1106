package standin

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"arbutusreel/completion"
	"arbutusreel/wiregen"
)

// tokensPerBlock is the number of prompt tokens in one prefix block.
const tokensPerBlock = completion.PrefixBlockBytes / bytesPerToken

// bytesPerToken is the number of prompt bytes that make up one token.
const bytesPerToken = 4

// maxCacheEvents is the largest number of cache events in one announcement.
const maxCacheEvents = 256

// cacheEvent is an event with the time from which it can be announced.
type cacheEvent struct {
	event *wiregen.CacheEvent
	due   time.Time
}

// cache is the prefix cache of an engine, with least-recently-used eviction.
type cache struct {
	mu         sync.Mutex
	capacity   int
	eventDelay time.Duration
	lossShare  float64
	rng        *rand.Rand
	blocks     map[uint64]*list.Element
	lru        *list.List
	events     []cacheEvent
	// sequence is the number of the first event that has not been announced.
	sequence int64
}

// newCache returns an empty cache of capacity blocks whose events are announced after eventDelay, except for the
// fraction lossShare of announcements, which are lost.
func newCache(capacity int, eventDelay time.Duration, lossShare float64, rng *rand.Rand) *cache {
	return &cache{
		capacity:   capacity,
		eventDelay: eventDelay,
		lossShare:  lossShare,
		rng:        rng,
		blocks:     map[uint64]*list.Element{},
		lru:        list.New(),
		sequence:   1,
	}
}

// lookupAndStore returns the number of prompt tokens in the longest cached prefix, and stores all blocks of the prompt.
func (c *cache) lookupAndStore(now time.Time, prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	contiguous := true
	for _, hash := range completion.PrefixHashes(prompt) {
		element, ok := c.blocks[hash]
		contiguous = contiguous && ok
		if contiguous {
			cached += tokensPerBlock
		}
		if ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.store(now, hash)
	}
	return cached
}

// countCached returns the number of prompt tokens in the longest cached prefix.
func (c *cache) countCached(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	for _, hash := range completion.PrefixHashes(prompt) {
		if _, ok := c.blocks[hash]; !ok {
			break
		}
		cached += tokensPerBlock
	}
	return cached
}

// store adds a block and evicts the least recently used one if the cache is full.
func (c *cache) store(now time.Time, hash uint64) {
	if c.capacity == 0 {
		return
	}
	if c.lru.Len() >= c.capacity {
		oldest := c.lru.Back()
		dropped, _ := c.lru.Remove(oldest).(uint64)
		delete(c.blocks, dropped)
		c.recordEvent(now, dropped, true)
	}
	c.blocks[hash] = c.lru.PushFront(hash)
	c.recordEvent(now, hash, false)
}

func (c *cache) recordEvent(now time.Time, hash uint64, dropped bool) {
	event := &wiregen.CacheEvent{PrefixHash: hash, Dropped: dropped, Tokens: tokensPerBlock}
	c.events = append(c.events, cacheEvent{event: event, due: now.Add(c.eventDelay)})
}

// takeDueEvents removes and returns the events that are due, with the sequence number of the first; lost events leave a
// gap in the sequence.
func (c *cache) takeDueEvents(now time.Time) (events []*wiregen.CacheEvent, sequence int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(c.events) && n < maxCacheEvents && !now.Before(c.events[n].due) {
		n++
	}
	for _, e := range c.events[:n] {
		events = append(events, e.event)
	}
	sequence = c.sequence
	c.sequence += int64(n)
	c.events = c.events[n:]
	if n > 0 && c.rng.Float64() < c.lossShare {
		return nil, c.sequence
	}
	return events, sequence
}

// utilization returns the fraction of the capacity that is used.
func (c *cache) utilization() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.capacity == 0 {
		return 0
	}
	return float64(c.lru.Len()) / float64(c.capacity)
}
