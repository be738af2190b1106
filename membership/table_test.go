package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testLease = 3 * time.Second

// posted is an announcement on its way, which may be lost, doubled or late.
type posted struct {
	endpoint Endpoint
	// renews is the sequence of the whole announcement that a renewal renews, or 0.
	renews int64
}

// tables is a region of entries that hear of one endpoint through messages and through one another.
type tables struct {
	now    time.Time
	tables []*Table
	sent   []posted
	// latest is the newest announcement that each table has taken.
	latest []Endpoint
	// announced is when the endpoint last announced itself, and present what it said.
	announced time.Time
	present   Endpoint
	// whole is the sequence of the last whole announcement of the endpoint, and said what it said under each incarnation and sequence.
	whole int64
	said  map[[2]int64]int
}

func newTables(n int) *tables {
	m := &tables{now: time.Unix(1000, 0), present: Endpoint{Name: "e", Incarnation: 1}, latest: make([]Endpoint, n), said: map[[2]int64]int{}}
	for range n {
		m.tables = append(m.tables, NewTable())
	}
	return m
}

// announce lets the endpoint say something newer; its messages are on their way until the lease that they ask for has passed.
func (m *tables) announce(leaving bool) {
	m.present.Sequence++
	m.present.Leaving = leaving
	m.present.Slots = int(m.present.Sequence)
	m.whole = m.present.Sequence
	m.said[[2]int64{m.present.Incarnation, m.present.Sequence}] = m.present.Slots
	m.announced = m.now
	m.sent = append(m.sent, posted{endpoint: m.present})
}

// renew lets the endpoint renew its last whole announcement.
func (m *tables) renew() {
	if m.whole == 0 || m.present.Leaving {
		return
	}
	m.present.Sequence++
	m.said[[2]int64{m.present.Incarnation, m.present.Sequence}] = m.present.Slots
	m.announced = m.now
	m.sent = append(m.sent, posted{endpoint: m.present, renews: m.whole})
}

// deliver delivers a whole announcement or a renewal to a table.
func (m *tables) deliver(t *rapid.T, i int, p posted) {
	if p.renews == 0 {
		m.take(t, i, p.endpoint, testLease)
		return
	}
	e := p.endpoint
	m.tables[i].Renew(m.now, Renewal{Name: e.Name, Incarnation: e.Incarnation, Sequence: e.Sequence, Whole: p.renews}, testLease)
	for _, held := range m.tables[i].Endpoints(m.now) {
		if m.latest[i].newer(held) {
			t.Fatalf("table %d went from %d/%d to %d/%d by a renewal", i, m.latest[i].Incarnation, m.latest[i].Sequence, held.Incarnation, held.Sequence)
		}
		m.latest[i] = held
		if said := m.said[[2]int64{held.Incarnation, held.Sequence}]; held.Slots != said {
			t.Fatalf("table %d holds %d slots under %d/%d, which said %d", i, held.Slots, held.Incarnation, held.Sequence, said)
		}
	}
}

// take delivers a message to a table; late messages bear the lease that a receiver gives them.
func (m *tables) take(t *rapid.T, i int, e Endpoint, lease time.Duration) {
	took := m.tables[i].Announce(m.now, e, lease)
	if took && !e.newer(m.latest[i]) && m.latest[i].Name != "" {
		t.Fatalf("table %d went from %d/%d to %d/%d", i, m.latest[i].Incarnation, m.latest[i].Sequence, e.Incarnation, e.Sequence)
	}
	if took {
		m.latest[i] = e
	}
}

// exchange gives what one table holds to another, with what is left of the leases.
func (m *tables) exchange(t *rapid.T, from, to int) {
	for _, e := range m.tables[from].Endpoints(m.now) {
		m.take(t, to, e, m.tables[from].Lease(m.now, e.Name))
	}
}

func TestTableUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		m := newTables(n)
		table := rapid.IntRange(0, n-1)
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(*rapid.T) { m.announce(false) },
			"leave":    func(*rapid.T) { m.announce(true) },
			"renew":    func(*rapid.T) { m.renew() },
			"restart": func(*rapid.T) {
				m.present = Endpoint{Name: "e", Incarnation: m.present.Incarnation + 1}
				m.announce(false)
			},
			"deliver": func(t *rapid.T) {
				if len(m.sent) > 0 {
					m.deliver(t, table.Draw(t, "to"), rapid.SampledFrom(m.sent).Draw(t, "message"))
				}
			},
			"exchange": func(t *rapid.T) { m.exchange(t, table.Draw(t, "from"), table.Draw(t, "to")) },
			"expire":   func(t *rapid.T) { m.tables[table.Draw(t, "table")].Expire(m.now) },
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "millis")) * time.Millisecond)
			},
		})
		// The last message reaches one table; exchanges make the others agree, and silence empties all.
		m.announce(false)
		m.take(t, 0, m.present, testLease)
		for i := range n {
			m.exchange(t, 0, i)
			endpoints := m.tables[i].Endpoints(m.now)
			if len(endpoints) != 1 || endpoints[0].Sequence != m.present.Sequence || endpoints[0].Incarnation != m.present.Incarnation {
				t.Fatalf("table %d has %v, want %d/%d", i, endpoints, m.present.Incarnation, m.present.Sequence)
			}
		}
		m.now = m.now.Add(testLease / 2)
		m.exchange(t, 1, 0)
		m.exchange(t, 0, 2)
		m.now = m.now.Add(testLease / 2)
		for i := range n {
			if endpoints := m.tables[i].Endpoints(m.now); len(endpoints) != 0 {
				t.Fatalf("table %d has %v after the lease", i, endpoints)
			}
		}
	})
}

// BenchmarkTable measures an announcement, the listing and the memory by the number of endpoints.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		table := NewTable()
		now := time.Unix(1000, 0)
		e := func(i int) Endpoint {
			return Endpoint{Name: fmt.Sprint("engine-", i%n), Incarnation: 1, Sequence: int64(i), Region: "r", Service: "s", Models: []string{"m"}}
		}
		b.Run(fmt.Sprint("announce/endpoints=", n), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				table.Announce(now, e(i), testLease)
			}
		})
		b.Run(fmt.Sprint("list/endpoints=", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Endpoints(now)
			}
		})
	}
}
