package consensus

import "slices"

// maxNumber bounds terms, indices, rounds and times, so that arithmetic on them cannot overflow.
const maxNumber = 1 << 60

// Check returns *MalformedError if the message cannot come from a correct voter.
func (m Message) Check() error {
	switch {
	case m.Kind < BootstrapRequest || m.Kind > TimeoutNow:
		return &MalformedError{Part: "kind of the message"}
	case m.From.Name == "":
		return &MalformedError{Part: "sender of the message"}
	case !allInRange(m.Term, m.Index, m.LogTerm, m.Commit, m.Match, m.Round, int64(m.SentAt)):
		return &MalformedError{Part: "number in the message"}
	case slices.ContainsFunc(m.Contacts, func(c Contact) bool { return !allInRange(int64(c.Age)) }):
		return &MalformedError{Part: "contact in the message"}
	case m.Kind == InstallRequest && m.Snapshot == nil:
		return &MalformedError{Part: "snapshot of the message"}
	}
	if m.Snapshot != nil {
		if err := m.Snapshot.check(m.Term); err != nil {
			return err
		}
	}
	return checkEntries(m.Entries, m.Index, m.LogTerm, m.Term)
}

// Check returns *MalformedError if the state cannot have been written by a correct voter.
func (r Restored) Check() error {
	if !allInRange(r.HardState.Term, r.Commit) {
		return &MalformedError{Part: "term of the voter"}
	}
	if r.Snapshot == nil {
		return checkEntries(r.Entries, 0, 0, r.HardState.Term)
	}
	if err := r.Snapshot.check(r.HardState.Term); err != nil {
		return err
	}
	return checkEntries(r.Entries, r.Snapshot.Index, r.Snapshot.Term, r.HardState.Term)
}

// check rejects a snapshot without an index or voters, or with a term above highest.
func (s *Snapshot) check(highest int64) error {
	if !allInRange(s.Index, s.Term) || s.Index == 0 || s.Term > highest {
		return &MalformedError{Part: "place of the snapshot"}
	}
	return s.Members.check()
}

// checkEntries rejects entries that are not consecutive after the given index and term, or whose term is above highest.
func checkEntries(entries []Entry, index, term, highest int64) error {
	for _, e := range entries {
		if e.Index != index+1 || e.Term < term || e.Term > highest {
			return &MalformedError{Part: "order of the entries"}
		}
		if e.Kind < CommandEntry || e.Kind > MembersEntry || (e.Index == 1 && e.Kind != MembersEntry) {
			return &MalformedError{Part: "kind of an entry"}
		}
		if e.Kind == MembersEntry {
			if err := e.Members.check(); err != nil {
				return err
			}
		}
		index, term = e.Index, e.Term
	}
	return nil
}

// check rejects a set without a voter, with an empty name, or with a duplicate name.
func (m Members) check() error {
	names := map[string]bool{"": true}
	for _, member := range m {
		if names[member.ID.Name] {
			return &MalformedError{Part: "names of the members"}
		}
		names[member.ID.Name] = true
		if r := member.Replacement; r != nil && !allInRange(int64(r.Uptime)) {
			return &MalformedError{Part: "replacement of a member"}
		}
	}
	if len(m.Voters()) == 0 {
		return &MalformedError{Part: "voters of the members"}
	}
	return nil
}

// allInRange reports whether all values lie in [0, maxNumber].
func allInRange(all ...int64) bool {
	for _, n := range all {
		if n < 0 || n > maxNumber {
			return false
		}
	}
	return true
}
