package membership

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// originRetention is how long an expired origin is kept, so that a late message does not revive it.
const originRetention = 10 * time.Minute

// maxDroppedItems is the maximum number of dropped items that an origin keeps for partners that lag behind.
const maxDroppedItems = 512

// Mark is the version of an origin's state: a restart raises Incarnation, a change Version, and each heartbeat Beat.
type Mark struct {
	Origin      string
	Incarnation int64
	Version     uint64
	Beat        uint64
}

// Item is one published value of an origin, with the version at which it last changed.
type Item[T any] struct {
	Key     string
	Version uint64
	Dropped bool
	Value   T
}

// Delta holds the changes of an origin after the version Since; a full delta replaces the known state of the origin.
type Delta[T any] struct {
	Mark  Mark
	Since uint64
	Full  bool
	Items []Item[T]
}

// origin is the known state of one origin.
type origin[T any] struct {
	mark  Mark
	items map[string]Item[T]
	// prunedVersion is the version up to which dropped items may be deleted; older marks get a full delta.
	prunedVersion uint64
	// lastSeen is when the origin was first known in this incarnation or its heartbeat counter last rose.
	lastSeen time.Time
}

// Gossip replicates the items of each origin to all instances by delta gossip over any partners; it is not safe for
// concurrent use.
//
// One heartbeat counter covers all items of an origin. The items are considered
// live while the counter rises; an old count repeated by others does not keep the
// origin alive.
type Gossip[T any] struct {
	self    *origin[T]
	origins map[string]*origin[T]
}

// NewGossip returns the gossip state of the origin self, whose incarnation must be higher than at its earlier starts.
func NewGossip[T any](now time.Time, self string, incarnation int64) *Gossip[T] {
	own := &origin[T]{mark: Mark{Origin: self, Incarnation: incarnation}, items: map[string]Item[T]{}, lastSeen: now}
	return &Gossip[T]{self: own, origins: map[string]*origin[T]{self: own}}
}

// Put publishes a value under a key.
func (g *Gossip[T]) Put(key string, value T) {
	g.self.mark.Version++
	g.self.items[key] = Item[T]{Key: key, Version: g.self.mark.Version, Value: value}
}

// Drop withdraws the value published under a key.
func (g *Gossip[T]) Drop(key string) {
	if item, ok := g.self.items[key]; !ok || item.Dropped {
		return
	}
	g.self.mark.Version++
	g.self.items[key] = Item[T]{Key: key, Version: g.self.mark.Version, Dropped: true}
	g.self.prune()
}

// Get returns the value that the own origin publishes under a key.
func (g *Gossip[T]) Get(key string) (value T, ok bool) {
	item, ok := g.self.items[key]
	return item.Value, ok && !item.Dropped
}

