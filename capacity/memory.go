package capacity

import (
	"math"
	"time"
)

const (
	// partShareTimeConstant is the time constant with which the share of a part in an endpoint's requests decays. It is
	// about as long as an endpoint keeps a part cached, and long enough for some requests of each of many gateways.
	partShareTimeConstant = 20 * time.Second
	// priorRequests is the number of requests without shared parts that are added to those of an endpoint, so that a
	// part seen once does not count as held by all requests there.
	priorRequests = 2
	// maxTrackedParts is the number of parts tracked at one endpoint above which those that are rarely used and not held
	// are removed.
	maxTrackedParts = 1024
	// minTrackedUses is the decayed number of uses below which a part that is not held is removed.
	minTrackedUses = 0.5
	// growthShare and minGrowth are the tokens by which the expected output of a request grows once it has generated all
	// of it, as a share of its expected output and at least.
	growthShare = 0.25
	minGrowth   = 64
)

// OtherRequests are the requests that other gateways have outstanding at an endpoint, and the number of those gateways.
type OtherRequests struct {
	Requests, Gateways int
}

// decayedCount is a count with exponential decay.
type decayedCount struct {
	n  float64
	at time.Time
}

func (c decayedCount) now(now time.Time) float64 {
	if c.n == 0 {
		return 0
	}
	return c.n * math.Exp(-float64(now.Sub(c.at))/float64(partShareTimeConstant))
}

func (c decayedCount) plusOne(now time.Time) decayedCount {
	return decayedCount{n: c.now(now) + 1, at: now}
}

// trackedPart is a shared part of prompts at an endpoint.
type trackedPart struct {
	// holders is the number of this gateway's requests that hold the part, tokens its size, and charged the tokens counted
	// for them.
	holders         int
	tokens, charged int64
	uses            decayedCount
}

// HeldMemory counts the token memory that one gateway's requests hold at an endpoint. A request holds its whole prompt,
// cached or not, and its output. The output counts with its expected length from the beginning, because the sum of final
// sizes bounds what is held at any time until then. A shared part counts once for all requests of this gateway. If
// other gateways' requests are expected to hold it too, from its share in this gateway's requests, each gateway counts
// an equal fraction of it. Cached parts that no request holds count nothing, because engines evict them when they need
// the memory. The zero value is empty. It is not safe for concurrent use.
type HeldMemory struct {
	tokens   int64
	requests decayedCount
	parts    map[string]*trackedPart
}

// Holding is the memory that one request holds.
type Holding struct {
	shared []Part
	own    int64
	output int64
}

// Tokens returns the tokens held.
func (m *HeldMemory) Tokens() int64 { return m.tokens }

// HeldTokens returns the tokens that the request holds at its end, if it shares no part of its prompt.
func (w Work) HeldTokens() int64 { return w.PromptTokens + w.OutputTokens }

// sharedTokens returns the tokens of the shared parts, at most those of the prompt.
func (w Work) sharedTokens() int64 {
	var sum int64
	for _, p := range w.Shared() {
		sum += min(p.Tokens, w.PromptTokens-sum)
	}
	return sum
}

// Begin counts a request that is sent to the endpoint.
func (m *HeldMemory) Begin(now time.Time, w Work, others OtherRequests) Holding {
	h := Holding{own: w.PromptTokens - w.sharedTokens(), output: w.OutputTokens, shared: w.Shared()}
	m.tokens += h.own + h.output
	left := w.PromptTokens - h.own
	for _, p := range h.shared {
		t := m.parts[p.ID]
		if t == nil {
			t = m.track(now, p.ID)
		}
		tokens := min(p.Tokens, left)
		left -= tokens
		// The estimate is renewed with each request, because a popular part is held without a pause.
		t.tokens = max(t.tokens, tokens)
		charged := t.tokens - m.expectedShared(now, t, t.tokens, others)
		m.tokens += charged - t.charged
		t.charged = charged
		t.holders++
		t.uses = t.uses.plusOne(now)
	}
	m.requests = m.requests.plusOne(now)
	return h
}

// BeginPart counts a request of which only the given tokens are expected to need memory.
func (m *HeldMemory) BeginPart(tokens int64) Holding {
	m.tokens += tokens
	return Holding{output: tokens}
}

