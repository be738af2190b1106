package crash

// Set is a bounded set that forgets the values that were added longest ago. Use NewSet to create one.
type Set[T comparable] struct {
	// generationSize is the number of values at which a generation is full.
	generationSize    int
	current, previous map[T]struct{}
}

// NewSet returns an empty set that keeps at least the n values that were added last, and at most twice as many.
func NewSet[T comparable](n int) *Set[T] {
	return &Set[T]{generationSize: n, current: map[T]struct{}{}}
}

// Add adds a value, or renews it, and reports whether it was new.
func (s *Set[T]) Add(v T) (added bool) {
	if _, ok := s.current[v]; ok {
		return false
	}
	_, known := s.previous[v]
	if len(s.current) >= s.generationSize {
		s.current, s.previous = map[T]struct{}{}, s.current
	}
	s.current[v] = struct{}{}
	return !known
}

// Has reports whether the set has a value.
func (s *Set[T]) Has(v T) bool {
	if _, ok := s.current[v]; ok {
		return true
	}
	_, ok := s.previous[v]
	return ok
}

// All returns all values in no particular order.
func (s *Set[T]) All() []T {
	all := make([]T, 0, len(s.current)+len(s.previous))
	for v := range s.current {
		all = append(all, v)
	}
	for v := range s.previous {
		if _, ok := s.current[v]; !ok {
			all = append(all, v)
		}
	}
	return all
}
