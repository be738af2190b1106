package routing

import "time"

// holder is an endpoint that probably has a prefix in its cache.
type holder struct {
	id uint32
	// lastUsedMillis is the last known use of the prefix, in milliseconds since the chooser's origin.
	lastUsedMillis uint32
	// lostEvents is the number of the endpoint's cache events that had been lost when this holder was recorded.
	lostEvents uint32
	// confirmed is true if the endpoint reported the prefix, and false if it is inferred from a request sent there.
	confirmed bool
}

// holders are the endpoints that probably hold one prefix.
type holders struct {
	n    uint8
	list [maxHoldersPerPrefix]holder
}

// put adds or updates a holder, and replaces the least recently used one if the list is full.
func (s *holders) put(h holder) {
	oldest := 0
	for i := range int(s.n) {
		if s.list[i].id == h.id {
			s.list[i] = h
			return
		}
		if s.list[i].lastUsedMillis < s.list[oldest].lastUsedMillis {
			oldest = i
		}
	}
	if s.n < maxHoldersPerPrefix {
		s.list[s.n] = h
		s.n++
		return
	}
	s.list[oldest] = h
}

func (s *holders) remove(id uint32) {
	for i := range int(s.n) {
		if s.list[i].id == id {
			s.n--
			s.list[i] = s.list[s.n]
			return
		}
	}
}

// index maps prefix hashes to their probable holders. It keeps two generations and discards the older one when the
// current one is full, which bounds its size.
type index struct {
	current  map[uint64]holders
	previous map[uint64]holders
}

func newIndex() index {
	return index{current: map[uint64]holders{}}
}

func (x *index) get(hash uint64) (holders, bool) {
	s, ok := x.current[hash]
	if !ok {
		s, ok = x.previous[hash]
	}
	return s, ok && s.n > 0
}

func (x *index) set(hash uint64, s holders) {
	if len(x.current) >= prefixesPerGeneration {
		x.previous = x.current
		x.current = make(map[uint64]holders, prefixesPerGeneration)
	}
	x.current[hash] = s
}

// put records that an endpoint holds the prefix.
func (x *index) put(hash uint64, h holder) {
	s, _ := x.get(hash)
	s.put(h)
	x.set(hash, s)
}

// remove records that an endpoint no longer holds the prefix.
func (x *index) remove(hash uint64, id uint32) {
	s, ok := x.get(hash)
	if !ok {
		return
	}
	s.remove(id)
	x.set(hash, s)
}

// longestPrefix returns the number of blocks of the longest prefix with a holder. It bisects, because a holder of a
// prefix nearly always holds every shorter one.
func (x *index) longestPrefix(prefixes []uint64) int {
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

// probability returns the probability that the endpoint still holds the prefix; lost is the number of the endpoint's
// cache events lost so far.
func (h holder) probability(now time.Duration, lost uint32) float64 {
	age := max(now-time.Duration(h.lastUsedMillis)*time.Millisecond, 0)
	p := float64(cacheHalfLife) / float64(cacheHalfLife+age)
	if !h.confirmed {
		p *= dispatchedPrefixProbability
	}
	return p * lostEventsHalfLife / (lostEventsHalfLife + float64(lost-h.lostEvents))
}
