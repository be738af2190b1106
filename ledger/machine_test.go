package ledger

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
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

// keep plans the next step of a replica from the statuses of the replicas that it reaches.
func (m *machine) keep(slot string, reached []string) {
	n := m.nodes[slot]
	statuses := map[string]Reply{}
	for _, other := range append(reached, slot) {
		if reply, ok := m.handle(other, Request{Op: OpStatus, Group: m.group}); ok {
			statuses[other] = reply
		}
	}
	plan := Next(slot, len(m.slots), statuses)
	switch plan.Step {
	case StepAdopt:
		n.todo = []func(){func() { n.Adopt(plan.Epoch); m.sync(slot) }}
	case StepRecover:
		n.todo = m.recovery(slot, plan)
	case StepFound:
		n.todo = m.founding(statuses)
	default:
	}
}

// recovery returns the steps of a recovery; a replica that gives no answer ends it.
func (m *machine) recovery(slot string, plan Plan) []func() {
	n := m.nodes[slot]
	var replies []Reply
	var steps []func()
	for _, other := range plan.From {
		steps = append(steps, func() {
			r := Request{Op: OpRecover, Group: m.group, Epoch: plan.Epoch, Slot: slot, Incarnation: plan.Incarnation}
			reply, ok := m.handle(other, r)
			if !ok || reply.Refusal != Accepted {
				n.todo = nil
				return
			}
			replies = append(replies, reply)
		})
	}
	return append(steps, func() {
		m.used["recovered"]++
		n.Recover(m.now, plan.Epoch, plan.Incarnation, replies)
		m.sync(slot)
	})
}

// founding returns the steps of a founding: a proposal to each replica, and the opening if a majority holds it.
func (m *machine) founding(statuses map[string]Reply) []func() {
	m.runs++
	epoch := fmt.Sprint("epoch", m.runs)
	held := map[string]bool{}
	var steps []func()
	for _, slot := range slices.Sorted(maps.Keys(statuses)) {
		steps = append(steps, func() {
			reply, ok := m.handle(slot, Request{Op: OpFound, Group: m.group, Epoch: epoch, Nonce: statuses[slot].Nonce})
			held[slot] = ok && reply.Refusal == Accepted
		})
	}
	for _, slot := range slices.Sorted(maps.Keys(statuses)) {
		steps = append(steps, func() {
			count := 0
			for _, h := range held {
				if h {
					count++
				}
			}
			if count < Quorum(len(m.slots)) || !held[slot] {
				return
			}
			reply, ok := m.handle(slot, Request{Op: OpOpen, Group: m.group, Epoch: epoch, Nonce: statuses[slot].Nonce})
			if ok && reply.Refusal == Accepted {
				m.used["founded"]++
				m.chosen = map[string]Value{}
			}
		})
	}
	return steps
}

// start begins an attempt with a key, under the token of the key's first try.
func (m *machine) start(key string) {
	if m.tokens[key] == "" {
		m.tokens[key] = m.epoch()
	}
	if m.tokens[key] == "" {
		return
	}
	m.runs++
	call := Record{Key: Key{Key: key}, Digest: "digest", Attempt: fmt.Sprint("attempt", m.runs), Lease: testLease}
	a := &testAttempt{Attempt: NewAttempt(len(m.slots), m.group, m.tokens[key], call), key: key, began: m.now}
	m.attempts = append(m.attempts, a)
	m.sendAttempt(a)
}

// dispatch sends the call of an attempt that waits for it, with one of the ways it may end.
func (m *machine) dispatch(a *testAttempt, how string) {
	before := a.Phase()
	if before != Sending {
		return
	}
	late := m.now.Sub(a.began) > testWindow
	if how == "notSent" || late {
		a.NotSent()
		if m.dispatches[a.key] > 0 {
			m.fail(a.key, "told not run after a dispatch")
		}
		m.sendAttempt(a)
		return
	}
	m.dispatches[a.key]++
	m.used["dispatched"]++
	if m.chosen[a.key].Ending == SettledNotRun {
		m.fail(a.key, "dispatched after an operator settled it as not run")
	}
	if m.dispatches[a.key] > 1 {
		m.fail(a.key, "dispatched twice")
	}
	switch how {
	case "answered":
		a.Answered(Value{Ending: Completed, Outcome: Outcome{Status: 200, Body: []byte(a.Call().Attempt), Kept: true}})
	case "doubt":
		a.InDoubt()
	default:
		a.next(Ended) // The owner was killed.
	}
	m.sendAttempt(a)
}

