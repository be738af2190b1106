package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testLease = 3 * time.Second

// message is an announcement in transit, which may be lost, duplicated or delayed.
type message struct {
	endpoint Endpoint
	// renews is the sequence of the full announcement that a renewal renews, or 0.
	renews int64
}

// tableCluster is a region of entries that receive the announcements of one endpoint directly and from one another.
type tableCluster struct {
	now    time.Time
	tables []*Table
	sent   []message
	// latest is the newest announcement that each table has accepted.
	latest []Endpoint
	// announcedAt is when the endpoint last announced itself, and current what it announced.
	announcedAt time.Time
	current     Endpoint
	// fullSequence is the sequence of the last full announcement of the endpoint, and announcedSlots the slots that it
	// announced with each incarnation and sequence.
	fullSequence   int64
	announcedSlots map[[2]int64]int
}

func newTableCluster(n int) *tableCluster {
	m := &tableCluster{now: time.Unix(1000, 0), current: Endpoint{Name: "e", Incarnation: 1}, latest: make([]Endpoint, n), announcedSlots: map[[2]int64]int{}}
	for range n {
		m.tables = append(m.tables, NewTable())
	}
	return m
}

// announce sends a newer full announcement of the endpoint; it may be delivered at any later time, also repeatedly.
func (m *tableCluster) announce(leaving bool) {
	m.current.Sequence++
	m.current.Leaving = leaving
	m.current.Slots = int(m.current.Sequence)
	m.fullSequence = m.current.Sequence
	m.announcedSlots[[2]int64{m.current.Incarnation, m.current.Sequence}] = m.current.Slots
	m.announcedAt = m.now
	m.sent = append(m.sent, message{endpoint: m.current})
}

// renew sends a renewal of the endpoint's last full announcement.
func (m *tableCluster) renew() {
	if m.fullSequence == 0 || m.current.Leaving {
		return
	}
	m.current.Sequence++
	m.announcedSlots[[2]int64{m.current.Incarnation, m.current.Sequence}] = m.current.Slots
	m.announcedAt = m.now
	m.sent = append(m.sent, message{endpoint: m.current, renews: m.fullSequence})
}

// deliver delivers a full announcement or a renewal to a table.
func (m *tableCluster) deliver(t *rapid.T, i int, p message) {
	if p.renews == 0 {
		m.receive(t, i, p.endpoint, testLease)
		return
	}
	e := p.endpoint
	m.tables[i].Renew(m.now, Renewal{Name: e.Name, Incarnation: e.Incarnation, Sequence: e.Sequence, FullSequence: p.renews}, testLease)
	for _, held := range m.tables[i].Endpoints(m.now) {
		if m.latest[i].newer(held) {
			t.Fatalf("table %d went from %d/%d to %d/%d by a renewal", i, m.latest[i].Incarnation, m.latest[i].Sequence, held.Incarnation, held.Sequence)
		}
		m.latest[i] = held
		if said := m.announcedSlots[[2]int64{held.Incarnation, held.Sequence}]; held.Slots != said {
			t.Fatalf("table %d holds %d slots under %d/%d, which announced %d", i, held.Slots, held.Incarnation, held.Sequence, said)
		}
	}
}

// receive delivers an announcement to a table; the lease of a delayed one starts when it is received.
func (m *tableCluster) receive(t *rapid.T, i int, e Endpoint, lease time.Duration) {
	accepted := m.tables[i].Announce(m.now, e, lease)
	if accepted && !e.newer(m.latest[i]) && m.latest[i].Name != "" {
		t.Fatalf("table %d went from %d/%d to %d/%d", i, m.latest[i].Incarnation, m.latest[i].Sequence, e.Incarnation, e.Sequence)
	}
	if accepted {
		m.latest[i] = e
	}
}

// exchange sends the endpoints of one table to another with the remaining time of their leases.
func (m *tableCluster) exchange(t *rapid.T, from, to int) {
	for _, e := range m.tables[from].Endpoints(m.now) {
		m.receive(t, to, e, m.tables[from].Lease(m.now, e.Name))
	}
}

// TestTableUnderFaults checks that no table goes back to an older announcement under loss, duplication, delay and
// restarts, that the tables agree after an exchange, and that exchanges do not prolong a lease.
func TestTableUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		m := newTableCluster(n)
		table := rapid.IntRange(0, n-1)
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(*rapid.T) { m.announce(false) },
			"leave":    func(*rapid.T) { m.announce(true) },
			"renew":    func(*rapid.T) { m.renew() },
			"restart": func(*rapid.T) {
				m.current = Endpoint{Name: "e", Incarnation: m.current.Incarnation + 1}
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
		// The last message reaches one table; exchanges make the others agree, and without renewals all leases expire.
		m.announce(false)
		m.receive(t, 0, m.current, testLease)
		for i := range n {
			m.exchange(t, 0, i)
			endpoints := m.tables[i].Endpoints(m.now)
			if len(endpoints) != 1 || endpoints[0].Sequence != m.current.Sequence || endpoints[0].Incarnation != m.current.Incarnation {
				t.Fatalf("table %d has %v, want %d/%d", i, endpoints, m.current.Incarnation, m.current.Sequence)
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

// BenchmarkTable measures the time and allocations of an announcement and of the listing by the number of endpoints.
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
