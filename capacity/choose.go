package capacity

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefillChunkTime is the additional time per output token while an engine prefills a chunk of a prompt in each
	// step: chunks of 1,024 tokens at about 100 tokens per millisecond.
	prefillChunkTime = 10 * time.Millisecond
	// decodeWeight is the weight of a delay of the end of a stream relative to a delay of its first chunk.
	decodeWeight = 0.1
	// failureCost is the expected cost of a failure, as a multiple of the objective.
	failureCost = 2.0
	// maxMemoryShare is the share of an endpoint's token memory above which it counts as full; beyond it the engine
	// preempts running requests. The rest allows for requests that other gateways sent since their last report.
	maxMemoryShare = 0.92
	// sharedPrefixCost is the cost of prefilling shared parts that another endpoint has cached, as a multiple of the
	// prefill time. It is above one because the prefill also delays all requests queued behind it, and the copy
	// evicts other parts from the cache.
	sharedPrefixCost = 3.0
	// fetchCostShare is the cost of fetching shared parts from the endpoint that has cached them, as a share of the
	// cost of prefilling them again. A fetch takes only a few per cent of the time, but an endpoint whose requests go
	// elsewhere soon evicts the parts, and then they can no longer be fetched.
	fetchCostShare = 0.7
	// maxSourceFailures and maxSourceSlowdown are the share of failures and the slowdown beyond which nothing is
	// fetched from an endpoint.
	maxSourceFailures = 0.3
	maxSourceSlowdown = 2
	// remoteByteCost is the cost of each byte that crosses failure domains, because all traffic shares the links
	// between them.
	remoteByteCost = 1500 * time.Nanosecond
	// tieThreshold is the difference in cost below which two endpoints count as equal.
	tieThreshold = 2 * time.Millisecond
)

// Candidate is an endpoint that may serve a request.
type Candidate struct {
	ID          string
	Outstanding Outstanding
	Health      Health
	// Slots is the number of requests that the endpoint serves at once, and Memory the number of tokens that it can
	// hold; zero means no limit.
	Slots  int
	Memory int64
	// CachedParts is the number of leading shared parts of the request's prompt that the endpoint has recently
	// prefilled.
	CachedParts int
	// Strict reports that HeldTokens counts whole prompts, so that an endpoint without memory for a request must not get it.
	Strict bool
	// SharedTokens is the number of tokens of the request's prompt that running requests at the endpoint hold already.
	SharedTokens int64
	// Held is what is known of the shared parts at the endpoint over all gateways; without it, CachedParts are those that
	// this gateway sent.
	Held CachedPrompt
	// Busy is the share of time that the endpoint spends on prefill.
	Busy float64
	// Decode is the endpoint's time per output token relative to the usual one.
	Decode DecodeEstimate
	// FailureRate is the recent share of failed requests at the endpoint, over all gateways.
	FailureRate float64
	// Preempts reports whether a more urgent request takes the slot of a running one if none is free.
	Preempts bool
	// Remote reports whether the endpoint is in another failure domain than the gateway.
	Remote bool
}

// Choice is the endpoint chosen for a request.
type Choice struct {
	Index int
	// Expected is the expected time to the first chunk, and Cost that time plus all other costs of the endpoint.
	Expected time.Duration
	Cost     time.Duration
	// UncachedTokens is the number of uncached prompt tokens that the endpoint has to prefill.
	UncachedTokens int64
	// FetchFrom is the index of the candidate from which the endpoint fetches the shared parts of the prompt, or -1 if
	// none.
	FetchFrom int
	// Preferred reports whether the endpoint is known to have used all shared parts of the prompt or, if none is known to
	// have the last one, whether that is hashed to it.
	Preferred bool
	// Full reports whether the endpoint has no free slot or memory, so that the request waits for another one to end.
	Full bool
	// Unqueued reports that no request waits for its first chunk at the endpoint, and that this one need not wait for a slot or memory.
	Unqueued bool
	// Crowded reports whether the request would take a slot that is left free for more urgent ones.
	Crowded bool
	// End is the expected time to the end of the response; zero if its length is not known.
	End time.Duration
	// Pace is the endpoint's pace between events relative to the usual one; zero if it is not known.
	Pace float64
	// WaitFactor is the factor of the pace in Expected, one if the paces of the candidates are equal.
	WaitFactor float64
	// Unfinished reports that the response is expected to end too late at every candidate.
	Unfinished bool
	// MemoryFull reports whether the endpoint has no memory for the request.
	MemoryFull bool
	// Harmful reports that the response is expected to cost the requests that run at the endpoint more than it is worth.
	Harmful bool
	// finish estimates the cost of pauses and of the end at other endpoints of the service, and slots is the number of slots of one.
	finish finisher
	slots  int
	// weighsParts reports that reading shared parts of the prompt again counts in Cost, as the holders of the parts are known.
	weighsParts bool
}

