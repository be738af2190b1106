package membership

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// originMemory is how long a silent origin is remembered, so that a late message does not revive it.
const originMemory = 10 * time.Minute

// maxDropped is the most dropped items that an origin keeps to tell those who lag behind.
const maxDropped = 512

// Mark says how far an origin has come: a restart raises Incarnation, a change Version, and each sign of life Beat.
type Mark struct {
	Origin      string
	Incarnation int64
	Version     uint64
	Beat        uint64
}

// Item is one thing that an origin tells, under the version at which it last changed.
type Item[T any] struct {
	Key     string
	Version uint64
	Dropped bool
	Value   T
}

// Delta is what an origin changed after the version Since; a full one replaces everything that was known of it.
type Delta[T any] struct {
	Mark  Mark
	Since uint64
	Full  bool
	Items []Item[T]
}

// origin is what is known of one origin.
type origin[T any] struct {
	mark  Mark
	items map[string]Item[T]
	// floor is the version up to which dropped items are forgotten.
	floor uint64
	heard time.Time
}

// Share spreads what each origin tells to all, by differences, through any partners; it is not safe for concurrent use.
//
// An origin vouches for all its items by one beat. What it told is believed
// while its beat rises; repeats of an old beat by others do not keep it alive.
type Share[T any] struct {
	self    *origin[T]
	origins map[string]*origin[T]
}

// NewShare returns a share of the origin self, whose incarnation is higher than that of its earlier starts.
func NewShare[T any](now time.Time, self string, incarnation int64) *Share[T] {
	own := &origin[T]{mark: Mark{Origin: self, Incarnation: incarnation}, items: map[string]Item[T]{}, heard: now}
	return &Share[T]{self: own, origins: map[string]*origin[T]{self: own}}
}

// Put tells a value under a key.
func (s *Share[T]) Put(key string, value T) {
	s.self.mark.Version++
	s.self.items[key] = Item[T]{Key: key, Version: s.self.mark.Version, Value: value}
}

// Drop takes back what was told under a key.
func (s *Share[T]) Drop(key string) {
	if item, ok := s.self.items[key]; !ok || item.Dropped {
		return
	}
	s.self.mark.Version++
	s.self.items[key] = Item[T]{Key: key, Version: s.self.mark.Version, Dropped: true}
	s.self.prune()
}

// Told returns what the own origin tells under a key.
func (s *Share[T]) Told(key string) (value T, ok bool) {
	item, ok := s.self.items[key]
	return item.Value, ok && !item.Dropped
}

// Keys returns the keys that the own origin tells, in order.
func (s *Share[T]) Keys() []string {
	var keys []string
	for key, item := range s.self.items {
		if !item.Dropped {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Beat tells that the own origin is alive.
func (s *Share[T]) Beat(now time.Time) {
	s.self.mark.Beat++
	s.self.heard = now
}

// prune forgets the oldest dropped items if there are too many.
func (o *origin[T]) prune() {
	var dropped []Item[T]
	for _, item := range o.items {
		if item.Dropped {
			dropped = append(dropped, item)
		}
	}
	if len(dropped) <= maxDropped {
		return
	}
	slices.SortFunc(dropped, byVersion)
	for _, item := range dropped[:len(dropped)/2] {
		delete(o.items, item.Key)
		o.floor = item.Version
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

// Marks returns how far each origin that was heard within ttl is known, in the order of their names.
func (s *Share[T]) Marks(now time.Time, ttl time.Duration) []Mark {
	marks := make([]Mark, 0, len(s.origins))
	for _, name := range slices.Sorted(maps.Keys(s.origins)) {
		if o := s.origins[name]; o.tells(now, ttl) {
			marks = append(marks, o.mark)
		}
	}
	return marks
}

// tells reports whether the origin was heard within ttl.
//
// A silent origin is kept in memory alone, so that what others repeat of it does not revive it.
func (o *origin[T]) tells(now time.Time, ttl time.Duration) bool { return now.Sub(o.heard) <= ttl }

// Missing returns what a partner with the marks does not know of the origins that were heard within ttl.
func (s *Share[T]) Missing(now time.Time, ttl time.Duration, marks []Mark) []Delta[T] {
	known := map[string]Mark{}
	for _, m := range marks {
		known[m.Origin] = m
	}
	var deltas []Delta[T]
	for _, name := range slices.Sorted(maps.Keys(s.origins)) {
		o := s.origins[name]
		if !o.tells(now, ttl) {
			continue
		}
		if d, ok := o.missing(known[name]); ok {
			deltas = append(deltas, d)
		}
	}
	return deltas
}

// missing returns what changed after a mark; ok is false if the mark is as far or farther.
func (o *origin[T]) missing(m Mark) (d Delta[T], ok bool) {
	same := m.Incarnation == o.mark.Incarnation
	if o.mark.Incarnation < m.Incarnation || (same && o.mark.Version <= m.Version && o.mark.Beat <= m.Beat) {
		return d, false
	}
	d = Delta[T]{Mark: o.mark, Since: m.Version, Full: !same || m.Version < o.floor}
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

// Learn takes what a partner told; what is older than what is known, or does not follow on it, is left out.
func (s *Share[T]) Learn(now time.Time, deltas []Delta[T]) {
	for _, d := range deltas {
		if d.Mark.Origin == s.self.mark.Origin {
			continue
		}
		o := s.origins[d.Mark.Origin]
		switch {
		case o == nil || d.Mark.Incarnation > o.mark.Incarnation:
			s.replace(now, d)
		case d.Mark.Incarnation == o.mark.Incarnation:
			o.learn(now, d)
		}
	}
}

// replace takes all of an origin that is new or has started again.
func (s *Share[T]) replace(now time.Time, d Delta[T]) {
	if !d.Full {
		return
	}
	o := &origin[T]{mark: d.Mark, items: map[string]Item[T]{}, floor: d.Mark.Version, heard: now}
	for _, item := range d.Items {
		o.items[item.Key] = item
	}
	s.origins[d.Mark.Origin] = o
}

func (o *origin[T]) learn(now time.Time, d Delta[T]) {
	if d.Mark.Version > o.mark.Version && (d.Full || d.Since <= o.mark.Version) {
		if d.Full {
			o.items = map[string]Item[T]{}
			o.floor = d.Mark.Version
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
		o.heard = now
	}
}

// Forget drops the items of origins that were silent for ttl, and origins that were silent for long.
func (s *Share[T]) Forget(now time.Time, ttl time.Duration) {
	for name, o := range s.origins {
		silence := now.Sub(o.heard)
		if o != s.self && silence > max(ttl, originMemory) {
			delete(s.origins, name)
		}
	}
}

// Live returns the origins whose beat has risen within ttl, in the order of their names, the own one included.
func (s *Share[T]) Live(now time.Time, ttl time.Duration) []string {
	var live []string
	for name, o := range s.origins {
		if o == s.self || now.Sub(o.heard) <= ttl {
			live = append(live, name)
		}
	}
	slices.SortFunc(live, strings.Compare)
	return live
}

// Each calls f with what each live origin tells, in no order.
func (s *Share[T]) Each(now time.Time, ttl time.Duration, f func(origin, key string, value T)) {
	for name, o := range s.origins {
		if o != s.self && now.Sub(o.heard) > ttl {
			continue
		}
		for key, item := range o.items {
			if !item.Dropped {
				f(name, key, item.Value)
			}
		}
	}
}
