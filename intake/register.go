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

	phase      Phase
	headCost   int64
	closed     bool
	prev, next *Entry[C]
	// prevHead and nextHead link the entries whose heads count, the oldest first.
	prevHead, nextHead *Entry[C]
}

// Register holds the open connections of a process.
type Register[C any] struct {
	limits Limits
	// lists are circular, with a sentinel, and have the entry that is longest in its phase first.
	lists    [phases]Entry[C]
	counts   [phases]int
	heads    Entry[C]
	headCost int64
	// wanted is set if a connection found no place since one was last given up for it.
	wanted bool
}

// New returns a register without connections.
func New[C any](limits Limits) *Register[C] {
	r := &Register[C]{limits: limits}
	for i := range r.lists {
		r.lists[i].prev, r.lists[i].next = &r.lists[i], &r.lists[i]
	}
	r.heads.prevHead, r.heads.nextHead = &r.heads, &r.heads
	return r
}

// Count returns the number of connections in a phase.
func (r *Register[C]) Count(p Phase) int { return r.counts[p] }

// HeadCost returns the memory that heads count for, in bytes.
func (r *Register[C]) HeadCost() int64 { return r.headCost }

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
		r.Close(closing)
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

// Enter moves a connection to a phase. One that becomes idle no longer holds a head, and must be closed if Enter returns true:
// its place is wanted.
func (r *Register[C]) Enter(e *Entry[C], p Phase) (closing bool) {
	if e.closed || e.phase == p {
		return false
	}
	if p == Idle && r.wanted {
		r.wanted = false
		r.Close(e)
		return true
	}
	r.remove(e)
	r.push(e, p)
	if p == Idle {
		r.EndHead(e)
	}
	return false
}

// GrowHead sets what the head of a connection costs so far, in bytes, and returns the connections to close so that all heads
// stay within their bound: those with the oldest heads first, except for requests in progress, and at last the connection
// itself.
func (r *Register[C]) GrowHead(e *Entry[C], cost int64) (closing []*Entry[C]) {
	if e.closed {
		return nil
	}
	if e.headCost == 0 {
		last := r.heads.prevHead
		e.prevHead, e.nextHead = last, &r.heads
		last.nextHead, r.heads.prevHead = e, e
	}
	r.headCost += cost - e.headCost
	e.headCost = cost
	for old := r.heads.nextHead; r.excess() && old != &r.heads; {
		next := old.nextHead
		if old != e && old.phase != Serving {
			closing = append(closing, old)
			r.Close(old)
		}
		old = next
	}
	if r.excess() {
		closing = append(closing, e)
		r.Close(e)
	}
	return closing
}

// Fits reports whether the head of a connection may cost so much, in bytes, without another one that yields.
func (r *Register[C]) Fits(e *Entry[C], cost int64) bool {
	return !e.closed && (r.limits.HeadBytes <= 0 || r.headCost-e.headCost+cost <= r.limits.HeadBytes)
}

func (r *Register[C]) excess() bool { return r.limits.HeadBytes > 0 && r.headCost > r.limits.HeadBytes }

// Close removes a connection. It does nothing if it was removed before.
func (r *Register[C]) Close(e *Entry[C]) {
	if e.closed {
		return
	}
	e.closed = true
	r.remove(e)
	r.EndHead(e)
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
	if e.headCost == 0 {
		return
	}
	r.headCost -= e.headCost
	e.headCost = 0
	e.prevHead.nextHead, e.nextHead.prevHead = e.nextHead, e.prevHead
	e.prevHead, e.nextHead = nil, nil
}
