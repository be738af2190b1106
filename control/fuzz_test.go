package control

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusreel/consensus"
	"arbutusreel/journal"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

var (
	fuzzStart = time.Unix(1000, 0)
	fuzzSelf  = consensus.ID{Name: "a", Disk: "d"}
	fuzzPeer  = consensus.ID{Name: "b", Disk: "d"}
)

func fuzzMembers() consensus.Members {
	var members consensus.Members
	for _, name := range []string{"a", "b", "c"} {
		members = members.With(consensus.Member{ID: consensus.ID{Name: name, Disk: "d"}, Address: name, Voter: true})
	}
	return members
}

// fuzzContents returns the journal of a voter with a snapshot and two entries.
func fuzzContents() journal.Contents {
	s := &consensus.Snapshot{Index: 3, Term: 1, Members: fuzzMembers(), Data: newStateMachine().snapshot()}
	entries := []consensus.Entry{{Index: 4, Term: 2, Kind: consensus.TermEntry}, {Index: 5, Term: 2, Data: []byte("x")}}
	return journal.Contents{Snapshot: marshal(encodeSnapshot(s)), Records: [][]byte{encodeRecord(&consensus.HardState{Term: 2}, entries, 0)}}
}

// restart returns a voter restored from the journal; ok is false if the journal is refused.
func restart(c journal.Contents) (n *consensus.Node, ok bool) {
	r, err := restore(c)
	if err != nil {
		return nil, false
	}
	if r.Snapshot != nil {
		_, _ = restoreStateMachine(r.Snapshot.Index, r.Snapshot.Data)
	}
	cfg := consensus.Config{Self: fuzzSelf, Address: "a", Heartbeat: 10 * time.Millisecond, ElectionTimeout: 100 * time.Millisecond}
	return consensus.New(cfg, r, fuzzStart, rand.New(rand.NewPCG(1, 1))), true
}

// FuzzRestore checks that a voter starts from any journal that restore accepts.
func FuzzRestore(f *testing.F) {
	c := fuzzContents()
	f.Add(c.Snapshot, c.Records[0])
	f.Add([]byte{}, encodeRecord(&consensus.HardState{Term: 1}, []consensus.Entry{{Index: 1, Term: 1, Kind: consensus.MembersEntry, Members: fuzzMembers()}}, 0))
	f.Add(c.Snapshot, encodeRecord(nil, []consensus.Entry{{Index: 9, Term: 2}}, 0))
	f.Add([]byte{}, encodeRecord(nil, []consensus.Entry{{Index: 1, Term: 1, Kind: consensus.MembersEntry}}, 0))
	f.Add(marshal(&wiregen.ConsensusSnapshot{Index: -1}), []byte{})
	f.Fuzz(func(_ *testing.T, snapshot, record []byte) {
		c := journal.Contents{Records: [][]byte{record}}
		if len(snapshot) > 0 {
			c.Snapshot = snapshot
		}
		n, ok := restart(c)
		if !ok {
			return
		}
		now := fuzzStart.Add(time.Second)
		n.Tick(now)
		n.Actions()
		n.Persisted(now)
		n.Receive(now, consensus.Message{Kind: consensus.VoteReply, From: fuzzPeer, To: fuzzSelf, Term: n.HardState().Term, Granted: true})
		n.Actions()
		n.Status(now)
	})
}

// fuzzMessages returns messages from another voter, some of which violate the protocol.
func fuzzMessages() []consensus.Message {
	entries := []consensus.Entry{{Index: 6, Term: 3, Kind: consensus.TermEntry}, {Index: 7, Term: 3, Kind: consensus.MembersEntry, Members: fuzzMembers()}}
	all := []consensus.Message{
		{Kind: consensus.BootstrapRequest}, {Kind: consensus.BootstrapReply, Granted: true}, {Kind: consensus.TimeoutNow},
		{Kind: consensus.PreVoteRequest, Index: 9, LogTerm: 2}, {Kind: consensus.PreVoteReply, Granted: true},
		{Kind: consensus.VoteRequest, Index: 9, LogTerm: 2, Transfer: true}, {Kind: consensus.VoteReply, Granted: true},
		{Kind: consensus.AppendRequest, Index: 5, LogTerm: 2, Entries: entries, Commit: 7, Round: 1},
		{Kind: consensus.AppendReply, Granted: true, Match: 6, Round: 1}, {Kind: consensus.AppendReply, Match: 1 << 40, Granted: true},
		{Kind: consensus.InstallRequest, Snapshot: &consensus.Snapshot{Index: 9, Term: 3, Members: fuzzMembers()}},
		{Kind: consensus.InstallRequest},
		{Kind: consensus.InstallRequest, Snapshot: &consensus.Snapshot{Index: 9, Term: 3}},
		{Kind: consensus.AppendRequest, Index: 5, LogTerm: 2, Entries: entries[1:], Commit: 7},
		{Kind: consensus.AppendRequest, Index: 5, LogTerm: 2, Entries: []consensus.Entry{{Index: 6, Term: 3, Kind: consensus.MembersEntry}}},
	}
	for i := range all {
		all[i].From, all[i].To, all[i].Term = fuzzPeer, fuzzSelf, 3
	}
	return all
}