func (m *machine) actions() map[string]func(*rapid.T) {
	slot := rapid.SampledFrom(m.slots)
	key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"})
	take := func(t *rapid.T, remove bool) message {
		if len(m.inFlight) == 0 {
			return message{back: func(Reply) {}}
		}
		i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")
		x := m.inFlight[i]
		if remove {
			m.inFlight = slices.Delete(m.inFlight, i, i+1)
		}
		return x
	}
	deliver := func(t *rapid.T, remove bool) {
		x := take(t, remove)
		if x.to == "" {
			x.back(Reply{})
			return
		}
		if reply, ok := m.handle(x.to, x.request); ok {
			back := x.back
			m.inFlight = append(m.inFlight, message{back: func(Reply) { back(reply) }})
		}
	}
	one := func(t *rapid.T) {
		if len(m.inFlight) > 0 {
			deliver(t, true)
		}
	}
	return map[string]func(*rapid.T){
		"deliver": one,
		"deliverMany": func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "count") {
				one(t)
			}
		},
		"duplicate": func(t *rapid.T) { deliver(t, false) },
		"lose":      func(t *rapid.T) { take(t, true) },
		"start":     func(t *rapid.T) { m.start(key.Draw(t, "key")) },
		"dispatch": func(t *rapid.T) {
			sending := slices.DeleteFunc(slices.Clone(m.attempts), func(a *testAttempt) bool { return a.Phase() != Sending })
			if len(sending) == 0 {
				return
			}
			how := rapid.SampledFrom([]string{"answered", "answered", "doubt", "killed", "notSent"}).Draw(t, "how")
			m.dispatch(rapid.SampledFrom(sending).Draw(t, "attempt"), how)
		},
		"crash": func(t *rapid.T) { m.crash(slot.Draw(t, "slot")) },
		"crashUnsynced": func(t *rapid.T) {
			if x := take(t, true); x.to != "" && m.nodes[x.to].alive {
				m.nodes[x.to].Handle(m.now, x.request)
				m.crash(x.to)
			}
		},
		"loseDisk": func(t *rapid.T) {
			s := slot.Draw(t, "slot")
			m.crash(s)
			m.nodes[s].disk = nil
			m.restart(s)
		},
		"restart": func(t *rapid.T) {
			if s := slot.Draw(t, "slot"); !m.nodes[s].alive {
				m.restart(s)
			}
		},
		"keep": func(t *rapid.T) {
			s := slot.Draw(t, "slot")
			if m.nodes[s].alive && len(m.nodes[s].todo) == 0 {
				m.keep(s, rapid.SliceOfDistinct(slot, rapid.ID[string]).Draw(t, "reached"))
			}
		},
		"keepStep":   func(t *rapid.T) { m.step(slot.Draw(t, "slot")) },
		"recoverAll": func(*rapid.T) { m.recoverAll() },
		"settle": func(t *rapid.T) {
			k := Key{Key: key.Draw(t, "key")}
			ending := rapid.SampledFrom([]Ending{SettledRan, SettledNotRun}).Draw(t, "ending")
			call, ok := m.nodes[slot.Draw(t, "slot")].calls[k]
			if ok && call.Value.Ending == Open && !call.Withdrawn {
				m.settle(call, Value{Ending: ending, By: "operator"})
			}
		},
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "millis")) * time.Millisecond)
		},
	}
}

