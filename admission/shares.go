package admission

// Shares holds the virtual times and the teams' finish tags of queues that share capacity, so that each team gets its
// share over all of these queues.
type Shares struct {
	finishTags   map[flowKey]float64
	virtualTimes map[int]float64
	// waiting is the number of waiting requests of each priority.
	waiting map[int]int
}

// NewShares returns Shares without recorded work.
func NewShares() *Shares {
	return &Shares{finishTags: map[flowKey]float64{}, virtualTimes: map[int]float64{}, waiting: map[int]int{}}
}

// assignStartTag returns the start tag of a team's next request and adds its work to the team's finish tag.
func (s *Shares) assignStartTag(k flowKey, work float64) float64 {
	tag := max(s.finishTags[k], s.virtualTimes[k.priority])
	s.finishTags[k] = tag + work
	s.waiting[k.priority]++
	return tag
}

// advanceVirtualTime advances the virtual time of a priority to the start tag of a request that starts.
func (s *Shares) advanceVirtualTime(priority int, startTag float64) {
	s.virtualTimes[priority] = max(s.virtualTimes[priority], startTag)
}

// refundWork subtracts the work of a request that leaves without starting from the finish tag of its team.
func (s *Shares) refundWork(k flowKey, work, startTag float64) {
	s.finishTags[k] = max(s.finishTags[k]-work, startTag)
}

// dequeue records that a request has left its queue; flowEmpty tells whether its flow is empty now. The finish tag of
// an empty flow is kept while it is beyond the virtual time, so that a team gains nothing by queueing one request at a
// time. A priority without waiting requests is reset.
func (s *Shares) dequeue(k flowKey, flowEmpty bool) {
	s.waiting[k.priority]--
	if s.waiting[k.priority] == 0 {
		s.resetPriority(k.priority)
		return
	}
	if flowEmpty && s.finishTags[k] <= s.virtualTimes[k.priority] {
		delete(s.finishTags, k)
	}
}

func (s *Shares) resetPriority(priority int) {
	for k := range s.finishTags {
		if k.priority == priority {
			delete(s.finishTags, k)
		}
	}
	delete(s.virtualTimes, priority)
	delete(s.waiting, priority)
}
