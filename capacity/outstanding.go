package capacity

// Ranks is the number of scheduling ranks. Rank 0 is the most urgent; the last one holds requests that will be late. The others suffice
// for two priorities of teams with three priorities of routes each; with fewer, most requests shared one rank.
const Ranks = 8

// Rank returns the rank of a request from its route's priority, of which zero is the most urgent, or the last rank if
// it will be late.
func Rank(priority int, late bool) int {
	if late {
		return Ranks - 1
	}
	return min(max(priority, 0), Ranks-2)
}

// Backlog counts prompt tokens or requests by rank.
type Backlog [Ranks]int64

// Plus returns the sum by rank.
func (b Backlog) Plus(other Backlog) Backlog {
	for rank, tokens := range other {
		b[rank] += tokens
	}
	return b
}

// Minus returns the difference by rank.
func (b Backlog) Minus(other Backlog) Backlog {
	for rank, tokens := range other {
		b[rank] -= tokens
	}
	return b
}

// Before returns the sum over the rank and all more urgent ones, which engines take first.
func (b Backlog) Before(rank int) int64 {
	var n int64
	for _, one := range b[:rank+1] {
		n += one
	}
	return n
}

// All returns the sum over all ranks.
func (b Backlog) All() int64 { return b.Before(Ranks - 1) }

// Outstanding is the work that was sent to an endpoint and has not ended.
type Outstanding struct {
	Requests int
	// Waiting counts the requests without a first chunk yet.
	Waiting Backlog
	// PromptTokens counts the uncached prompt tokens of waiting requests.
	PromptTokens Backlog
	// HeldTokens is the endpoint's memory held by the requests until they end, in tokens; see HeldMemory.
	HeldTokens int64
}

// Plus returns the sum.
func (o Outstanding) Plus(other Outstanding) Outstanding {
	return Outstanding{
		Requests: o.Requests + other.Requests, Waiting: o.Waiting.Plus(other.Waiting),
		PromptTokens: o.PromptTokens.Plus(other.PromptTokens), HeldTokens: o.HeldTokens + other.HeldTokens,
	}
}

// Minus returns the work that is left after the other work, a part of this one, has been subtracted.
func (o Outstanding) Minus(other Outstanding) Outstanding {
	return Outstanding{
		Requests: o.Requests - other.Requests, Waiting: o.Waiting.Minus(other.Waiting),
		PromptTokens: o.PromptTokens.Minus(other.PromptTokens), HeldTokens: o.HeldTokens - other.HeldTokens,
	}
}

// WithBegun returns the outstanding work after the first chunk of a request that was counted with the given load.
func (o Outstanding) WithBegun(load Outstanding) Outstanding {
	o.Waiting, o.PromptTokens = o.Waiting.Minus(load.Waiting), o.PromptTokens.Minus(load.PromptTokens)
	return o
}

// Part is a part of a prompt, the unit of caching at endpoints.
type Part struct {
	ID     string
	Tokens int64
}

// Work describes the work of a request for an endpoint.
type Work struct {
	// Parts are the prompt's parts in order; the last one is not shared with other requests.
	Parts []Part
	// PromptTokens is the number of tokens of the prompt, and OutputTokens the expected number of the response, or zero
	// if it is not known.
	PromptTokens int64
	OutputTokens int64
	// Bytes is the size of the request and its expected response.
	Bytes int64
	// Rank is the request's rank.
	Rank int
	// Stream holds the targets of a response that is a stream.
	Stream Stream
}

// Shared returns the parts that the prompt may share with other requests.
func (w Work) Shared() []Part {
	if len(w.Parts) == 0 {
		return nil
	}
	return w.Parts[:len(w.Parts)-1]
}

// UncachedTokens returns the number of prompt tokens to prefill at an endpoint that has cached the first n parts.
func (w Work) UncachedTokens(n int) int64 {
	uncached := w.PromptTokens
	for _, p := range w.Parts[:min(n, len(w.Parts))] {
		uncached -= p.Tokens
	}
	return max(uncached, 0)
}

// Load returns the outstanding work of one request before its first chunk, with the given number of uncached tokens. It
// holds its whole prompt.
func (w Work) Load(uncached int64) Outstanding {
	o := Outstanding{Requests: 1, HeldTokens: w.HeldTokens()}
	o.Waiting[w.Rank], o.PromptTokens[w.Rank] = 1, uncached
	return o
}
