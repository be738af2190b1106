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

const gossipTTL = 3 * time.Second

// gossipCluster is a set of entries that exchange encoded messages, which may be lost, duplicated and delayed.
type gossipCluster struct {
	now          time.Time
	names        []string
	replicas     map[string]*membership.Gossip[membership.Fact]
	incarnations map[string]int64
	pending      []func()
	// lastMarks is the latest mark that each entry has reached for each origin.
	lastMarks map[string]membership.Mark
}

// collidingNames returns names of which the first two have the same id in messages with salt 0.
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

func (c *gossipCluster) restart(name string) {
	c.incarnations[name]++
	c.replicas[name] = membership.NewGossip[membership.Fact](c.now, name, c.incarnations[name])
	c.publish(name)
	for _, origin := range c.names {
		delete(c.lastMarks, name+"<"+origin)
	}
}

// publish puts an advert whose sequence identifies the version.
func (c *gossipCluster) publish(name string) {
	published, _ := c.replicas[name].Get("n")
	e := membership.Entry{Name: name, Incarnation: c.incarnations[name], Sequence: 1}
	if published.Entry != nil {
		e.Sequence = published.Entry.Sequence + 1
	}
	c.replicas[name].Put("n", membership.Fact{Entry: &e})
}

func (c *gossipCluster) marks(name string) []membership.Mark {
	return c.replicas[name].Marks(c.now, gossipTTL)
}

// requestDeltas sends the marks of one entry to another, whose reply arrives later.
func (c *gossipCluster) requestDeltas(from, to string, salt uint64) {
	requested := c.marks(from)
	request := EncodeMarks(salt, requested)
	incarnation := c.incarnations[from]
	c.pending = append(c.pending, func() {
		marks, positions := DecodeMarks(request, c.marks(to))
		beats, rest := EncodeBeats(c.replicas[to].DeltasSince(c.now, gossipTTL, marks), request, positions)
		deltas := EncodeDeltas(c.now, rest)
		c.pending = append(c.pending, func() { c.applyReply(from, incarnation, requested, beats, deltas) })
	})
}

func (c *gossipCluster) applyReply(from string, incarnation int64, requested []membership.Mark, beats *wiregen.ShareBeats, deltas []*wiregen.ShareDelta) {
	if c.incarnations[from] != incarnation {
		return // The connection ended with the requesting process.
	}
	c.replicas[from].Apply(c.now, DecodeBeats(beats, requested))
	c.replicas[from].Apply(c.now, DecodeDeltas(c.now, deltas, c.marks(from)))
}

// checkMarks fails if a mark of an entry went back, or is ahead of its origin.
func (c *gossipCluster) checkMarks(t *rapid.T) {
	published := map[string]membership.Mark{}
	for _, name := range c.names {
		for _, m := range c.marks(name) {
			if m.Origin == name {
				published[name] = m
			}
		}
	}
	for _, name := range c.names {
		for _, m := range c.marks(name) {
			before := c.lastMarks[name+"<"+m.Origin]
			if m.Incarnation < before.Incarnation || (m.Incarnation == before.Incarnation && (m.Version < before.Version || m.Beat < before.Beat)) {
				t.Fatalf("%s went from %+v to %+v", name, before, m)
			}
			c.lastMarks[name+"<"+m.Origin] = m
			if own, ok := published[m.Origin]; ok && m.Incarnation == own.Incarnation && (m.Version > own.Version || m.Beat > own.Beat) {
				t.Fatalf("%s knows %+v, but the origin is at %+v", name, m, own)
			}
		}
	}
}

func TestGossipEncodingUnderFaults(t *testing.T) {
	names := collidingNames()
	rapid.Check(t, func(t *rapid.T) {
		c := &gossipCluster{now: time.Unix(1000, 0), names: names, replicas: map[string]*membership.Gossip[membership.Fact]{}, incarnations: map[string]int64{}, lastMarks: map[string]membership.Mark{}}
		for _, name := range names {
			c.restart(name)
		}
		entry := rapid.SampledFrom(names)
		run := func(t *rapid.T, remove bool) {
			if len(c.pending) == 0 {
				return
			}
			i := rapid.IntRange(0, len(c.pending)-1).Draw(t, "message")
			f := c.pending[i]
			if remove {
				c.pending = slices.Delete(c.pending, i, i+1)
			}
			f()
		}
		ask := func(t *rapid.T) {
			// With salt 0 the ids of two origins collide.
			c.requestDeltas(entry.Draw(t, "from"), entry.Draw(t, "to"), rapid.Uint64Range(0, 1).Draw(t, "salt"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":  func(t *rapid.T) { c.publish(entry.Draw(t, "entry")) },
			"beat": func(t *rapid.T) { c.replicas[entry.Draw(t, "entry")].Beat(c.now) },
			"ask":  ask,
			"exchange": func(t *rapid.T) {
				n := len(c.pending)
				ask(t)
				c.pending[n]()
				c.pending[n+1]()
				c.pending = c.pending[:n]
			},
			"deliver":   func(t *rapid.T) { run(t, true) },
			"duplicate": func(t *rapid.T) { run(t, false) },
			"lose": func(*rapid.T) {
				c.pending = c.pending[min(1, len(c.pending)):]
			},
			"restart": func(t *rapid.T) {
				// The ids of restarted origins do not collide, so restarts are kept rare.
				if rapid.IntRange(0, 5).Draw(t, "rare") == 5 {
					c.restart(entry.Draw(t, "entry"))
				}
			},
			"freeze": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "millis")) * time.Millisecond)
			},
			"": c.checkMarks,
		})
		c.converge(t)
	})
}

// converge lets all entries exchange messages without loss, with changing salts, and checks that they agree.
func (c *gossipCluster) converge(t *rapid.T) {
	c.pending = nil
	for _, name := range c.names {
		c.replicas[name].Beat(c.now)
	}
	for salt := range uint64(len(c.names)) {
		for _, from := range c.names {
			for _, to := range c.names {
				c.requestDeltas(from, to, salt)
			}
		}
		for len(c.pending) > 0 {
			f := c.pending[0]
			c.pending = c.pending[1:]
			f()
		}
	}
	want := c.marks(c.names[0])
	for _, name := range c.names {
		if got := c.marks(name); len(got) != len(c.names) || !slices.Equal(got, want) {
			t.Fatalf("%s knows %+v, want %+v", name, got, want)
		}
	}
	c.checkMarks(t)
}
