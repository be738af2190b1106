package capacity

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// chunkTime is how much longer an output token takes while an engine reads a chunk of a prompt in each step: chunks of
	// 1,024 tokens at about 100 a millisecond.
	chunkTime = 10 * time.Millisecond
	// decodeWeight is the worth of a sooner end of a stream, as a part of that of a sooner beginning.
	decodeWeight = 0.1
	// failureCost is the expected cost of a failure, as a multiple of the objective.
	failureCost = 2.0
	// memoryShare is the part of an endpoint's token memory that is filled before it counts as full; beyond it running
	// requests are preempted.
	memoryShare = 0.92
	// sharedCost is the cost of reading a shared part that another endpoint keeps, as a multiple of the time that it takes:
	// the time is also lost to everything that waits behind it, and the copy takes memory from other parts.
	sharedCost = 3.0
	// fetchShare is the cost of fetching a shared part from the endpoint that keeps it, as a part of that of reading it
	// again. It takes a few per cent of the time, but an endpoint whose requests go elsewhere soon loses the parts, and
	// there is nothing left to fetch.
	fetchShare = 0.7
	// unsoundFailures and unsoundSlowdown are the share of failures and the slowdown beyond which nothing is fetched from
	// an endpoint.
	unsoundFailures = 0.3
	unsoundSlowdown = 2
	// remoteCost is the cost of a byte that crosses failure domains: links between them are shared by all traffic.
	remoteCost = 1500 * time.Nanosecond
	// equalTime is the difference in expected time below which two endpoints count as equal.
	equalTime = 2 * time.Millisecond
)

// Candidate is an endpoint that may take a request.
type Candidate struct {
	ID          string
	Outstanding Outstanding
	Health      Health
	// Slots is the number of requests that it serves at once, and Memory the tokens that it holds; zero bounds nothing.
	Slots  int
	Memory int64
	// KeptParts is the number of the request's first shared parts that it was seen to read lately.
	KeptParts int
	// Busy is the share of its time for which it reads prompts.
	Busy float64
	// Failing is the share of requests that failed there lately, at all gateways.
	Failing float64
	// Remote says that it lies in another failure domain than the gateway.
	Remote bool
}

// Choice is the endpoint that takes a request.
type Choice struct {
	Index int
	// Expected is the time to the first piece, and Cost the same with all else that counts against the endpoint.
	Expected time.Duration
	Cost     time.Duration
	// Unread is the number of prompt tokens that the endpoint has to read.
	Unread int64
	// Keeper is the candidate from which the endpoint fetches the shared parts of the prompt; negative if none.
	Keeper int
	// Favourite says that the request's subject is hashed to the endpoint.
	Favourite bool
	// Full says that the endpoint has no slot or no memory left, so that the request waits for another one to end.
	Full bool
}

// Prospect is what a request meets at an endpoint.
type Prospect struct {
	// Wait is the time to the first piece.
	Wait time.Duration
	// Full says that the request waits for a slot or for memory.
	Full bool
}

// Expected returns what w meets at c, where it makes the endpoint read so many tokens.
func Expected(c Candidate, w Work, unread int64, s Speed) Prospect {
	d := s.Base + stretched(s.Token*time.Duration(c.Outstanding.PromptTokens.Before(w.Rank)+unread), s.Overtaking.Reading[w.Rank])
	slot := slotWait(c, w.Rank, s)
	d += slot
	crowded := c.Memory > 0 && float64(c.Outstanding.HeldTokens+unread+w.OutputTokens) > memoryShare*float64(c.Memory)
	if crowded {
		d += s.Whole / 2
	}
	return Prospect{Wait: time.Duration(float64(d) * c.Health.Slowdown()), Full: slot > 0 || crowded}
}

// slotWait returns the time until a request of a rank gets a slot: those that run have to end, and those that wait with
// the same or a more urgent rank go first.
func slotWait(c Candidate, rank int, s Speed) time.Duration {
	running := int64(c.Outstanding.Requests) - c.Outstanding.Waiting.All()
	before := running + c.Outstanding.Waiting.Before(rank) - int64(c.Slots) + 1
	if c.Slots == 0 || before <= 0 {
		return 0
	}
	return stretched(s.Whole*time.Duration(before)/time.Duration(c.Slots), s.Overtaking.Slots[rank])
}

// DecodeCost returns what the later end of a stream costs at engines that read prompts for a share of their time.
func DecodeCost(w Work, busy float64) time.Duration {
	return time.Duration(decodeWeight * busy * float64(w.OutputTokens) * float64(chunkTime))
}

// Choose returns the candidate with the least expected cost, or false if there is none. Requests of one subject go to
// the endpoint that the subject is hashed to, so that its shared parts are read once, until its backlog costs more than
// to fetch them from there, a token in fetch, or to read them again; draw in [0, 1) decides between equals.
func Choose(candidates []Candidate, w Work, s Speed, fetch, objective time.Duration, draw float64) (Choice, bool) {
	best := Choice{Index: -1}
	var bestCost time.Duration
	equals := 0
	favourite := favourite(candidates, w)
	keeps := favourite >= 0 && fetch > 0 && candidates[favourite].sound()
	whole := w.Unread(len(w.Shared()))
	usual := usualFailing(candidates)
	for i, c := range candidates {
		unread, keeper := w.Unread(c.KeptParts), -1
		extra := time.Duration(sharedCost * float64(s.Token) * float64(unread-whole))
		switch {
		case i == favourite:
			// All gateways agree on the favourite, so that it keeps the parts although this one may not have seen it.
			unread, extra = whole, 0
		case keeps && unread > whole:
			extra = time.Duration(fetchShare*float64(extra)) + fetch*time.Duration(unread-whole)
			unread, keeper = whole, favourite
		}
		e := Expected(c, w, unread, s)
		if c.Remote {
			extra += remoteCost * time.Duration(w.Bytes)
		}
		cost := e.Wait + DecodeCost(w, c.Busy) + extra + time.Duration((c.Health.Failures+c.excess(usual))*failureCost*float64(objective))
		switch {
		case best.Index < 0 || cost < bestCost-equalTime:
			equals = 1
		case cost < bestCost+equalTime:
			// Reservoir sampling with one draw: each later equal replaces the choice with probability 1/n.
			equals++
			draw *= float64(equals)
			replace := draw < 1
			draw -= float64(int(draw))
			if !replace {
				continue
			}
		default:
			continue
		}
		best = Choice{Index: i, Expected: e.Wait, Cost: cost, Unread: unread, Keeper: keeper, Favourite: i == favourite, Full: e.Full}
		bestCost = cost
	}
	return best, best.Index >= 0
}

// sound reports whether others may fetch from the endpoint: one that fails or is slow would hold them up.
func (c Candidate) sound() bool {
	return c.Health.Failures < unsoundFailures && c.Health.Slowdown() <= unsoundSlowdown
}

// favourite returns the candidate to which the subject of a prompt, its last shared part, is hashed, or -1.
func favourite(candidates []Candidate, w Work) int {
	shared := w.Shared()
	if len(shared) == 0 {
		return -1
	}
	subject := shared[len(shared)-1].ID
	best, highest := -1, uint64(0)
	for i, c := range candidates {
		if weight := xxhash.Sum64String(subject + "\x00" + c.ID); best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	return best
}
