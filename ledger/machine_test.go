package ledger

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	testSendWindow = 3 * time.Second
	testLease      = 6 * time.Second
	// machinesPerCase is the number of groups in each rapid case; with ten, the default number of cases reaches rare
	// states.
	machinesPerCase = 10
)

// node is one replica with its disk; a replica without one loses its memory in a crash.
type node struct {
	*Replica
	hasDisk bool
	disk    []Change
	alive   bool
	// pendingSteps holds the steps of the replica's reconciler that are still to be run, one at a time.
	pendingSteps []func()
}

// message is a request in transit to a replica, or a reply in transit to the sender if to is empty.
type message struct {
	to      string
	request Request
	onReply func(Reply)
}

// machine simulates the ledger of a region under faults and checks it against an oracle.
type machine struct {
	slots    []string
	group    string
	nodes    map[string]*node
	now      time.Time
	runs     int
	inFlight []message
	attempts []*testAttempt
	// The oracle by key: the epoch of the first try, the number of dispatches and the agreed ending.
	tokens     map[string]string
	dispatches map[string]int
	chosen     map[string]Value
	// coverage counts how often rare states were reached, to show that the test exercises them.
	coverage map[string]int
}

// testAttempt is an attempt with its key and the time of its claim.
type testAttempt struct {
	*Attempt
	key   string
	began time.Time
}

func newMachine(n int, disks int) *machine {
	m := &machine{
		nodes: map[string]*node{}, now: time.Unix(1000, 0), tokens: map[string]string{},
		dispatches: map[string]int{}, chosen: map[string]Value{}, coverage: map[string]int{},
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
	n.pendingSteps = nil
	if !n.hasDisk {
		n.disk = nil
	}
}

// handle sends a request to a replica and stores its changes; it returns false if the replica is down.
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

// broadcast puts a request to every replica in transit.
func (m *machine) broadcast(r Request, onReply func(Reply)) {
	for _, slot := range m.slots {
		m.inFlight = append(m.inFlight, message{to: slot, request: r, onReply: onReply})
	}
}

func (m *machine) sendAttempt(a *testAttempt) {
	phase := a.Phase()
	r, ok := a.Request()
	if !ok {
		return
	}
	m.broadcast(r, func(reply Reply) {
		a.Handle(phase, reply)
		m.continueAttempt(a, phase)
	})
}

// continueAttempt starts the next phase of an attempt after the phase before was decided.
func (m *machine) continueAttempt(a *testAttempt, before Phase) {
	if a.Phase() == before {
		return
	}
	if before == Claiming && !a.Claimed() {
		m.resolveLostClaim(a)
	}
	if before == Completing && a.Chosen() {
		m.checkAgreed(a.key, a.Call().Value)
		m.broadcast(Request{Op: OpLearn, Group: m.group, Call: a.Call()}, func(Reply) {})
	}
	if before == Completing && !a.Chosen() {
		m.settle(a.Call(), Value{})
	}
	m.sendAttempt(a)
}

// resolveLostClaim checks the verdict on an attempt that lost its claim, and settles an ending that is not chosen yet.
func (m *machine) resolveLostClaim(a *testAttempt) {
	verdict, call := DeriveVerdict(m.now, len(m.slots), a.Call().Attempt, a.Call().Digest, a.ClaimReplies())
	m.coverage[fmt.Sprint("verdict ", verdict)]++
	switch {
	case verdict == Answered && call.Chosen:
		m.checkAgreed(a.key, call.Value)
	case verdict == Answered:
		m.settle(call, Value{})
	case verdict == Full:
		m.fail(a.key, "reported as not run")
	}
}

// readVerdict returns the verdict on a key, and its record, from the replicas that an operator reaches.
func (m *machine) readVerdict(k Key, reached []string) (Verdict, Record) {
	var replies []Reply
	for _, slot := range reached {
		if reply, ok := m.handle(slot, Request{Op: OpRead, Group: m.group, Call: Record{Key: k}}); ok {
			replies = append(replies, reply)
		}
	}
	return DeriveVerdict(m.now, len(m.slots), "", "", replies)
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
	m.broadcast(r, func(reply Reply) {
		ended := s.Ended()
		s.Handle(accepting, reply, proposed)
		if v, ok := s.Chosen(); ok && !ended {
			m.coverage["settled"]++
			m.checkAgreed(call.Key.Key, v)
			call.Value = v
			m.broadcast(Request{Op: OpLearn, Group: m.group, Call: call}, func(Reply) {})
		}
		if s.Accepting() != accepting {
			m.sendSettlement(s, call, proposed)
		}
	})
}

// checkAgreed checks that an agreed ending of a key equals the one that was agreed on before, if there is one.
func (m *machine) checkAgreed(key string, v Value) {
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

// epoch returns the epoch that callers get: the one with the most live active replicas.
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