// track adds a part, and removes rarely used ones if there are too many.
func (m *HeldMemory) track(now time.Time, id string) *trackedPart {
	if m.parts == nil {
		m.parts = map[string]*trackedPart{}
	}
	if len(m.parts) >= maxTrackedParts {
		for id, t := range m.parts {
			if t.holders == 0 && t.uses.now(now) < minTrackedUses {
				delete(m.parts, id)
			}
		}
	}
	t := &trackedPart{}
	m.parts[id] = t
	return t
}

// Outgrown reports whether a request has generated more output than is counted.
func (h Holding) Outgrown(generated int64) bool { return generated > h.output }

// Grow counts more output for a request that has generated all that was expected.
func (m *HeldMemory) Grow(h *Holding, generated int64) {
	growth := max(generated-h.output, int64(growthShare*float64(h.output)), minGrowth)
	h.output += growth
	m.tokens += growth
}

// End removes a request that was counted by Begin.
func (m *HeldMemory) End(h Holding) {
	m.tokens -= h.own + h.output
	for _, p := range h.shared {
		t := m.parts[p.ID]
		if t == nil {
			continue
		}
		if t.holders--; t.holders == 0 {
			m.tokens -= t.charged
			t.tokens, t.charged = 0, 0
		}
	}
}

// SharedTokens returns the tokens of a prompt that running requests at the endpoint are expected to hold already.
func (m *HeldMemory) SharedTokens(now time.Time, w Work, others OtherRequests) int64 {
	var shared int64
	left := w.PromptTokens
	for _, p := range w.Shared() {
		tokens := min(p.Tokens, left)
		left -= tokens
		switch t := m.parts[p.ID]; {
		case t == nil:
		case t.holders > 0:
			shared += tokens
		default:
			shared += m.expectedShared(now, t, tokens, others)
		}
	}
	return shared
}

// expectedShared returns the tokens of a part that no request of this gateway holds which other gateways are expected to
// count. The part is expected to be in their requests as often as in those of this gateway.
func (m *HeldMemory) expectedShared(now time.Time, t *trackedPart, tokens int64, others OtherRequests) int64 {
	if others.Gateways <= 0 || others.Requests <= 0 || t.uses.n == 0 {
		return 0
	}
	share := t.uses.now(now) / (m.requests.now(now) + priorRequests)
	n := float64(others.Gateways)
	holding := n * (1 - math.Exp(-share*float64(others.Requests)/n))
	return int64(float64(tokens) * holding / (1 + holding))
}

// MemoryFull reports whether the endpoint has no memory for a request besides what running requests hold. An endpoint
// that holds nothing takes every request that fits into its memory.
func (c *Candidate) MemoryFull(w *Work) bool {
	if c.Memory <= 0 {
		return false
	}
	if c.Outstanding.HeldTokens <= 0 {
		return w.HeldTokens() > c.Memory
	}
	return w.HeldTokens()-c.SharedTokens > c.FreeMemory()
}

// FreeMemory returns the tokens that may still be placed at the endpoint, which is negative if it holds too many.
func (c *Candidate) FreeMemory() int64 {
	return int64(maxMemoryShare*float64(c.Memory)) - c.Outstanding.HeldTokens
}

// ReportedMemory returns the free memory that a region reports for an endpoint. An endpoint with less free memory than a
// slot's share adds nothing, because small remainders at many endpoints sum up to capacity that no request can use.
func (c *Candidate) ReportedMemory() int64 {
	free := c.FreeMemory()
	if free < c.Memory/int64(max(c.Slots, 1)) {
		return 0
	}
	return free
}

// reportsDueTime is the time after its start within which a gateway has a report of every other gateway of its region
// that has requests outstanding: the period of whole reports, and the way along two links.
const reportsDueTime = 1500 * time.Millisecond

// UnseenShare returns the share of every endpoint's memory that a gateway leaves to others of its region whose reports
// it does not have yet, a time after its start: an equal share to each of them.
func UnseenShare(sinceStart time.Duration, listed, reported int) float64 {
	if sinceStart >= reportsDueTime || reported >= listed {
		return 0
	}
	return float64(listed-reported) / float64(listed+1)
}
