package consensus

// memberSet is a set of members and the index of the entry that put it in force.
type memberSet struct {
	index   int64
	members Members
}

// log is the part of the log after base, with the sets of members that it brought.
type log struct {
	base     int64
	baseTerm int64
	entries  []Entry
	sets     []memberSet
	// unsaved is the lowest index not handed out to be persisted.
	unsaved int64
}

func newLog(r Restored) log {
	l := log{}
	if s := r.Snapshot; s != nil {
		l.base, l.baseTerm = s.Index, s.Term
		l.sets = []memberSet{{index: s.Index, members: s.Members}}
	}
	for _, e := range r.Entries {
		l.append(e)
	}
	l.unsaved = l.last() + 1
	return l
}

func (l *log) last() int64 { return l.base + int64(len(l.entries)) }

// term returns the term of the entry at an index; ok is false if it is not known.
func (l *log) term(index int64) (term int64, ok bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *log) lastTerm() int64 {
	term, _ := l.term(l.last())
	return term
}

// slice returns the entries from first to last, both included.
func (l *log) slice(first, last int64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.base-1 : last-l.base : last-l.base]
}

func (l *log) append(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == MembersEntry {
		l.sets = append(l.sets, memberSet{index: e.Index, members: e.Members})
	}
	l.unsaved = min(l.unsaved, e.Index)
}

// truncate drops the entries from an index on.
func (l *log) truncate(index int64) {
	l.entries = l.entries[: index-l.base-1 : index-l.base-1]
	for len(l.sets) > 0 && l.sets[len(l.sets)-1].index >= index {
		l.sets = l.sets[:len(l.sets)-1]
	}
	l.unsaved = min(l.unsaved, index)
}

// set returns the members in force and the index that put them in force.
func (l *log) set() memberSet {
	if len(l.sets) == 0 {
		return memberSet{}
	}
	return l.sets[len(l.sets)-1]
}

// setAt returns the members in force at an index.
func (l *log) setAt(index int64) Members {
	var members Members
	for _, s := range l.sets {
		if s.index <= index {
			members = s.members
		}
	}
	return members
}

// compact drops the entries up to an index.
func (l *log) compact(index int64) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
	for len(l.sets) > 1 && l.sets[1].index <= index {
		l.sets = l.sets[1:]
	}
}

// replace makes the snapshot the whole log.
func (l *log) replace(s *Snapshot) {
	*l = newLog(Restored{Snapshot: s})
}
