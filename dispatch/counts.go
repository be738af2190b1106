package dispatch

// Counts holds the counters of a dispatcher since its start; Waiting is the current number of waiting requests.
type Counts struct {
	Requests int64
	Answered int64
	Queued   int64
	Refused  int64
	// WrongRefusals counts the refused requests for which there would have been capacity in time.
	WrongRefusals int64
	// SentAway counts the attempts that were forwarded to another region.
	SentAway int64
	// Retries counts the further attempts of requests before the first piece of their answer, and Resumes those of
	// streams whose answer had started.
	Retries int64
	Resumes int64
	// AskedTokens, ReservedTokens and UsedTokens count the tokens that callers asked for, that were reserved for
	// answers, and that answered requests used.
	AskedTokens    int64
	ReservedTokens int64
	UsedTokens     int64
	Waiting        int64
}

// SavedShare returns the share of the requested tokens that was not reserved, or 0 if no tokens were requested.
func (c Counts) SavedShare() float64 {
	if c.AskedTokens == 0 {
		return 0
	}
	return 1 - float64(c.ReservedTokens)/float64(c.AskedTokens)
}

// Counts returns the current counters.
func (d *Dispatcher) Counts() Counts {
	s := d.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	for _, q := range s.queues.all {
		_, wrong := q.audit.Refusals()
		c.WrongRefusals += int64(wrong)
		c.Waiting += int64(q.queue.Len())
	}
	return c
}

// Metrics returns the counters by their metric names.
func (d *Dispatcher) Metrics() map[string]any {
	c := d.Counts()
	return map[string]any{
		"requests":       c.Requests,
		"answered":       c.Answered,
		"queued":         c.Queued,
		"refused":        c.Refused,
		"wrongRefusals":  c.WrongRefusals,
		"sentAway":       c.SentAway,
		"retries":        c.Retries,
		"resumes":        c.Resumes,
		"askedTokens":    c.AskedTokens,
		"reservedTokens": c.ReservedTokens,
		"usedTokens":     c.UsedTokens,
		"savedShare":     c.SavedShare(),
		"waiting":        c.Waiting,
	}
}