// recoverAll lets the keeper of each replica run its steps and plan the next with all replicas reached.
func (m *machine) recoverAll() {
	for _, s := range m.slots {
		for m.nodes[s].alive && len(m.nodes[s].todo) > 0 {
			m.step(s)
		}
		if m.nodes[s].alive {
			m.keep(s, m.slots)
		}
	}
}

// step runs one waiting step of a replica's keeper.
func (m *machine) step(slot string) {
	n := m.nodes[slot]
	if !n.alive || len(n.todo) == 0 {
		return
	}
	first := n.todo[0]
	n.todo = n.todo[1:]
	first()
}

// weights are how often each action is drawn.
var weights = map[string]int{
	"deliver": 6, "deliverMany": 8, "duplicate": 2, "lose": 2, "start": 5, "dispatch": 6, "crash": 1, "crashUnsynced": 1,
	"loseDisk": 1, "restart": 3, "keep": 3, "keepStep": 6, "recoverAll": 2, "settle": 2, "wait": 2,
}

// drive runs weighted actions.
func (m *machine) drive(t *rapid.T, steps int) {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		for range weights[name] {
			names = append(names, name)
		}
	}
	// The order is mixed since rapid draws the first items more often than the last.
	names = rapid.Permutation(names).Draw(t, "mix")
	actions := m.actions()
	for i := range steps {
		name := names[(i*7+rapid.IntRange(0, len(names)-1).Draw(t, "action"))%len(names)]
		actions[name](t)
	}
}

func TestAtMostOnce(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 5} {
		t.Run(fmt.Sprint(n, " replicas"), func(t *testing.T) {
			used := map[string]int{}
			rapid.Check(t, func(t *rapid.T) {
				for range machinesPerCase {
					m := newMachine(n, rapid.IntRange(0, n).Draw(t, "disks"))
					for range 2*n + 2 {
						m.recoverAll()
					}
					m.drive(t, 250)
					m.checkServes()
					for what, count := range m.used {
						used[what] += count
					}
				}
			})
			t.Log(used)
		})
	}
}

// checkServes checks that the group claims a new key once every replica runs and reaches the others.
func (m *machine) checkServes() {
	for _, slot := range m.slots {
		if !m.nodes[slot].alive {
			m.restart(slot)
		}
	}
	for range 2*len(m.slots) + 2 {
		m.recoverAll()
	}
	m.runs++
	call := Record{Key: Key{Key: "last"}, Digest: "digest", Attempt: fmt.Sprint("attempt", m.runs), Lease: testLease}
	a := NewAttempt(len(m.slots), m.group, m.epoch(), call)
	r, _ := a.Request()
	for _, slot := range m.slots {
		reply, _ := m.handle(slot, r)
		a.Handle(Claiming, reply)
	}
	if !a.Claimed() {
		m.fail("last", fmt.Sprintf("the healed group does not claim: %+v", a.Seen()))
	}
}

// TestLateClaimAfterRecovery lets a claim reach a replica after another one, which had acknowledged it, lost its memory and recovered.
func TestLateClaimAfterRecovery(t *testing.T) {
	m := newMachine(3, 0)
	for range 3 {
		m.recoverAll()
	}
	m.start("a")
	claim := m.inFlight[0].request
	first := m.attempts[0]
	acknowledge := func(slot string, a *testAttempt, r Request) {
		reply, _ := m.handle(slot, r)
		a.Handle(Claiming, reply)
	}
	acknowledge("r0", first, claim)
	m.crash("r0")
	m.restart("r0")
	m.recoverAll()
	m.recoverAll()
	if !m.nodes["r0"].active {
		t.Fatal("r0 has not recovered")
	}
	acknowledge("r1", first, claim)
	m.start("a")
	second := m.attempts[1]
	other, _ := second.Request()
	acknowledge("r0", second, other)
	acknowledge("r2", second, other)
	if first.Claimed() && second.Claimed() {
		t.Error("two attempts won the claim of one key")
	}
	if !second.Claimed() {
		t.Error("the second attempt did not win the key")
	}
}
