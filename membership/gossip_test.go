package membership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const gossipTTL = 3 * time.Second

// gossipCluster is a set of entries that exchange values by messages that may be lost, duplicated and delayed.
type gossipCluster struct {
	now       time.Time
	names     []string
	replicas  map[string]*Gossip[int]
	published map[string]map[string]int
	starts    int64
	sent      []func()
	// highestMark is the newest mark of each origin at each entry, under ENTRY<ORIGIN.
	highestMark map[string]Mark
}

func newGossipCluster(n int) *gossipCluster {
	m := &gossipCluster{
		now: time.Unix(1000, 0), replicas: map[string]*Gossip[int]{}, published: map[string]map[string]int{},
		highestMark: map[string]Mark{},
	}
	for i := range n {
		m.names = append(m.names, fmt.Sprint("entry-", i))
		m.restart(m.names[i])
	}
	return m
}

func (m *gossipCluster) restart(name string) {
	m.starts++
	m.replicas[name] = NewGossip[int](m.now, name, m.starts)
	m.published[name] = map[string]int{}
	for _, origin := range m.names {
		delete(m.highestMark, name+"<"+origin)
	}
}

// ask queues the marks of one entry for another, whose answer is queued in turn.
func (m *gossipCluster) ask(from, to string) {
	marks := m.replicas[from].Marks(m.now, gossipTTL)
	m.sent = append(m.sent, func() {
		deltas := m.replicas[to].DeltasSince(m.now, gossipTTL, marks)
		m.sent = append(m.sent, func() { m.replicas[from].Apply(m.now, deltas) })
	})
}

// check fails if an entry went back to an older mark of an origin.
func (m *gossipCluster) check(t *rapid.T) {
	for _, name := range m.names {
		for _, mark := range m.replicas[name].Marks(m.now, gossipTTL) {
			before := m.highestMark[name+"<"+mark.Origin]
			older := mark.Incarnation < before.Incarnation ||
				(mark.Incarnation == before.Incarnation && (mark.Version < before.Version || mark.Beat < before.Beat))
			if older {
				t.Fatalf("%s went from %+v to %+v", name, before, mark)
			}
			m.highestMark[name+"<"+mark.Origin] = mark
		}
	}
}

// values returns the live values at an entry by origin and key.
func (m *gossipCluster) values(name string) map[string]map[string]int {
	seen := map[string]map[string]int{}
	m.replicas[name].Each(m.now, gossipTTL, func(origin, key string, value int) {
		if seen[origin] == nil {
			seen[origin] = map[string]int{}
		}
		seen[origin][key] = value
	})
	return seen
}

// TestGossipUnderFaults checks that entries never go back to an older mark under loss, duplication, delay and restarts,
// that they agree afterwards, and that the values of a stopped entry expire.
func TestGossipUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGossipCluster(rapid.IntRange(2, 4).Draw(t, "entries"))
		entry := rapid.SampledFrom(m.names)
		key := rapid.SampledFrom([]string{"a", "b", "c"})
		run := func(t *rapid.T, remove bool) {
			if len(m.sent) == 0 {
				return
			}
			i := rapid.IntRange(0, len(m.sent)-1).Draw(t, "message")
			f := m.sent[i]
			if remove {
				m.sent = slices.Delete(m.sent, i, i+1)
			}
			f()
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				e, k, v := entry.Draw(t, "entry"), key.Draw(t, "key"), rapid.IntRange(0, 9).Draw(t, "value")
				m.replicas[e].Put(k, v)
				m.published[e][k] = v
			},
			"drop": func(t *rapid.T) {
				e, k := entry.Draw(t, "entry"), key.Draw(t, "key")
				m.replicas[e].Drop(k)
				delete(m.published[e], k)
			},
			"beat":      func(t *rapid.T) { m.replicas[entry.Draw(t, "entry")].Beat(m.now) },
			"ask":       func(t *rapid.T) { m.ask(entry.Draw(t, "from"), entry.Draw(t, "to")) },
			"deliver":   func(t *rapid.T) { run(t, true) },
			"duplicate": func(t *rapid.T) { run(t, false) },
			"lose": func(*rapid.T) {
				if len(m.sent) > 0 {
					m.sent = m.sent[1:]
				}
			},
			"restart": func(t *rapid.T) { m.restart(entry.Draw(t, "entry")) },
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "millis")) * time.Millisecond)
			},
			"": m.check,
		})
		m.checkConvergence(t)
		m.checkExpiry(t)
	})
}

// checkConvergence exchanges the deltas of all entries without loss and checks that they agree.
func (m *gossipCluster) checkConvergence(t *rapid.T) {
	m.sent = nil
	for _, name := range m.names {
		m.replicas[name].Beat(m.now)
	}
	for range len(m.names) {
		for _, from := range m.names {
			for _, to := range m.names {
				m.ask(from, to)
			}
		}
		for len(m.sent) > 0 {
			f := m.sent[0]
			m.sent = m.sent[1:]
			f()
		}
	}
	want := map[string]map[string]int{}
	for origin, values := range m.published {
		if len(values) > 0 {
			want[origin] = maps.Clone(values)
		}
	}
	for _, name := range m.names {
		if diff := cmp.Diff(want, m.values(name)); diff != "" {
			t.Fatalf("%s has other values (-published +received):\n%s", name, diff)
		}
	}
}

// checkExpiry stops the first entry and checks that its values expire at the others, although these go on exchanging.
func (m *gossipCluster) checkExpiry(t *rapid.T) {
	stopped := m.names[0]
	for range 8 {
		m.now = m.now.Add(gossipTTL / 4)
		for _, name := range m.names[1:] {
			m.replicas[name].Beat(m.now)
			for _, other := range m.names[1:] {
				m.replicas[name].Apply(m.now, m.replicas[other].DeltasSince(m.now, gossipTTL, m.replicas[name].Marks(m.now, gossipTTL)))
			}
		}
	}
	for _, name := range m.names[1:] {
		if _, ok := m.values(name)[stopped]; ok {
			t.Fatalf("%s still has values of %s", name, stopped)
		}
	}
}

func TestRendezvous(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	load := map[string]int{}
	for i := range 1000 {
		key := fmt.Sprint("engine-", i)
		chosen := Rendezvous(key, names, 2)
		load[chosen[0]]++
		load[chosen[1]]++
		fewer := Rendezvous(key, names[:4], 2)
		if !slices.Contains(chosen, "e") && !slices.Equal(chosen, fewer) {
			t.Errorf("%s moved from %v to %v although neither name was removed", key, chosen, fewer)
		}
	}
	for name, n := range load {
		if n < 300 || n > 500 {
			t.Errorf("%s has %d of 2000", name, n)
		}
	}
}
