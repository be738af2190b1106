package admission

// Holder identifies the requests that share a part of an instance's memory: those of a team, with deferrable ones
// counted apart.
type Holder struct {
	Team       string
	Deferrable bool
}

// Thresholds of a Room, as multiples of the free memory: what a holder may hold, what a holder of deferrable requests
// may hold, and what all holders of deferrable requests may hold together.
const (
	holderFactor        = 2
	deferrableFactor    = 0.5
	allDeferrableFactor = 1
)

// Room divides an instance's memory for requests by dynamic thresholds (A. K. Choudhury and E. L. Hahne, 1998). A
// holder may take bytes as long as it then holds at most a multiple of what is still free. A single holder thus fills
// up to two thirds, or one third with deferrable requests, and two holders less each; deferrable requests fill half in
// all. Some memory therefore always stays free for one more holder.
type Room struct {
	capacity   int64
	used       int64
	deferrable int64
	held       map[Holder]int64
}

// NewRoom returns a Room with a capacity in bytes.
func NewRoom(bytes int64) *Room { return &Room{capacity: bytes, held: map[Holder]int64{}} }

// Used returns the number of bytes that are taken.
func (r *Room) Used() int64 { return r.used }

// Take takes bytes for the holder; if that exceeds a threshold, it takes none and reports false.
func (r *Room) Take(h Holder, bytes int64) bool {
	free := r.capacity - r.used - bytes
	if bytes < 0 || !r.fits(h, bytes, float64(free)) {
		return false
	}
	r.add(h, bytes)
	return true
}

func (r *Room) fits(h Holder, bytes int64, free float64) bool {
	own := float64(r.held[h] + bytes)
	if !h.Deferrable {
		return own <= holderFactor*free
	}
	return own <= deferrableFactor*free && float64(r.deferrable+bytes) <= allDeferrableFactor*free
}

// Give returns bytes that the holder took, at most those that it holds.
func (r *Room) Give(h Holder, bytes int64) {
	r.add(h, -min(bytes, r.held[h]))
}

func (r *Room) add(h Holder, bytes int64) {
	r.used += bytes
	r.held[h] += bytes
	if h.Deferrable {
		r.deferrable += bytes
	}
	if r.held[h] == 0 {
		delete(r.held, h)
	}
}
