package capacity

// Ranks is the number of ranks of urgency that are told apart; the last one is that of requests that will be late.
const Ranks = 4

// Rank returns the rank of a request by its route's priority, zero first, and of one that will be late.
func Rank(priority int, late bool) int {
	if late {
		return Ranks - 1
	}
	return min(max(priority, 0), Ranks-2)
}

// Backlog counts prompt tokens or requests by rank.
type Backlog [Ranks]int64

// Plus returns the sum.
func (b Backlog) Plus(other Backlog) Backlog {
	for rank, tokens := range other {
		b[rank] += tokens
	}
	return b
}

// Minus returns the difference.
func (b Backlog) Minus(other Backlog) Backlog {
	for rank, tokens := range other {
		b[rank] -= tokens
	}
	return b
}

// Before returns what comes before or along with a request of a rank: engines take the more urgent requests first.
func (b Backlog) Before(rank int) int64 {
	var n int64
	for _, one := range b[:rank+1] {
		n += one
	}
	return n
}

// All returns the sum over all ranks.
func (b Backlog) All() int64 { return b.Before(Ranks - 1) }

// Outstanding is what was sent to an endpoint and has not ended.
type Outstanding struct {
	Requests int
	// Waiting requests have not brought their first piece.
	Waiting Backlog
	// PromptTokens are those of unstarted requests that the endpoint has to read.
	PromptTokens Backlog
	// HeldTokens is the memory that the requests take until they end.
	HeldTokens int64
}

// Plus returns the sum.
func (o Outstanding) Plus(other Outstanding) Outstanding {
	return Outstanding{
		Requests: o.Requests + other.Requests, Waiting: o.Waiting.Plus(other.Waiting),
		PromptTokens: o.PromptTokens.Plus(other.PromptTokens), HeldTokens: o.HeldTokens + other.HeldTokens,
	}
}

// WithBegun returns what is outstanding after the first piece came of a request with a load.
func (o Outstanding) WithBegun(load Outstanding) Outstanding {
	o.Waiting, o.PromptTokens = o.Waiting.Minus(load.Waiting), o.PromptTokens.Minus(load.PromptTokens)
	return o
}

// Part is a part of a prompt, which endpoints cache.
type Part struct {
	ID     string
	Tokens int64
}

// Work is what a request asks of an endpoint.
type Work struct {
	// Parts are the prompt's parts in order; the last one is the request's own.
	Parts []Part
	// PromptTokens are all tokens of the prompt, and OutputTokens those expected of the answer.
	PromptTokens int64
	OutputTokens int64
	// Bytes is the size of the request and of its expected answer.
	Bytes int64
	// Rank is the request's rank of urgency.
	Rank int
}

// Shared returns the parts that other requests have as well.
func (w Work) Shared() []Part {
	if len(w.Parts) == 0 {
		return nil
	}
	return w.Parts[:len(w.Parts)-1]
}

// Unread returns the prompt tokens that an endpoint has to read if it keeps the first n shared parts.
func (w Work) Unread(n int) int64 {
	unread := w.PromptTokens
	for _, p := range w.Parts[:min(n, len(w.Parts))] {
		unread -= p.Tokens
	}
	return max(unread, 0)
}

// Load returns the outstanding work of one unstarted request that reads unread tokens.
func (w Work) Load(unread int64) Outstanding {
	o := Outstanding{Requests: 1, HeldTokens: unread + w.OutputTokens}
	o.Waiting[w.Rank], o.PromptTokens[w.Rank] = 1, unread
	return o
}