// Uneven reports whether the paces of the candidates differ.
func (c Choice) Uneven() bool { return c.finish.uneven > 0 }

// WaitEstimate is the expected wait of a request at an endpoint.
type WaitEstimate struct {
	// Wait is the expected time to the first chunk.
	Wait time.Duration
	// Full reports whether the request waits for a slot or memory, and MemoryFull whether it waits for memory.
	Full, MemoryFull bool
}

// EstimateWait estimates the wait of w at c if the endpoint has to prefill the given number of uncached tokens.
func EstimateWait(c Candidate, w Work, uncached int64, s Speed) WaitEstimate {
	return c.EstimateWait(&w, uncached, &s)
}

// EstimateWait is the function EstimateWait without copies, which take more time than the estimate.
func (c *Candidate) EstimateWait(w *Work, uncached int64, s *Speed) WaitEstimate {
	d := s.Base + inflateWait(
		s.PrefillTokenTime*time.Duration(c.Outstanding.PromptTokens.Before(w.Rank)+uncached), s.Overtaking.Prefill[w.Rank],
	)
	slot := c.slotWait(w.Rank, s)
	d += slot
	var memoryFull bool
	if c.Strict {
		memoryFull = c.MemoryFull(w)
	} else {
		memoryFull = c.Memory > 0 && float64(c.Outstanding.HeldTokens+uncached+w.OutputTokens) > maxMemoryShare*float64(c.Memory)
	}
	if memoryFull {
		d += s.SlotTime / 2
	}
	return WaitEstimate{Wait: time.Duration(float64(d) * c.Health.Slowdown()), Full: slot > 0 || memoryFull, MemoryFull: memoryFull && c.Strict}
}

// slotWait returns the expected time until a request of the rank gets a slot: enough running requests have to end, and
// the waiting ones with the same or a more urgent rank take slots first.
func (c *Candidate) slotWait(rank int, s *Speed) time.Duration {
	if c.Slots == 0 {
		return 0
	}
	running := int64(c.Outstanding.Requests) - c.Outstanding.Waiting.All()
	ahead := running + c.Outstanding.Waiting.Before(rank) - int64(c.Slots) + 1
	if ahead <= 0 {
		return 0
	}
	return inflateWait(s.SlotTime*time.Duration(ahead)/time.Duration(c.Slots), s.Overtaking.Slots[rank])
}

// DecodeCost returns the cost of slower decoding at an endpoint that spends the fraction busy of its time on prefill and
// is slower than the others by the given factor.
func DecodeCost(w Work, busy, slowdown float64) time.Duration { return w.decodeCost(busy, slowdown) }

func (w *Work) decodeCost(busy, slowdown float64) time.Duration {
	return time.Duration(decodeWeight * (busy*slowdown + slowdown - 1) * float64(w.OutputTokens) * float64(prefillChunkTime))
}

