package ledger

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestAtMostOnce drives groups of one to five replicas through random faults: lost, duplicated and reordered messages,
// crashes before and after a sync, lost disks, killed owners and operators. It checks that each key is dispatched at
// most once and has one ending, and that the group accepts a claim once the faults end.
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
					m.runActions(t, 250)
					m.checkServes()
					for what, count := range m.coverage {
						used[what] += count
					}
				}
			})
			t.Log(used)
		})
	}
}

// checkServes checks that the group accepts the claim of a new key once every replica runs and reaches the others.
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
		m.fail("last", fmt.Sprintf("the healed group does not claim: %+v", a.ClaimReplies()))
	}
}

// TestLateClaimAfterRecovery guards against two attempts that both win the claim of one key. This would come about when
// a replica acknowledges the first claim, loses its memory and recovers, and the same claim reaches another replica
// only afterwards: the acknowledgement from before the loss must not count.
func TestLateClaimAfterRecovery(t *testing.T) {
	m := newMachine(3, 0)
	for range 3 {
		m.recoverAll()
	}
	m.startAttempt("a")
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
	m.startAttempt("a")
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

// TestSplitGroupServes guards against a group that accepts no claim because all replicas are active but no epoch has a
// majority of them.
func TestSplitGroupServes(t *testing.T) {
	for _, epochs := range [][]string{{"x", "y"}, {"x", "x", "y", "y"}, {"x", "x", "y", "y", "z"}} {
		t.Run(fmt.Sprint(len(epochs), " replicas"), func(t *testing.T) {
			m := newMachine(len(epochs), len(epochs))
			for i, epoch := range epochs {
				m.nodes[m.slots[i]].Adopt(epoch)
			}
			defer func() {
				if cause := recover(); cause != nil {
					t.Error(cause)
				}
			}()
			m.checkServes()
		})
	}
}
