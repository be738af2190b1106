package admission

// Shares holds the virtual times and the teams' finish tags of queues that share capacity, so that each team has its
// share over all of them.
type Shares struct {
	finish  map[flowKey]float64
	virtual map[int]float64
	// waiting is the number of requests that wait at each priority.
	waiting map[int]int
}

// NewShares returns shares of which nothing was used.
func NewShares() *Shares {
	return &Shares{finish: map[flowKey]float64{}, virtual: map[int]float64{}, waiting: map[int]int{}}
}

// start returns the start tag of a team's next request and takes its work.
func (s *Shares) start(k flowKey, work float64) float64 {
	start := max(s.finish[k], s.virtual[k.priority])
	s.finish[k] = start + work
	s.waiting[k.priority]++
	return start
}

// started advances the virtual time of a priority.
func (s *Shares) started(priority int, start float64) {
	s.virtual[priority] = max(s.virtual[priority], start)
}

// giveBack returns the work of a request that has gone to its team.
func (s *Shares) giveBack(k flowKey, work, start float64) {
	s.finish[k] = max(s.finish[k]-work, start)
}

// leave counts a request that waits no more; closed tells that its flow is empty. The finish tag of a closed flow is
// kept while it lies beyond the virtual time, so that a team gains nothing by waiting with one request at a time. A
// priority at which nothing waits begins anew.
func (s *Shares) leave(k flowKey, closed bool) {
	s.waiting[k.priority]--
	if s.waiting[k.priority] == 0 {
		s.forget(k.priority)
		return
	}
	if closed && s.finish[k] <= s.virtual[k.priority] {
		delete(s.finish, k)
	}
}

func (s *Shares) forget(priority int) {
	for k := range s.finish {
		if k.priority == priority {
			delete(s.finish, k)
		}
	}
	delete(s.virtual, priority)
	delete(s.waiting, priority)
}
