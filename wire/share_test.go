package wire

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"arbutusreel/membership"
	"arbutusreel/wiregen"
)

const shareTTL = 3 * time.Second

// coded is a set of entries that exchange coded messages, which may be lost, doubled and late.
type coded struct {
	now    time.Time
	names  []string
	shares map[string]*membership.Share[membership.Fact]
	starts map[string]int64
	sent   []func()
	// before is the mark to which each entry has come for each origin.
	before map[string]membership.Mark
}

// collidingNames returns names of which the first two have the same id in messages with the salt 0.
func collidingNames() []string {
	byID := map[uint32]string{}
	for i := 0; ; i++ {
		name := fmt.Sprint("entry-", i)
		id := markID(0, originID(name, 1))
		if other, ok := byID[id]; ok {
			return []string{other, name, "entry-a"}
		}
		byID[id] = name
	}
}

func (c *coded) restart(name string) {
	c.starts[name]++
	c.shares[name] = membership.NewShare[membership.Fact](c.now, name, c.starts[name])
	c.put(name)
	for _, origin := range c.names {
		delete(c.before, name+"<"+origin)
	}
}

// put tells an advert that names the version by its sequence.
func (c *coded) put(name string) {
	told, _ := c.shares[name].Told("n")
	e := membership.Entry{Name: name, Incarnation: c.starts[name], Sequence: 1}
	if told.Entry != nil {
		e.Sequence = told.Entry.Sequence + 1
	}
	c.shares[name].Put("n", membership.Fact{Entry: &e})
}

func (c *coded) marks(name string) []membership.Mark { return c.shares[name].Marks(c.now, shareTTL) }

// ask sends the marks of one entry to another, whose answer comes later.
func (c *coded) ask(from, to string, salt uint64) {
	asked := c.marks(from)
	request := EncodeMarks(salt, asked)
	start := c.starts[from]
	c.sent = append(c.sent, func() {
		marks, positions := DecodeMarks(request, c.marks(to))
		beats, rest := EncodeBeats(c.shares[to].Missing(c.now, shareTTL, marks), request, positions)
		deltas := EncodeDeltas(c.now, rest)
		c.sent = append(c.sent, func() { c.answer(from, start, asked, beats, deltas) })
	})
}

func (c *coded) answer(from string, start int64, asked []membership.Mark, beats *wiregen.ShareBeats, deltas []*wiregen.ShareDelta) {
	if c.starts[from] != start {
		return // The connection ended with the process that asked.
	}
	c.shares[from].Learn(c.now, DecodeBeats(beats, asked))
	c.shares[from].Learn(c.now, DecodeDeltas(c.now, deltas, c.marks(from)))
}

// check fails if an entry went back, or knows more of an origin than the origin told.
func (c *coded) check(t *rapid.T) {
	told := map[string]membership.Mark{}
	for _, name := range c.names {
		for _, m := range c.marks(name) {
			if m.Origin == name {
				told[name] = m
			}
		}
	}
	for _, name := range c.names {
		for _, m := range c.marks(name) {
			before := c.before[name+"<"+m.Origin]
			if m.Incarnation < before.Incarnation || (m.Incarnation == before.Incarnation && (m.Version < before.Version || m.Beat < before.Beat)) {
				t.Fatalf("%s went from %+v to %+v", name, before, m)
			}
			c.before[name+"<"+m.Origin] = m
			if own, ok := told[m.Origin]; ok && m.Incarnation == own.Incarnation && (m.Version > own.Version || m.Beat > own.Beat) {
				t.Fatalf("%s knows %+v, but the origin has come to %+v", name, m, own)
			}
		}
	}
}

func TestCodedShareUnderFaults(t *testing.T) {
	names := collidingNames()
	rapid.Check(t, func(t *rapid.T) {
		c := &coded{now: time.Unix(1000, 0), names: names, shares: map[string]*membership.Share[membership.Fact]{}, starts: map[string]int64{}, before: map[string]membership.Mark{}}
		for _, name := range names {
			c.restart(name)
		}
		entry := rapid.SampledFrom(names)
		run := func(t *rapid.T, remove bool) {
			if len(c.sent) == 0 {
				return
			}
			i := rapid.IntRange(0, len(c.sent)-1).Draw(t, "message")
			f := c.sent[i]
			if remove {
				c.sent = slices.Delete(c.sent, i, i+1)
			}
			f()
		}
		ask := func(t *rapid.T) {
			// A salt of 0 makes two origins collide.
			c.ask(entry.Draw(t, "from"), entry.Draw(t, "to"), rapid.Uint64Range(0, 1).Draw(t, "salt"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":  func(t *rapid.T) { c.put(entry.Draw(t, "entry")) },
			"beat": func(t *rapid.T) { c.shares[entry.Draw(t, "entry")].Beat(c.now) },
			"ask":  ask,
			"exchange": func(t *rapid.T) {
				n := len(c.sent)
				ask(t)
				c.sent[n]()
				c.sent[n+1]()
				c.sent = c.sent[:n]
			},
			"deliver":   func(t *rapid.T) { run(t, true) },
			"duplicate": func(t *rapid.T) { run(t, false) },
			"lose": func(*rapid.T) {
				c.sent = c.sent[min(1, len(c.sent)):]
			},
			"restart": func(t *rapid.T) {
				// Restarted origins have ids that do not collide, so that restarts are rare.
				if rapid.IntRange(0, 5).Draw(t, "rare") == 5 {
					c.restart(entry.Draw(t, "entry"))
				}
			},
			"freeze": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "millis")) * time.Millisecond)
			},
			"": c.check,
		})
		c.converge(t)
	})
}

// converge lets all entries exchange without loss, with salts that change, and checks that they agree.
func (c *coded) converge(t *rapid.T) {
	c.sent = nil
	for _, name := range c.names {
		c.shares[name].Beat(c.now)
	}
	for salt := range uint64(len(c.names)) {
		for _, from := range c.names {
			for _, to := range c.names {
				c.ask(from, to, salt)
			}
		}
		for len(c.sent) > 0 {
			f := c.sent[0]
			c.sent = c.sent[1:]
			f()
		}
	}
	want := c.marks(c.names[0])
	for _, name := range c.names {
		if got := c.marks(name); len(got) != len(c.names) || !slices.Equal(got, want) {
			t.Fatalf("%s knows %+v, want %+v", name, got, want)
		}
	}
	c.check(t)
}