// FuzzMessage checks that a voter accepts or refuses any two messages, and can restore what it has persisted after
// each.
func FuzzMessage(f *testing.F) {
	for _, m := range fuzzMessages() {
		f.Add(false, marshal(encodeMessage(m)), marshal(encodeMessage(m)))
		f.Add(true, marshal(encodeMessage(m)), marshal(encodeMessage(m)))
	}
	f.Fuzz(func(t *testing.T, leads bool, first, second []byte) {
		c := fuzzContents()
		n, _ := restart(c)
		now := fuzzStart.Add(time.Second)
		step := func() {
			a := n.Actions()
			if a.Snapshot != nil {
				c.Snapshot, c.Records = marshal(encodeSnapshot(a.Snapshot)), nil
			}
			hard := n.HardState()
			c.Records = append(c.Records, encodeRecord(&hard, a.Entries, 0))
			if _, err := restore(c); err != nil {
				t.Fatalf("the voter wrote what it cannot read: %v", err)
			}
			n.Persisted(now)
		}
		receive := func(b []byte) {
			m := &wiregen.ConsensusMessage{}
			if proto.Unmarshal(b, m) != nil {
				return
			}
			if decoded, err := decodeMessage(m); err == nil {
				n.Receive(now, decoded)
			}
			step()
		}
		if leads {
			n.Tick(now)
			n.Receive(now, consensus.Message{Kind: consensus.PreVoteReply, From: fuzzPeer, To: fuzzSelf, Term: 3, Granted: true})
			n.Receive(now, consensus.Message{Kind: consensus.VoteReply, From: fuzzPeer, To: fuzzSelf, Term: 3, Granted: true})
			step()
		}
		receive(first)
		receive(second)
		now = now.Add(time.Second)
		n.Tick(now)
		step()
	})
}

// FuzzCommand checks that any command is decided or refused, and that the state is restored from its snapshot
// unchanged.
func FuzzCommand(f *testing.F) {
	b, err := os.ReadFile("../examples/lunchclub/inventory.json")
	if err != nil {
		f.Fatal(err)
	}
	inventory := &wiregen.Inventory{}
	if err := wire.DecodeJSON(b, inventory); err != nil {
		f.Fatal(err)
	}
	base := marshal(&wiregen.ChangeCommand{ChangeId: "1", Inventory: marshal(inventory)})
	delta := &wiregen.InventoryDelta{Revision: 2, PrefixBytes: 5, SuffixBytes: 5, Middle: []byte("x")}
	f.Add(base)
	f.Add(marshal(&wiregen.ChangeCommand{ChangeId: "2", ExpectedRevision: 1, Delta: delta}))
	f.Add(marshal(&wiregen.ChangeCommand{ChangeId: "2", ExpectedRevision: 1, Delta: &wiregen.InventoryDelta{PrefixBytes: -1, SuffixBytes: 1 << 40}}))
	f.Add(marshal(&wiregen.ChangeCommand{ChangeId: "2", ExpectedRevision: 1, Inventory: []byte("no inventory")}))
	f.Fuzz(func(t *testing.T, command []byte) {
		m := newStateMachine()
		if _, err := m.apply(1, base); err != nil {
			t.Fatal(err)
		}
		_, _ = m.apply(1, command)
		again, _ := restoreStateMachine(1, m.snapshot())
		if string(again.snapshot()) != string(m.snapshot()) {
			t.Error("the state did not survive its snapshot")
		}
	})
}