// Choose returns the candidate with the least expected cost, or false if there is none. Requests with the same last
// shared part go to the endpoint that the part is hashed to, so that shared parts are prefilled only once. They go to
// another endpoint when the backlog there costs more than fetching the parts from it, at fetch per token, or prefilling
// them again. A failure costs a multiple of the objective. The draw in [0, 1) decides between equal candidates.
func Choose(candidates []Candidate, w Work, s Speed, fetch, objective time.Duration, draw float64) (Choice, bool) {
	best := Choice{Index: -1}
	var bestCost time.Duration
	ties := 0
	preferred := preferredCandidate(candidates, w)
	prompt := newPromptRead(candidates, preferred, w, s, fetch, objective)
	baseline := baselineFailureRate(candidates)
	finish := newFinisher(candidates, w, s, objective)
	for i := range candidates {
		c := &candidates[i]
		uncached, source, extra, copying := prompt.at(c, &w, i == preferred)
		e := c.EstimateWait(&w, uncached, &s)
		e.Wait = time.Duration(float64(e.Wait) * finish.waitFactor(c))
		if best.Index >= 0 && e.Wait >= bestCost+tieThreshold {
			// No other cost is negative, so that the wait alone excludes the candidate.
			continue
		}
		crowded := c.Crowded(w.Rank, &s)
		cost := e.Wait + w.decodeCost(c.Busy, c.Health.Slowdown()) + extra + c.detourCost(&w, crowded || e.MemoryFull, objective) +
			time.Duration((c.Health.FailureRate+c.excessFailureRate(baseline))*failureCost*float64(objective))
		miss := prompt.missCost(c, e, crowded, finish.uneven) + copying
		cost += miss
		if best.Index < 0 || cost < bestCost+tieThreshold {
			// The cost of the pauses and the end is never negative, so that it need not be known of the others.
			cost += finish.cost(c, uncached, e.Wait)
		}
		switch {
		case best.Index < 0 || cost < bestCost-tieThreshold:
			ties = 1
		case cost < bestCost+tieThreshold:
			// Reservoir sampling with one draw: the nth equal candidate replaces the choice with probability 1/n.
			ties++
			draw *= float64(ties)
			replace := draw < 1
			draw -= float64(int(draw))
			if !replace {
				continue
			}
		default:
			continue
		}
		best = Choice{
			Index: i, Expected: e.Wait, Cost: cost - miss, UncachedTokens: uncached, FetchFrom: source, Preferred: c.isPreferred(&w, i == preferred), Full: e.Full,
			Crowded: crowded, MemoryFull: e.MemoryFull,
		}
		bestCost = cost
	}
	if best.Index < 0 {
		return best, false
	}
	best.finish, best.slots, best.weighsParts = finish, candidates[best.Index].Slots, candidates[best.Index].Held.Known
	best.Pace, best.WaitFactor = candidates[best.Index].Decode.Factor, finish.waitFactor(&candidates[best.Index])
	best.End = finish.end(&candidates[best.Index], best.Expected)
	best.Unqueued = !best.Full && candidates[best.Index].Outstanding.Waiting.All() == 0
	best.Harmful = finish.harmful(&candidates[best.Index], best.UncachedTokens, best.Expected)
	best.Unfinished = finish.unfinished(candidates, w, s, prompt.minUncached, best.End)
	return best, true
}

// promptRead holds what is common to the estimates of a prompt's uncached tokens at all candidates.
type promptRead struct {
	// minUncached is the number of tokens to prefill if all shared parts are cached, and all if none is.
	minUncached, all int64
	tokenTime, fetch time.Duration
	// source is the index of the candidate from which the parts can be fetched, or -1 if none.
	source int
	// sourceUncached is the number of tokens to prefill at the source.
	sourceUncached int64
	// objective is that of the route, and first the time left until the first chunk should arrive.
	objective, first time.Duration
}

func newPromptRead(candidates []Candidate, preferred int, w Work, s Speed, fetch, objective time.Duration) promptRead {
	p := promptRead{
		minUncached: w.UncachedTokens(len(w.Shared())), all: w.UncachedTokens(0), tokenTime: s.PrefillTokenTime, fetch: fetch, source: -1,
		objective: objective, first: objective,
	}
	if w.Stream.First > 0 {
		p.first = w.Stream.First
	}
	if fetch <= 0 || len(w.Shared()) == 0 {
		return p
	}
	p.sourceUncached = p.all
	for i := range candidates {
		c := &candidates[i]
		uncached := p.uncached(c, &w, i == preferred)
		// A source that has most likely evicted the parts is none.
		if uncached < p.sourceUncached && 2*(uncached-p.minUncached) <= p.all-p.minUncached && (c.Held.Known || i == preferred) && c.canServeFetches() {
			p.source, p.sourceUncached = i, uncached
		}
	}
	return p
}

