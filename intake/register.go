package intake

// Phase is what a connection is doing.
type Phase int

// Phases of a connection, in the order in which connections are given up.
const (
	// Waiting connections have not sent a whole request yet.
	Waiting Phase = iota
	// Idle connections are kept open after a request was answered.
	Idle
	// Serving connections have a request in progress.
	Serving

	phases
)

// Entry is the place of one connection in a Register.
type Entry[C any] struct {
	// Conn is the connection.
	Conn C

	phase Phase
	// givenUp is set once the connection is to be closed, and ended once it is.
	givenUp, ended bool
	prev, next     *Entry[C]
	held           [parts]holding[C]
}

// GivenUp reports whether the connection has been given up, or has ended.
func (e *Entry[C]) GivenUp() bool { return e.givenUp }

// Register holds the open connections of a process, and what those that it has given up still hold.
type Register[C any] struct {
	limits Limits
	// lists are circular, with a sentinel, and have the entry that is longest in its phase first.
	lists    [phases]Entry[C]
	counts   [phases]int
	accounts [parts]account[C]
	// wanted is set if a connection found no place since one was last given up for it.
	wanted bool
}

// New returns a register without connections.
func New[C any](limits Limits) *Register[C] {
	r := &Register[C]{limits: limits}
	for i := range r.lists {
		r.lists[i].prev, r.lists[i].next = &r.lists[i], &r.lists[i]
	}
	for p, limit := range [parts]int64{head: limits.HeadBytes, body: limits.BodyBytes} {
		r.accounts[p].init(part(p), limit)
	}
	return r
}

// Count returns the number of connections in a phase.
func (r *Register[C]) Count(p Phase) int { return r.counts[p] }

// HeadCost returns the memory that heads count for, in bytes.
func (r *Register[C]) HeadCost() int64 { return r.accounts[head].cost }

// BodyCost returns the memory that bodies count for, in bytes.
func (r *Register[C]) BodyCost() int64 { return r.accounts[body].cost }

func (r *Register[C]) total() int { return r.counts[Waiting] + r.counts[Idle] + r.counts[Serving] }

// Open adds a connection and returns its entry, and the connection to close in its place if there are too many. The
// entry is nil if no other connection may be given up; the next one that becomes idle then makes room. stalled reports
// whether the client of a connection with a request in progress does not read.
func (r *Register[C]) Open(c C, stalled func(C) bool) (entry, closing *Entry[C]) {
	if n := r.limits.Connections; n > 0 && r.total() >= n {
		closing = r.choose(stalled)
		if closing == nil {
			r.wanted = true
			return nil, nil
		}
		r.giveUp(closing)
	}
	r.wanted = false
	entry = &Entry[C]{Conn: c}
	r.push(entry, Waiting)
	return entry, closing
}

// choose returns the connection that is given up first, or nil if there is none.
func (r *Register[C]) choose(stalled func(C) bool) *Entry[C] {
	for _, p := range []Phase{Waiting, Idle} {
		if r.counts[p] > 0 {
			return r.lists[p].next
		}
	}
	for e := r.lists[Serving].next; e != &r.lists[Serving]; e = e.next {
		if stalled(e.Conn) {
			return e
		}
	}
	return nil
}

// Enter moves a connection to a phase. One that becomes idle no longer holds a head or a body, and must be closed if Enter
// returns true: its place is wanted.
func (r *Register[C]) Enter(e *Entry[C], p Phase) (closing bool) {
	if e.givenUp || e.phase == p {
		return false
	}
	if p == Idle && r.wanted {
		r.wanted = false
		r.giveUp(e)
		return true
	}
	r.remove(e)
	r.push(e, p)
	if p == Idle {
		r.release(e)
	}
	return false
}

// GrowHead sets what the head of a connection costs so far, in bytes, if all heads stay within their bound. Otherwise grown is
// false: the caller tries again once a connection that was given up has ended, unless this one was given up too. The
// connections to close are given up for it: those with the oldest heads first, except for requests in progress unless these
// yield too, and at last the connection itself.
func (r *Register[C]) GrowHead(e *Entry[C], cost int64) (closing []*Entry[C], grown bool) {
	return r.grow(head, e, cost)
}

// GrowBody is like GrowHead for what the body of a request costs so far, in bytes.
func (r *Register[C]) GrowBody(e *Entry[C], cost int64) (closing []*Entry[C], grown bool) {
	return r.grow(body, e, cost)
}

func (r *Register[C]) grow(p part, e *Entry[C], cost int64) (closing []*Entry[C], grown bool) {
	if e.givenUp {
		return nil, false
	}
	a := &r.accounts[p]
	if a.fits(e, cost) {
		a.set(e, cost)
		return nil, true
	}
	yield := func(serving bool) {
		for old := a.oldest(); !a.willFit(e, cost) && old != nil; {
			next := a.newer(old)
			if old != e && (old.phase == Serving) == serving {
				closing = append(closing, old)
				r.giveUp(old)
			}
			old = next
		}
	}
	yield(false)
	if r.limits.ServingYield {
		yield(true)
	}
	if !a.willFit(e, cost) {
		closing = append(closing, e)
		r.giveUp(e)
	}
	return closing, false
}

// Fits reports whether the head of a connection may cost so much, in bytes, without another one that yields.
func (r *Register[C]) Fits(e *Entry[C], cost int64) bool {
	return !e.givenUp && r.accounts[head].fits(e, cost)
}

// GiveUp removes a connection that is to be closed. Its head and its body count until it has ended. It reports false if the connection was
// given up before.
func (r *Register[C]) GiveUp(e *Entry[C]) bool {
	if e.givenUp {
		return false
	}
	r.giveUp(e)
	return true
}

func (r *Register[C]) giveUp(e *Entry[C]) {
	e.givenUp = true
	r.remove(e)
	for p := range r.accounts {
		r.accounts[p].giveUp(e)
	}
}

// Close records that a connection has ended. It does nothing if it has ended before.
func (r *Register[C]) Close(e *Entry[C]) {
	if e.ended {
		return
	}
	r.GiveUp(e)
	e.ended = true
	for p := range r.accounts {
		r.accounts[p].end(e)
	}
}

func (r *Register[C]) push(e *Entry[C], p Phase) {
	list := &r.lists[p]
	e.phase = p
	e.prev, e.next = list.prev, list
	list.prev.next, list.prev = e, e
	r.counts[p]++
}

func (r *Register[C]) remove(e *Entry[C]) {
	e.prev.next, e.next.prev = e.next, e.prev
	e.prev, e.next = nil, nil
	r.counts[e.phase]--
}

// EndHead records that a connection holds no head any more.
func (r *Register[C]) EndHead(e *Entry[C]) {
	if !e.givenUp {
		r.accounts[head].release(e)
	}
}

func (r *Register[C]) release(e *Entry[C]) {
	for p := range r.accounts {
		r.accounts[p].release(e)
	}
}
