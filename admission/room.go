package admission

// Holder is whose requests share a part of an instance's memory: a team's, those that may be put off apart.
type Holder struct {
	Team       string
	Deferrable bool
}

// Thresholds of a room, as multiples of what is free: what a holder may hold, the same for what may be put off, and what
// all holders may hold of that.
const (
	holderShare        = 2
	deferrableShare    = 0.5
	allDeferrableShare = 1
)

// Room shares an instance's memory for requests. A holder may take bytes as long as it then holds at most a multiple of
// what is still free, so that a holder alone fills two thirds, or one third with what may be put off, and two holders
// less each; what may be put off fills half in all. There is always room for one more (dynamic thresholds; A. K.
// Choudhury and E. L. Hahne, 1998).
type Room struct {
	bytes      int64
	used       int64
	deferrable int64
	held       map[Holder]int64
}

// NewRoom returns a room of that many bytes.
func NewRoom(bytes int64) *Room { return &Room{bytes: bytes, held: map[Holder]int64{}} }

// Used returns the bytes that are taken.
func (r *Room) Used() int64 { return r.used }

// Take takes bytes for the holder, and reports false and takes none if the holder may not have them.
func (r *Room) Take(h Holder, bytes int64) bool {
	free := r.bytes - r.used - bytes
	if bytes < 0 || !r.fits(h, bytes, float64(free)) {
		return false
	}
	r.add(h, bytes)
	return true
}

func (r *Room) fits(h Holder, bytes int64, free float64) bool {
	own := float64(r.held[h] + bytes)
	if !h.Deferrable {
		return own <= holderShare*free
	}
	return own <= deferrableShare*free && float64(r.deferrable+bytes) <= allDeferrableShare*free
}

// Give gives back bytes that the holder took; more than it holds gives back what it holds.
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
