package capacity

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// holderTTL is the age of the last use of a part at an endpoint after which the use is dropped. It is the retention
	// horizon, because no part counts as cached for longer.
	holderTTL = retentionHorizon
	// maxHeldParts bounds the parts of which uses are kept. It is above the 50,000 that 1,000 requests a second with three
	// shared parts each can use within the TTL, so that only prompts that share nothing reach it.
	maxHeldParts = 1 << 16
	// turnoverTimeConstant smooths the prefill rate that evicts parts. Parts are kept for seconds, and the rate of one
	// second varies by half of its mean from one second to the next.
	turnoverTimeConstant = 5 * time.Second
)

// PartHash returns the hash under which the uses of a part are kept and reported.
func PartHash(id string) uint64 { return xxhash.Sum64String(id) }

// partUse is the last use of a part at an endpoint.
type partUse struct {
	endpoint string
	at       time.Time
}

// partUses are the uses of one part.
type partUses struct {
	last []partUse
	// count is the number of recent uses of all gateways.
	count decayedCount
}

// Holders knows at which endpoints parts of prompts were used last, as reported by all gateways of a region. It is not safe
// for concurrent use.
type Holders struct {
	parts   map[uint64]*partUses
	sweptAt time.Time
	// readOnly keeps uses from being recorded and dropped.
	readOnly bool
}

// NewHolders returns holders without any part.
func NewHolders() *Holders { return &Holders{parts: map[uint64]*partUses{}} }

// ReadOnly returns holders that share the known uses and ignore changes.
func (h *Holders) ReadOnly() *Holders {
	return &Holders{parts: h.parts, sweptAt: h.sweptAt, readOnly: true}
}

// Use records that a request with the part was sent to the endpoint. Beyond maxHeldParts new parts are not recorded.
func (h *Holders) Use(now time.Time, part uint64, endpoint string) {
	if h.readOnly {
		return
	}
	h.expire(now)
	uses := h.parts[part]
	if uses == nil {
		if len(h.parts) >= maxHeldParts {
			return
		}
		uses = &partUses{}
		h.parts[part] = uses
	}
	uses.count = uses.count.plusOne(now)
	for i := range uses.last {
		if u := &uses.last[i]; u.endpoint == endpoint {
			u.at = now
			return
		}
	}
	uses.last = append(uses.last, partUse{endpoint: endpoint, at: now})
}

// Forget drops the uses at an endpoint whose cache is lost.
func (h *Holders) Forget(endpoint string) {
	if h.readOnly {
		return
	}
	for part := range h.parts {
		h.keep(part, func(u partUse) bool { return u.endpoint != endpoint })
	}
}

// Count returns the number of known parts and the number of their holders.
func (h *Holders) Count() (parts, holders int) {
	for _, uses := range h.parts {
		holders += len(uses.last)
	}
	return len(h.parts), holders
}

func (h *Holders) expire(now time.Time) {
	if now.Sub(h.sweptAt) < holderTTL/4 {
		return
	}
	h.sweptAt = now
	for part := range h.parts {
		h.keep(part, func(u partUse) bool { return now.Sub(u.at) <= holderTTL })
	}
}

func (h *Holders) keep(part uint64, kept func(partUse) bool) {
	uses := h.parts[part]
	if uses.last = slices.DeleteFunc(uses.last, func(u partUse) bool { return !kept(u) }); len(uses.last) == 0 {
		delete(h.parts, part)
	}
}

// PromptHolders are the holders of the shared parts of one prompt.
type PromptHolders struct {
	shared []promptPart
}

type promptPart struct {
	tokens   int64
	readCost float64
	uses     []partUse
}

// Of returns the holders of the shared parts of a prompt. It reuses the memory of an earlier result.
func (h *Holders) Of(now time.Time, w Work, reused PromptHolders) PromptHolders {
	p := PromptHolders{shared: reused.shared[:0]}
	for _, part := range w.Shared() {
		next := promptPart{tokens: part.Tokens, readCost: sharedPrefixCost}
		if uses := h.parts[PartHash(part.ID)]; uses != nil {
			next.uses, next.readCost = uses.last, ReadCost(uses.count.now(now)/partShareTimeConstant.Seconds())
		}
		p.shared = append(p.shared, next)
	}
	return p
}

// Known reports whether any endpoint is known to have used the last shared part.
func (p *PromptHolders) Known() bool {
	return len(p.shared) > 0 && len(p.shared[len(p.shared)-1].uses) > 0
}

// CachedPrompt is what an endpoint has cached of the shared parts of a prompt.
type CachedPrompt struct {
	// Known reports whether the holders of the parts are known.
	Known bool
	// New reports that no endpoint is known to hold the last shared part.
	New bool
	// Evicted is the expected number of tokens that were evicted of the cached parts.
	Evicted int64
	// ReadCost is the expected number of shared tokens to read, each multiplied by the cost of reading its part.
	ReadCost float64
}

// At returns the number of leading shared parts that were recently used at an endpoint, and what it has cached of them.
func (p *PromptHolders) At(now time.Time, endpoint string, r Retention) (parts int, c CachedPrompt) {
	c.Known, c.New = len(p.shared) > 0, !p.Known()
	leading := true
	for i := range p.shared {
		part := &p.shared[i]
		read := part.tokens
		if age := part.age(now, endpoint); leading && age <= holderTTL {
			read = r.Expected(0, part.tokens, age)
			c.Evicted += read
			parts++
		} else {
			// A part is cached only with those before it.
			leading = false
		}
		c.ReadCost += float64(read) * part.readCost
	}
	return parts, c
}

// age returns the time since the last use of the part at the endpoint, beyond the TTL if there was none.
func (p *promptPart) age(now time.Time, endpoint string) time.Duration {
	for i := range p.uses {
		if u := &p.uses[i]; u.endpoint == endpoint {
			return now.Sub(u.at)
		}
	}
	return holderTTL + 1
}

// Turnover is the smoothed rate at which an endpoint prefills tokens. It is an immutable value.
type Turnover struct {
	// PerSecond is the rate in tokens per second.
	PerSecond float64
	at        time.Time
}

// With returns the rate after RecentTokens counted the given sum at now.
func (t Turnover) With(now time.Time, recent float64) Turnover {
	age := now.Sub(t.at)
	if age <= 0 {
		return t
	}
	t.PerSecond += (recent - t.PerSecond) * float64(age) / float64(age+turnoverTimeConstant)
	t.at = now
	return t
}
