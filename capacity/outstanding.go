package capacity

// Outstanding is what was sent to an endpoint and has not ended.
type Outstanding struct {
	Requests int
	// Unstarted requests have not brought their first piece.
	Unstarted int
	// PromptTokens are those of unstarted requests that the endpoint has to read.
	PromptTokens int64
	// HeldTokens is the memory that the requests take until they end.
	HeldTokens int64
}

// Plus returns the sum.
func (o Outstanding) Plus(other Outstanding) Outstanding {
	return Outstanding{
		Requests: o.Requests + other.Requests, Unstarted: o.Unstarted + other.Unstarted,
		PromptTokens: o.PromptTokens + other.PromptTokens, HeldTokens: o.HeldTokens + other.HeldTokens,
	}
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
	return Outstanding{Requests: 1, Unstarted: 1, PromptTokens: unread, HeldTokens: unread + w.OutputTokens}
}
