package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusreel/consensus"
	"arbutusreel/wiregen"
)

func encodeID(id consensus.ID) *wiregen.VoterId {
	if id == (consensus.ID{}) {
		return nil
	}
	return &wiregen.VoterId{Name: id.Name, Disk: id.Disk}
}

func decodeID(m *wiregen.VoterId) consensus.ID {
	return consensus.ID{Name: m.GetName(), Disk: m.GetDisk()}
}

func encodeMembers(members consensus.Members) []*wiregen.ConsensusMember {
	var all []*wiregen.ConsensusMember
	for _, m := range members {
		all = append(all, &wiregen.ConsensusMember{Id: encodeID(m.ID), Address: m.Address, Voter: m.Voter, Replacement: encodeReplacement(m.Replacement)})
	}
	return all
}

func decodeMembers(all []*wiregen.ConsensusMember) consensus.Members {
	var members consensus.Members
	for _, m := range all {
		members = append(members, consensus.Member{ID: decodeID(m.GetId()), Address: m.GetAddress(), Voter: m.GetVoter(), Replacement: decodeReplacement(m.GetReplacement())})
	}
	return members
}

func encodeReplacement(r *consensus.Replacement) *wiregen.MemberReplacement {
	if r == nil {
		return nil
	}
	m := &wiregen.MemberReplacement{UptimeNanos: r.Uptime.Nanoseconds()}
	for _, id := range r.Suspects {
		m.Suspects = append(m.Suspects, encodeID(id))
	}
	return m
}

func decodeReplacement(m *wiregen.MemberReplacement) *consensus.Replacement {
	if m == nil {
		return nil
	}
	r := &consensus.Replacement{Uptime: time.Duration(m.GetUptimeNanos())}
	for _, id := range m.GetSuspects() {
		r.Suspects = append(r.Suspects, decodeID(id))
	}
	return r
}

func encodeContacts(contacts []consensus.Contact) []*wiregen.MemberContact {
	var all []*wiregen.MemberContact
	for _, c := range contacts {
		m := &wiregen.MemberContact{Member: encodeID(c.Member), Stopping: c.Stopping}
		if c.Known {
			age := c.Age.Nanoseconds()
			m.AgeNanos = &age
		}
		all = append(all, m)
	}
	return all
}

func decodeContacts(all []*wiregen.MemberContact) []consensus.Contact {
	var contacts []consensus.Contact
	for _, m := range all {
		contacts = append(contacts, consensus.Contact{
			Member: decodeID(m.GetMember()), Age: time.Duration(m.GetAgeNanos()), Known: m.AgeNanos != nil, Stopping: m.GetStopping(),
		})
	}
	return contacts
}

func encodeEntries(entries []consensus.Entry) []*wiregen.ConsensusEntry {
	var all []*wiregen.ConsensusEntry
	for _, e := range entries {
		all = append(all, &wiregen.ConsensusEntry{Index: e.Index, Term: e.Term, Kind: int32(e.Kind), Data: e.Data, Members: encodeMembers(e.Members)})
	}
	return all
}

func decodeEntries(all []*wiregen.ConsensusEntry) []consensus.Entry {
	var entries []consensus.Entry
	for _, m := range all {
		entries = append(entries, consensus.Entry{
			Index: m.GetIndex(), Term: m.GetTerm(), Kind: consensus.EntryKind(m.GetKind()), Data: m.GetData(), Members: decodeMembers(m.GetMembers()),
		})
	}
	return entries
}

func encodeSnapshot(s *consensus.Snapshot) *wiregen.ConsensusSnapshot {
	if s == nil {
		return nil
	}
	return &wiregen.ConsensusSnapshot{Index: s.Index, Term: s.Term, Members: encodeMembers(s.Members), Data: s.Data}
}

func decodeSnapshot(m *wiregen.ConsensusSnapshot) *consensus.Snapshot {
	if m == nil {
		return nil
	}
	return &consensus.Snapshot{Index: m.GetIndex(), Term: m.GetTerm(), Members: decodeMembers(m.GetMembers()), Data: m.GetData()}
}

func encodeMessage(m consensus.Message) *wiregen.ConsensusMessage {
	return &wiregen.ConsensusMessage{
		Kind: int32(m.Kind), From: encodeID(m.From), FromAddress: m.FromAddress, To: encodeID(m.To), Term: m.Term,
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit, Entries: encodeEntries(m.Entries), Snapshot: encodeSnapshot(m.Snapshot),
		Granted: m.Granted, Match: m.Match, Transfer: m.Transfer, Round: m.Round, SentAtNanos: m.SentAt.Nanoseconds(),
		Stopping: m.Stopping, Contacts: encodeContacts(m.Contacts),
	}
}

// decodeMessage decodes a message from another voter; a message that violates the protocol returns *RecordError.
func decodeMessage(m *wiregen.ConsensusMessage) (consensus.Message, error) {
	decoded := consensus.Message{
		Kind: consensus.MessageKind(m.GetKind()), From: decodeID(m.GetFrom()), FromAddress: m.GetFromAddress(), To: decodeID(m.GetTo()), Term: m.GetTerm(),
		Index: m.GetIndex(), LogTerm: m.GetLogTerm(), Commit: m.GetCommit(), Entries: decodeEntries(m.GetEntries()), Snapshot: decodeSnapshot(m.GetSnapshot()),
		Granted: m.GetGranted(), Match: m.GetMatch(), Transfer: m.GetTransfer(), Round: m.GetRound(), SentAt: time.Duration(m.GetSentAtNanos()),
		Stopping: m.GetStopping(), Contacts: decodeContacts(m.GetContacts()),
	}
	if err := decoded.Check(); err != nil {
		return consensus.Message{}, &RecordError{Record: "message", Cause: err}
	}
	return decoded, nil
}

// marshal encodes m deterministically. Encoding cannot fail for the messages of this package, whose fields are
// scalars and messages.
func marshal(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil
	}
	return b
}

func encodeRecord(hard *consensus.HardState, entries []consensus.Entry, commit int64) []byte {
	m := &wiregen.JournalRecord{Entries: encodeEntries(entries), Commit: commit}
	if hard != nil {
		m.HardState = &wiregen.HardStateRecord{Term: hard.Term, Vote: encodeID(hard.Vote)}
	}
	return marshal(m)
}
