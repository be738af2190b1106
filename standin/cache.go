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

// bytesPerToken is the number of bytes of a prompt in one token.
const bytesPerToken = 4

// maxCacheEvents is the most cache events of one announcement.
const maxCacheEvents = 256

// cacheEvent is an event with the time at which it may be announced.
type cacheEvent struct {
	event *wiregen.CacheEvent
	due   time.Time
}

// cache is the prefix cache of an engine: the blocks used last stay in a limited memory.
type cache struct {
	mu       sync.Mutex
	capacity int
	delay    time.Duration
	gap      float64
	rng      *rand.Rand
	blocks   map[uint64]*list.Element
	recent   *list.List
	events   []cacheEvent
	// sequence is the number of the first event that was not announced yet.
	sequence int64
}

// newCache returns an empty cache of capacity blocks whose events are announced after delay, less the share gap that is lost.
func newCache(capacity int, delay time.Duration, gap float64, rng *rand.Rand) *cache {
	return &cache{
		capacity: capacity,
		delay:    delay,
		gap:      gap,
		rng:      rng,
		blocks:   map[uint64]*list.Element{},
		recent:   list.New(),
		sequence: 1,
	}
}

// use returns the number of prompt tokens that were cached, and stores the prefix.
func (c *cache) use(now time.Time, prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	whole := true
	for _, hash := range completion.PrefixHashes(prompt) {
		element, ok := c.blocks[hash]
		whole = whole && ok
		if whole {
			cached += tokensPerBlock
		}
		if ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.store(now, hash)
	}
	return cached
}

// cached returns the number of prompt tokens that are cached.
func (c *cache) cached(prompt string) int {
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

// store adds a block and drops the block that was used longest ago if the memory is full.
func (c *cache) store(now time.Time, hash uint64) {
	if c.capacity == 0 {
		return
	}
	if c.recent.Len() >= c.capacity {
		oldest := c.recent.Back()
		dropped, _ := c.recent.Remove(oldest).(uint64)
		delete(c.blocks, dropped)
		c.note(now, dropped, true)
	}
	c.blocks[hash] = c.recent.PushFront(hash)
	c.note(now, hash, false)
}

func (c *cache) note(now time.Time, hash uint64, dropped bool) {
	event := &wiregen.CacheEvent{PrefixHash: hash, Dropped: dropped, Tokens: tokensPerBlock}
	c.events = append(c.events, cacheEvent{event: event, due: now.Add(c.delay)})
}

// announce returns the events that are due with the sequence of the first; some are lost, which leaves a gap in the sequence.
func (c *cache) announce(now time.Time) (events []*wiregen.CacheEvent, sequence int64) {
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
	if n > 0 && c.rng.Float64() < c.gap {
		return nil, c.sequence
	}
	return events, sequence
}

// fill returns the share of the memory that is used.
func (c *cache) fill() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.capacity == 0 {
		return 0
	}
	return float64(c.recent.Len()) / float64(c.capacity)
}