// Keys returns the keys that the own origin publishes, in order.
func (g *Gossip[T]) Keys() []string {
	var keys []string
	for key, item := range g.self.items {
		if !item.Dropped {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Beat raises the heartbeat counter of the own origin.
func (g *Gossip[T]) Beat(now time.Time) {
	g.self.mark.Beat++
	g.self.lastSeen = now
}

// prune deletes the older half of the dropped items if there are more than maxDroppedItems.
func (o *origin[T]) prune() {
	var dropped []Item[T]
	for _, item := range o.items {
		if item.Dropped {
			dropped = append(dropped, item)
		}
	}
	if len(dropped) <= maxDroppedItems {
		return
	}
	slices.SortFunc(dropped, byVersion)
	for _, item := range dropped[:len(dropped)/2] {
		delete(o.items, item.Key)
		o.prunedVersion = item.Version
	}
}

func byVersion[T any](a, b Item[T]) int {
	switch {
	case a.Version < b.Version:
		return -1
	case a.Version > b.Version:
		return 1
	default:
		return 0
	}
}

// Marks returns the known mark of each origin that is live within ttl, ordered by name.
func (g *Gossip[T]) Marks(now time.Time, ttl time.Duration) []Mark {
	marks := make([]Mark, 0, len(g.origins))
	for _, name := range slices.Sorted(maps.Keys(g.origins)) {
		if o := g.origins[name]; o.live(now, ttl) {
			marks = append(marks, o.mark)
		}
	}
	return marks
}

// live reports whether the origin was last seen within ttl.
//
// An expired origin is kept but not sent, so that old state repeated by others does not revive it.
func (o *origin[T]) live(now time.Time, ttl time.Duration) bool { return now.Sub(o.lastSeen) <= ttl }

// DeltasSince returns the deltas that a partner with the given marks lacks, for the origins that are live within ttl.
func (g *Gossip[T]) DeltasSince(now time.Time, ttl time.Duration, marks []Mark) []Delta[T] {
	known := map[string]Mark{}
	for _, m := range marks {
		known[m.Origin] = m
	}
	var deltas []Delta[T]
	for _, name := range slices.Sorted(maps.Keys(g.origins)) {
		o := g.origins[name]
		if !o.live(now, ttl) {
			continue
		}
		if d, ok := o.deltaSince(known[name]); ok {
			deltas = append(deltas, d)
		}
	}
	return deltas
}

// deltaSince returns the changes after a mark; ok is false if the mark is as new or newer.
func (o *origin[T]) deltaSince(m Mark) (d Delta[T], ok bool) {
	same := m.Incarnation == o.mark.Incarnation
	if o.mark.Incarnation < m.Incarnation || (same && o.mark.Version <= m.Version && o.mark.Beat <= m.Beat) {
		return d, false
	}
	d = Delta[T]{Mark: o.mark, Since: m.Version, Full: !same || m.Version < o.prunedVersion}
	if d.Full {
		d.Since = 0
	}
	for _, item := range o.items {
		if item.Version > d.Since && (!d.Full || !item.Dropped) {
			d.Items = append(d.Items, item)
		}
	}
	slices.SortFunc(d.Items, byVersion)
	return d, true
}

// Apply applies deltas from a partner. The items of a delta that is not newer than the known state of its origin, or
// that leaves a gap after it, are ignored.
func (g *Gossip[T]) Apply(now time.Time, deltas []Delta[T]) {
	for _, d := range deltas {
		if d.Mark.Origin == g.self.mark.Origin {
			continue
		}
		o := g.origins[d.Mark.Origin]
		switch {
		case o == nil || d.Mark.Incarnation > o.mark.Incarnation:
			g.replace(now, d)
		case d.Mark.Incarnation == o.mark.Incarnation:
			o.merge(now, d)
		}
	}
}

// replace installs the full state of an origin that is new or has restarted; other deltas are ignored.
func (g *Gossip[T]) replace(now time.Time, d Delta[T]) {
	if !d.Full {
		return
	}
	o := &origin[T]{mark: d.Mark, items: map[string]Item[T]{}, prunedVersion: d.Mark.Version, lastSeen: now}
	for _, item := range d.Items {
		o.items[item.Key] = item
	}
	g.origins[d.Mark.Origin] = o
}

// merge applies a delta of the same incarnation.
func (o *origin[T]) merge(now time.Time, d Delta[T]) {
	if d.Mark.Version > o.mark.Version && (d.Full || d.Since <= o.mark.Version) {
		if d.Full {
			o.items = map[string]Item[T]{}
			o.prunedVersion = d.Mark.Version
		}
		for _, item := range d.Items {
			if item.Version > o.mark.Version || d.Full {
				o.items[item.Key] = item
			}
		}
		o.mark.Version = d.Mark.Version
		o.prune()
	}
	if d.Mark.Beat > o.mark.Beat {
		o.mark.Beat = d.Mark.Beat
		o.lastSeen = now
	}
}

// DeleteExpired deletes the origins that were last seen longer ago than both ttl and originRetention.
func (g *Gossip[T]) DeleteExpired(now time.Time, ttl time.Duration) {
	for name, o := range g.origins {
		age := now.Sub(o.lastSeen)
		if o != g.self && age > max(ttl, originRetention) {
			delete(g.origins, name)
		}
	}
}

// Live returns the origins last seen within ttl, ordered by name, and always the own one.
func (g *Gossip[T]) Live(now time.Time, ttl time.Duration) []string {
	var live []string
	for name, o := range g.origins {
		if o == g.self || now.Sub(o.lastSeen) <= ttl {
			live = append(live, name)
		}
	}
	slices.SortFunc(live, strings.Compare)
	return live
}

// Each calls f for each item of the own origin and of the origins that are live within ttl, in no particular order.
func (g *Gossip[T]) Each(now time.Time, ttl time.Duration, f func(origin, key string, value T)) {
	for name, o := range g.origins {
		if o != g.self && now.Sub(o.lastSeen) > ttl {
			continue
		}
		for key, item := range o.items {
			if !item.Dropped {
				f(name, key, item.Value)
			}
		}
	}
}