// uncached returns the expected number of tokens to prefill at the candidate.
func (p *promptRead) uncached(c *Candidate, w *Work, preferred bool) int64 {
	switch {
	case c.Held.Known:
		return min(w.UncachedTokens(c.CachedParts)+c.Held.Evicted, p.all)
	case preferred:
		// All gateways agree on the preferred endpoint, so it has cached the parts even if this gateway has not seen it.
		return p.minUncached
	default:
		return w.UncachedTokens(c.CachedParts)
	}
}

// at returns the expected number of tokens to prefill at the candidate, the index of the one from which it fetches the
// shared parts or -1 if none, and the cost beyond the wait of reading or fetching them. Copying is the part of the cost that
// decides between the endpoints of a region only: a request in another region reads the parts, too.
func (p *promptRead) at(c *Candidate, w *Work, preferred bool) (uncached int64, source int, extra, copying time.Duration) {
	uncached = p.uncached(c, w, preferred)
	extra = time.Duration(sharedPrefixCost * float64(p.tokenTime) * float64(uncached-p.minUncached))
	read := extra
	switch {
	case c.Held.Known && c.Held.New && preferred:
		// Gateways with reports of the same age would send the first uses of many parts to the same endpoint.
		read = 0
	case c.Held.Known:
		read = min(time.Duration(c.Held.ReadCost*float64(p.tokenTime)*c.paceFactor()), time.Duration(maxReadCost*float64(p.objective)))
	}
	if p.source >= 0 && uncached > p.sourceUncached {
		fetched := time.Duration(fetchCostShare*float64(extra)) + p.fetch*time.Duration(uncached-p.sourceUncached)
		if !c.Held.Known || fetched < read {
			return p.sourceUncached, p.source, fetched, 0
		}
	}
	return uncached, -1, min(extra, read), max(read-extra, 0)
}

// missCost returns the cost of a late first chunk or a refusal where holders of the parts are known, so that no request waits for a
// cached part beyond its objective while another endpoint is free. Where paces differ, the cost of the whole response holds the former.
func (p *promptRead) missCost(c *Candidate, e WaitEstimate, crowded bool, uneven float64) time.Duration {
	if !c.Held.Known {
		return 0
	}
	if crowded || e.MemoryFull {
		return time.Duration(fullCost * float64(p.objective))
	}
	return time.Duration((1 - uneven) * lateLoss * lossCost * float64(p.objective) * over(float64(e.Wait), p.first, firstMargin))
}

// detourCost returns the cost of taking a slot that is left free for others, and of crossing to another failure domain.
func (c *Candidate) detourCost(w *Work, crowded bool, objective time.Duration) (cost time.Duration) {
	if crowded {
		cost += crowdedCost(objective)
	}
	if c.Remote {
		cost += remoteByteCost * time.Duration(w.Bytes)
	}
	return cost
}

// paceFactor returns how long work takes at the endpoint relative to the usual time.
func (c *Candidate) paceFactor() float64 {
	if c.Decode.Factor <= 0 {
		return 1
	}
	return c.Decode.Factor
}

// isPreferred reports whether the endpoint is known to have used all shared parts of the prompt, or the last one is hashed to it.
func (c *Candidate) isPreferred(w *Work, hashed bool) bool {
	return hashed || c.Held.Known && !c.Held.New && c.CachedParts == len(w.Shared())
}

// canServeFetches reports whether other endpoints may fetch from the endpoint; a failing or slow one would delay them.
func (c *Candidate) canServeFetches() bool {
	return c.Health.FailureRate < maxSourceFailures && c.Health.Slowdown() <= maxSourceSlowdown
}

// preferredCandidate returns the index of the candidate that the last shared part of the prompt is hashed to by
// rendezvous hashing, or -1 if the prompt has no shared part or endpoints are known to have it.
func preferredCandidate(candidates []Candidate, w Work) int {
	shared := w.Shared()
	if len(shared) == 0 || len(candidates) > 0 && candidates[0].Held.Known && !candidates[0].Held.New {
		return -1
	}
	partID := shared[len(shared)-1].ID
	best, highest := -1, uint64(0)
	for i, c := range candidates {
		if weight := xxhash.Sum64String(partID + "\x00" + c.ID); best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	return best
}
