package capacity

import "time"

// Cost is the cost of a candidate by its components, as Choose weighs it.
type Cost struct {
	// Expected is the expected time to the first chunk, and End that to the end of the response; zero if its length is not known.
	Expected, End time.Duration
	// Decode, Read, Detour, Failure and Finish are what is added to Expected for slower decoding, for prompt parts that are prefilled or
	// fetched, for a slot that is left for others and another failure domain, for failures, and for pauses and the end.
	Decode, Read, Detour, Failure, Finish time.Duration
	// Miss is what decides only between the endpoints of this region where the holders of shared parts are known: a late first chunk, a
	// refusal, and another copy of the parts.
	Miss time.Duration
	// UncachedTokens is the number of uncached prompt tokens that the endpoint has to prefill.
	UncachedTokens int64
	// Fetches reports that the endpoint would fetch shared parts of the prompt from another one instead of prefilling them.
	Fetches bool
	// Preferred, Full, Crowded and MemoryFull are those of Choice.
	Preferred, Full, Crowded, MemoryFull bool
}

// Total returns the whole cost without Miss, which Choice.Cost does not hold.
func (c Cost) Total() time.Duration {
	return c.Expected + c.Decode + c.Read + c.Detour + c.Failure + c.Finish
}

// Costs returns the cost of each candidate, by the estimates that Choose uses. The chosen candidate's is Choice.Cost.
func Costs(candidates []Candidate, w Work, s Speed, fetch, objective time.Duration) []Cost {
	preferred := preferredCandidate(candidates, w)
	prompt := newPromptRead(candidates, preferred, w, s, fetch, objective)
	baseline := baselineFailureRate(candidates)
	finish := newFinisher(candidates, w, s, objective)
	costs := make([]Cost, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		uncached, source, extra, copying := prompt.at(c, &w, i == preferred)
		e := EstimateWait(*c, w, uncached, s)
		e.Wait = time.Duration(float64(e.Wait) * finish.waitFactor(c))
		crowded := c.Crowded(w.Rank, &s)
		costs[i] = Cost{
			Miss:     prompt.missCost(c, e, crowded, finish.uneven) + copying,
			Expected: e.Wait, End: finish.end(c, e.Wait), Decode: DecodeCost(w, c.Busy, c.Health.Slowdown()), Read: extra,
			Detour:  c.detourCost(&w, crowded || e.MemoryFull, objective),
			Failure: time.Duration((c.Health.FailureRate + c.excessFailureRate(baseline)) * failureCost * float64(objective)),
			Finish:  finish.cost(c, uncached, e.Wait), UncachedTokens: uncached, Fetches: source >= 0, Preferred: c.isPreferred(&w, i == preferred), Full: e.Full, Crowded: crowded, MemoryFull: e.MemoryFull,
		}
	}
	return costs
}
