package fencing

// Number orders the orders of all leaders.
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

// Gate is the check of an engine that refuses old numbers; the zero value has seen none.
type Gate struct {
	highest Number
}

// Accept returns the gate after an order and whether the order may be applied: its number is above all before it.
func (g Gate) Accept(n Number) (Gate, bool) {
	if !n.Above(g.highest) {
		return g, false
	}
	return Gate{highest: n}, true
}
