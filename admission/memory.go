package admission

// Holder identifies the requests that share a part of an instance's memory: those of a team, with deferrable ones
// counted apart.
type Holder struct {
	Team       string
	Deferrable bool
}

// Thresholds of a MemoryBudget, as multiples of the free memory: what a holder may hold, what a holder of deferrable
// requests may hold, and what all holders of deferrable requests may hold together.
const (
	holderFactor        = 2
	deferrableFactor    = 0.5
	allDeferrableFactor = 1
)

// MemoryBudget divides an instance's memory for requests by dynamic thresholds (A. K. Choudhury and E. L. Hahne, 1998).
// A holder may acquire bytes as long as it then holds at most a multiple of what is still free. A single holder thus
// fills up to two thirds, or one third with deferrable requests, and two holders less each; deferrable requests fill
// half in all. Some memory therefore always stays free for one more holder.
type MemoryBudget struct {
	capacity   int64
	used       int64
	deferrable int64
	held       map[Holder]int64
}

// NewMemoryBudget returns a budget with a capacity in bytes.
func NewMemoryBudget(bytes int64) *MemoryBudget {
	return &MemoryBudget{capacity: bytes, held: map[Holder]int64{}}
}

// Used returns the number of bytes that are acquired.
func (b *MemoryBudget) Used() int64 { return b.used }

// Acquire acquires bytes for the holder; if that exceeds a threshold, it acquires none and reports false.
func (b *MemoryBudget) Acquire(h Holder, bytes int64) bool {
	free := b.capacity - b.used - bytes
	if bytes < 0 || !b.fits(h, bytes, float64(free)) {
		return false
	}
	b.add(h, bytes)
	return true
}

func (b *MemoryBudget) fits(h Holder, bytes int64, free float64) bool {
	own := float64(b.held[h] + bytes)
	if !h.Deferrable {
		return own <= holderFactor*free
	}
	return own <= deferrableFactor*free && float64(b.deferrable+bytes) <= allDeferrableFactor*free
}

// Release releases bytes that the holder acquired, at most those that it holds.
func (b *MemoryBudget) Release(h Holder, bytes int64) {
	b.add(h, -min(bytes, b.held[h]))
}

func (b *MemoryBudget) add(h Holder, bytes int64) {
	b.used += bytes
	b.held[h] += bytes
	if h.Deferrable {
		b.deferrable += bytes
	}
	if b.held[h] == 0 {
		delete(b.held, h)
	}
}
