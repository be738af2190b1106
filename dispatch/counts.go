package dispatch

// Counts are what a dispatcher has decided since its start.
type Counts struct {
	Requests int64
	Answered int64
	Queued   int64
	Refused  int64
	// WrongRefusals are refusals for which there would have been room in time.
	WrongRefusals int64
	SentAway      int64
	// Retries are further attempts of requests without a piece, and Resumes those of streams in mid-answer.
	Retries int64
	Resumes int64
	// AskedTokens, ReservedTokens and UsedTokens are the tokens that callers asked for, that were reserved for their
	// answers, and that answered requests used.
	AskedTokens    int64
	ReservedTokens int64
	UsedTokens     int64
	Waiting        int64
}

// SavedShare returns the part of the asked tokens that was not reserved.
func (c Counts) SavedShare() float64 {
	if c.AskedTokens == 0 {
		return 0
	}
	return 1 - float64(c.ReservedTokens)/float64(c.AskedTokens)
}

// Counts returns what was decided until now.
func (d *Dispatcher) Counts() Counts {
	s := d.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	for _, l := range s.lanes.all {
		_, wrong := l.audit.Refusals()
		c.WrongRefusals += int64(wrong)
		c.Waiting += int64(l.queue.Len())
	}
	return c
}

// Metrics returns the counts by the names that they have in the metrics.
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
