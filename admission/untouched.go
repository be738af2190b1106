package admission

// Untouched calls f, and then restores the order in which sketches are evicted: what f looks up doesn't count as use.
func (u *UsageEstimator) Untouched(f func()) {
	clock, used := u.clock, make(map[*sketch]uint64, len(u.sketches))
	for _, s := range u.sketches {
		used[s] = s.usedAt
	}
	f()
	u.clock = clock
	for s, at := range used {
		s.usedAt = at
	}
}
