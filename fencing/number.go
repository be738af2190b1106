package fencing

// Number is the fencing token of an order. The numbers of all leaders are compared by term and then by sequence.
type Number struct {
	Term     int64
	Sequence int64
}

// Above reports whether n is higher than m.
func (n Number) Above(m Number) bool {
	if n.Term != m.Term {
		return n.Term > m.Term
	}
	return n.Sequence > m.Sequence
}

// Gate is the state of an engine that checks numbers; the zero value has accepted none.
type Gate struct {
	highest Number
}

// Accept returns the gate after an order, and whether the order may be applied: its number must be above all accepted
// before.
func (g Gate) Accept(n Number) (Gate, bool) {
	if !n.Above(g.highest) {
		return g, false
	}
	return Gate{highest: n}, true
}
