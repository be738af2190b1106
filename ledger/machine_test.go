package ledger

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	testWindow = 3 * time.Second
	testLease  = 6 * time.Second
	// machinesPerCase lets the default number of cases reach rare states.
	machinesPerCase = 10
)

// node is one replica with its disk, which may be absent.
type node struct {
	*Replica
	hasDisk bool
	disk    []Change
	alive   bool
	// todo are the steps of its keeper that wait to be run, one at a time.
	todo []func()
}

// message is a request on its way to a replica, or a reply on its way back.
type message struct {
	to      string
	request Request
	back    func(Reply)
}

// machine is a region's ledger under faults, with an oracle.
type machine struct {
	slots    []string
	group    string
	nodes    map[string]*node
	now      time.Time
	runs     int
	inFlight []message
	attempts []*testAttempt
	// The oracle: tokens of first tries, dispatches and agreed endings by key.
	tokens     map[string]string
	dispatches map[string]int
	chosen     map[string]Value
	// used holds the deepest states that were reached, for the test of the test.
	used map[string]int
}

// testAttempt is an attempt with the time of its claim.
type testAttempt struct {
	*Attempt
	key   string
	began time.Time
}

func newMachine(n int, disks int) *machine {
	m := &machine{
		nodes: map[string]*node{}, now: time.Unix(1000, 0), tokens: map[string]string{},
		dispatches: map[string]int{}, chosen: map[string]Value{}, used: map[string]int{},
	}
	for i := range n {
		m.slots = append(m.slots, fmt.Sprint("r", i))
	}
	m.group = Group(m.slots)
	for i, slot := range m.slots {
		m.nodes[slot] = &node{hasDisk: i < disks}
		m.restart(slot)
	}
	return m
}

func (m *machine) restart(slot string) {
	n := m.nodes[slot]
	m.runs++
	n.Replica = NewReplica(slot, m.group, fmt.Sprint("run", m.runs), Limits{Retention: time.Hour, MaxCalls: 100})
	for _, c := range n.disk {
		n.Restore(m.now, c)
	}
	n.alive = true
}

func (m *machine) crash(slot string) {
	n := m.nodes[slot]
	n.alive = false
	n.todo = nil
	if !n.hasDisk {
		n.disk = nil
	}
}

// handle runs a request at a live replica and syncs its changes; ok is false if there is no answer.
func (m *machine) handle(slot string, r Request) (Reply, bool) {
	n := m.nodes[slot]
	if !n.alive {
		return Reply{}, false
	}
	reply := n.Handle(m.now, r)
	m.sync(slot)
	return reply, true
}

func (m *machine) sync(slot string) {
	n := m.nodes[slot]
	if changes := n.Changes(); n.hasDisk {
		n.disk = append(n.disk, changes...)
	}
}

// send puts a request to every replica on its way.
func (m *machine) send(r Request, back func(Reply)) {
	for _, slot := range m.slots {
		m.inFlight = append(m.inFlight, message{to: slot, request: r, back: back})
	}
}

func (m *machine) sendAttempt(a *testAttempt) {
	phase := a.Phase()
	r, ok := a.Request()
	if !ok {
		return
	}
	m.send(r, func(reply Reply) {
		a.Handle(phase, reply)
		m.follow(a, phase)
	})
}

// follow goes on after a phase was decided.
func (m *machine) follow(a *testAttempt, before Phase) {
	if a.Phase() == before {
		return
	}
	if before == Claiming && !a.Claimed() {
		m.judge(a)
	}
	if before == Completing && a.Chosen() {
		m.agreed(a.key, a.Call().Value)
		m.send(Request{Op: OpLearn, Group: m.group, Call: a.Call()}, func(Reply) {})
	}
	if before == Completing && !a.Chosen() {
		m.settle(a.Call(), Value{})
	}
	m.sendAttempt(a)
}

// judge looks at what a resend is told.
func (m *machine) judge(a *testAttempt) {
	verdict, call := Judge(m.now, len(m.slots), a.Call().Attempt, a.Call().Digest, a.Seen())
	m.used[fmt.Sprint("verdict ", verdict)]++
	switch {
	case verdict == Answered && call.Chosen:
		m.agreed(a.key, call.Value)
	case verdict == Answered:
		m.settle(call, Value{})
	case verdict == NoRoom:
		m.fail(a.key, "told not run")
	}
}

// ask returns what an operator is told of a key by the replicas that are reached.
func (m *machine) ask(k Key, reached []string) (Verdict, Record) {
	var replies []Reply
	for _, slot := range reached {
		if reply, ok := m.handle(slot, Request{Op: OpRead, Group: m.group, Call: Record{Key: k}}); ok {
			replies = append(replies, reply)
		}
	}
	return Judge(m.now, len(m.slots), "", "", replies)
}

func (m *machine) settle(call Record, proposed Value) {
	m.runs++
	ballot := Ballot{Number: int64(m.runs), Proposer: fmt.Sprint("settler", m.runs)}
	s := NewSettlement(len(m.slots), m.group, m.epoch(), call, ballot)
	m.sendSettlement(s, call, proposed)
}

func (m *machine) sendSettlement(s *Settlement, call Record, proposed Value) {
	accepting := s.Accepting()
	r, ok := s.Request()
	if !ok {
		return
	}
	m.send(r, func(reply Reply) {
		ended := s.Ended()
		s.Handle(accepting, reply, proposed)
		if v, ok := s.Chosen(); ok && !ended {
			m.used["settled"]++
			m.agreed(call.Key.Key, v)
			call.Value = v
			m.send(Request{Op: OpLearn, Group: m.group, Call: call}, func(Reply) {})
		}
		if s.Accepting() != accepting {
			m.sendSettlement(s, call, proposed)
		}
	})
}

// agreed checks that the ending of a key is the one that was agreed on before.
func (m *machine) agreed(key string, v Value) {
	if before, ok := m.chosen[key]; ok {
		if diff := cmp.Diff(before, v); diff != "" {
			m.fail(key, "another ending was agreed: "+diff)
		}
	}
	m.chosen[key] = v
}

func (m *machine) fail(key, what string) {
	panic(fmt.Sprintf("key %s with %d dispatches: %s", key, m.dispatches[key], what))
}

// epoch returns the epoch that callers are told.
func (m *machine) epoch() string {
	counts := map[string]int{}
	for _, n := range m.nodes {
		if n.alive && n.active {
			counts[n.memory.Epoch]++
		}
	}
	best := ""
	for _, epoch := range slices.Sorted(maps.Keys(counts)) {
		if best == "" || counts[epoch] > counts[best] {
			best = epoch
		}
	}
	return best
}
