package routing

import "time"

// holder is an endpoint that probably holds a prefix in its cache.
type holder struct {
	id uint32
	// at is when the prefix was last known to be used, in milliseconds of the chooser's clock, and lost the number of
	// the endpoint's cache events that were lost before.
	at   uint32
	lost uint32
	sure bool
}

// holders are the endpoints that probably hold one prefix.
type holders struct {
	n    uint8
	list [holdersPerPrefix]holder
}

// put adds or renews a holder, in place of the oldest if there is no room.
func (s *holders) put(h holder) {
	oldest := 0
	for i := range int(s.n) {
		if s.list[i].id == h.id {
			s.list[i] = h
			return
		}
		if s.list[i].at < s.list[oldest].at {
			oldest = i
		}
	}
	if s.n < holdersPerPrefix {
		s.list[s.n] = h
		s.n++
		return
	}
	s.list[oldest] = h
}

func (s *holders) drop(id uint32) {
	for i := range int(s.n) {
		if s.list[i].id == id {
			s.n--
			s.list[i] = s.list[s.n]
			return
		}
	}
}

// index maps prefixes to their probable holders; it forgets in two ages, so that its size is bounded.
type index struct {
	young map[uint64]holders
	old   map[uint64]holders
}

func newIndex() index {
	return index{young: map[uint64]holders{}}
}

func (x *index) get(hash uint64) (holders, bool) {
	s, ok := x.young[hash]
	if !ok {
		s, ok = x.old[hash]
	}
	return s, ok && s.n > 0
}

func (x *index) set(hash uint64, s holders) {
	if len(x.young) >= prefixesPerAge {
		x.old = x.young
		x.young = make(map[uint64]holders, prefixesPerAge)
	}
	x.young[hash] = s
}

// put notes that an endpoint holds the prefix.
func (x *index) put(hash uint64, h holder) {
	s, _ := x.get(hash)
	s.put(h)
	x.set(hash, s)
}

// drop notes that an endpoint no longer holds the prefix.
func (x *index) drop(hash uint64, id uint32) {
	s, ok := x.get(hash)
	if !ok {
		return
	}
	s.drop(id)
	x.set(hash, s)
}

// longest returns the number of blocks of the longest prefix with a holder. A holder of a prefix mostly holds each
// shorter one, so that bisection finds it.
func (x *index) longest(prefixes []uint64) int {
	low, high := 0, len(prefixes)
	for low < high {
		middle := (low + high + 1) / 2
		if _, ok := x.get(prefixes[middle-1]); ok {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// certainty returns the probability that a prefix is still held by an endpoint of which lost events are missing.
func (h holder) certainty(now time.Duration, lost uint32) float64 {
	age := max(now-time.Duration(h.at)*time.Millisecond, 0)
	p := float64(cacheHalfLife) / float64(cacheHalfLife+age)
	if !h.sure {
		p *= ownCertainty
	}
	return p * lostHalf / (lostHalf + float64(lost-h.lost))
}
