package intake

// part is a part of a request whose memory counts.
type part int

const (
	head part = iota
	body

	parts
)

// holding is what one connection holds in an account. Its links join the entries that hold something.
type holding[C any] struct {
	cost       int64
	prev, next *Entry[C]
}

// account bounds what connections hold of one part.
type account[C any] struct {
	part  part
	limit int64
	cost  int64
	// endingCost is the part of cost that connections hold which were given up and have not ended.
	endingCost int64
	// sentinel joins the ends of the list of entries that hold something and were not given up, the oldest first.
	sentinel Entry[C]
}

func (a *account[C]) init(p part, limit int64) {
	a.part, a.limit = p, limit
	h := a.of(&a.sentinel)
	h.prev, h.next = &a.sentinel, &a.sentinel
}

func (a *account[C]) of(e *Entry[C]) *holding[C] { return &e.held[a.part] }

// oldest returns the entry that has held something for the longest time, or nil.
func (a *account[C]) oldest() *Entry[C] { return a.newer(&a.sentinel) }

// newer returns the entry after e, or nil.
func (a *account[C]) newer(e *Entry[C]) *Entry[C] {
	if next := a.of(e).next; next != &a.sentinel {
		return next
	}
	return nil
}

// fits reports whether an entry may hold so much now.
func (a *account[C]) fits(e *Entry[C], cost int64) bool {
	return a.limit <= 0 || a.cost-a.of(e).cost+cost <= a.limit
}

// willFit reports whether an entry may hold so much once the entries that were given up have ended.
func (a *account[C]) willFit(e *Entry[C], cost int64) bool {
	return a.limit <= 0 || a.cost-a.endingCost-a.of(e).cost+cost <= a.limit
}

// set sets what an entry holds.
func (a *account[C]) set(e *Entry[C], cost int64) {
	h := a.of(e)
	if h.cost == 0 {
		last := a.of(&a.sentinel).prev
		h.prev, h.next = last, &a.sentinel
		a.of(last).next, a.of(&a.sentinel).prev = e, e
	}
	a.cost += cost - h.cost
	h.cost = cost
}

// release removes what an entry holds that was not given up.
func (a *account[C]) release(e *Entry[C]) {
	h := a.of(e)
	if h.cost == 0 {
		return
	}
	a.unlink(h)
	a.cost -= h.cost
	h.cost = 0
}

// giveUp records that an entry was given up: what it holds is about to be free.
func (a *account[C]) giveUp(e *Entry[C]) {
	if h := a.of(e); h.cost > 0 {
		a.unlink(h)
		a.endingCost += h.cost
	}
}

// end removes what an entry held that was given up.
func (a *account[C]) end(e *Entry[C]) {
	h := a.of(e)
	a.endingCost -= h.cost
	a.cost -= h.cost
	h.cost = 0
}

func (a *account[C]) unlink(h *holding[C]) {
	a.of(h.prev).next, a.of(h.next).prev = h.next, h.prev
	h.prev, h.next = nil, nil
}
