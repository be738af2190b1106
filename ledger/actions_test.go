package ledger

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// startAttempt starts an attempt to claim the key, under the epoch that the key was first tried with.
func (m *machine) startAttempt(key string) {
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

// dispatch sends the call of an attempt in the phase Sending, with the given outcome. It fails on a second dispatch of
// a key, on a dispatch of a key that was settled as not run, and on a report of not run after a dispatch.
func (m *machine) dispatch(a *testAttempt, outcome string) {
	before := a.Phase()
	if before != Sending {
		return
	}
	late := m.now.Sub(a.began) > testSendWindow
	if outcome == "notSent" || late {
		a.NotSent()
		if m.dispatches[a.key] > 0 {
			m.fail(a.key, "reported as not run after a dispatch")
		}
		m.sendAttempt(a)
		return
	}
	m.dispatches[a.key]++
	m.coverage["dispatched"]++
	if m.chosen[a.key].Ending == SettledNotRun {
		m.fail(a.key, "dispatched after an operator settled it as not run")
	}
	if m.dispatches[a.key] > 1 {
		m.fail(a.key, "dispatched twice")
	}
	switch outcome {
	case "answered":
		a.Answered(Value{Ending: Completed, Outcome: Outcome{Status: 200, Body: []byte(a.Call().Attempt), Kept: true}})
	case "doubt":
		a.InDoubt()
	default:
		a.enterPhase(Ended) // The owner was killed.
	}
	m.sendAttempt(a)
}

func (m *machine) actions() map[string]func(*rapid.T) {
	slot := rapid.SampledFrom(m.slots)
	key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"})
	pick := func(t *rapid.T, remove bool) message {
		if len(m.inFlight) == 0 {
			return message{onReply: func(Reply) {}}
		}
		i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")
		x := m.inFlight[i]
		if remove {
			m.inFlight = slices.Delete(m.inFlight, i, i+1)
		}
		return x
	}
	deliver := func(t *rapid.T, remove bool) {
		x := pick(t, remove)
		if x.to == "" {
			x.onReply(Reply{})
			return
		}
		if reply, ok := m.handle(x.to, x.request); ok {
			back := x.onReply
			m.inFlight = append(m.inFlight, message{onReply: func(Reply) { back(reply) }})
		}
	}
	deliverOne := func(t *rapid.T) {
		if len(m.inFlight) > 0 {
			deliver(t, true)
		}
	}
	return map[string]func(*rapid.T){
		"deliver": deliverOne,
		"deliverMany": func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "count") {
				deliverOne(t)
			}
		},
		"duplicate": func(t *rapid.T) { deliver(t, false) },
		"lose":      func(t *rapid.T) { pick(t, true) },
		"start":     func(t *rapid.T) { m.startAttempt(key.Draw(t, "key")) },
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
			if x := pick(t, true); x.to != "" && m.nodes[x.to].alive {
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
			if m.nodes[s].alive && len(m.nodes[s].pendingSteps) == 0 {
				m.planStep(s, rapid.SliceOfDistinct(slot, rapid.ID[string]).Draw(t, "reached"))
			}
		},
		"keepStep":   func(t *rapid.T) { m.runStep(slot.Draw(t, "slot")) },
		"recoverAll": func(*rapid.T) { m.recoverAll() },
		"settle": func(t *rapid.T) {
			k := Key{Key: key.Draw(t, "key")}
			ending := rapid.SampledFrom([]Ending{SettledRan, SettledNotRun}).Draw(t, "ending")
			verdict, call := m.readVerdict(k, rapid.SliceOfNDistinct(slot, 1, -1, rapid.ID[string]).Draw(t, "reached"))
			if verdict == InDoubt {
				m.settle(call, Value{Ending: ending, By: "operator"})
			}
		},
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "millis")) * time.Millisecond)
		},
	}
}

// actionWeights holds the relative frequency of each action.
var actionWeights = map[string]int{
	"deliver": 6, "deliverMany": 8, "duplicate": 2, "lose": 2, "start": 5, "dispatch": 6, "crash": 1, "crashUnsynced": 1,
	"loseDisk": 1, "restart": 3, "keep": 3, "keepStep": 6, "recoverAll": 2, "settle": 2, "wait": 2,
}

// runActions runs the given number of weighted random actions.
func (m *machine) runActions(t *rapid.T, steps int) {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(actionWeights)) {
		for range actionWeights[name] {
			names = append(names, name)
		}
	}
	// The order is shuffled because rapid draws the first items more often than the last.
	names = rapid.Permutation(names).Draw(t, "mix")
	actions := m.actions()
	for i := range steps {
		name := names[(i*7+rapid.IntRange(0, len(names)-1).Draw(t, "action"))%len(names)]
		actions[name](t)
	}
}
