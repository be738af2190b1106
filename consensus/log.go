package consensus

// memberSet is a set of members and the index of the entry from which it is in force.
type memberSet struct {
	index   int64
	members Members
}

// log is the part of the log after index base, with the member sets in force at base and after it.
type log struct {
	base       int64
	baseTerm   int64
	entries    []Entry
	memberSets []memberSet
	// firstUnwritten is the lowest index not yet returned in Actions to be persisted.
	firstUnwritten int64
}

func newLog(r Restored) log {
	l := log{}
	if s := r.Snapshot; s != nil {
		l.base, l.baseTerm = s.Index, s.Term
		l.memberSets = []memberSet{{index: s.Index, members: s.Members}}
	}
	for _, e := range r.Entries {
		l.append(e)
	}
	l.firstUnwritten = l.last() + 1
	return l
}

func (l *log) last() int64 { return l.base + int64(len(l.entries)) }

// term returns the term of the entry at index; ok is false if the entry was compacted or does not exist.
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

// slice returns the entries from first to last, inclusive.
func (l *log) slice(first, last int64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.base-1 : last-l.base : last-l.base]
}

func (l *log) append(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == MembersEntry {
		l.memberSets = append(l.memberSets, memberSet{index: e.Index, members: e.Members})
	}
	l.firstUnwritten = min(l.firstUnwritten, e.Index)
}

// truncate drops the entries from index on.
func (l *log) truncate(index int64) {
	l.entries = l.entries[: index-l.base-1 : index-l.base-1]
	for len(l.memberSets) > 0 && l.memberSets[len(l.memberSets)-1].index >= index {
		l.memberSets = l.memberSets[:len(l.memberSets)-1]
	}
	l.firstUnwritten = min(l.firstUnwritten, index)
}

// currentMembers returns the members in force and the index from which they are in force.
func (l *log) currentMembers() memberSet {
	if len(l.memberSets) == 0 {
		return memberSet{}
	}
	return l.memberSets[len(l.memberSets)-1]
}

// additionOf returns the index of the set of members that added a member, or of the first known one that holds it.
func (l *log) additionOf(id ID) int64 {
	for _, s := range l.memberSets {
		if member, ok := s.members.Find(id.Name); ok && member.ID == id {
			return s.index
		}
	}
	return l.last() + 1
}

// membersAt returns the members in force at index.
func (l *log) membersAt(index int64) Members {
	var members Members
	for _, s := range l.memberSets {
		if s.index <= index {
			members = s.members
		}
	}
	return members
}

// compact drops the entries up to and including index.
func (l *log) compact(index int64) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
	for len(l.memberSets) > 1 && l.memberSets[1].index <= index {
		l.memberSets = l.memberSets[1:]
	}
}

// replace discards the log and restarts it after the snapshot.
func (l *log) replace(s *Snapshot) {
	*l = newLog(Restored{Snapshot: s})
}
