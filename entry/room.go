package entry

import (
	"net/http"
	"sync"
	"time"

	"arbutusreel/admission"
	"arbutusreel/inventory"
	"arbutusreel/problem"
)

// requestOverhead is the memory in bytes that a request in progress takes besides its body.
const requestOverhead = 96 << 10

// retryAfterFull is when a caller may come back that found no room in an instance.
const retryAfterFull = time.Second

// room is the memory for requests in progress; it is safe for concurrent use.
type room struct {
	mu   sync.Mutex
	room *admission.Room
}

func newRoom(bytes int64) *room { return &room{room: admission.NewRoom(bytes)} }

// used returns the bytes that requests in progress hold.
func (r *room) used() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.room.Used()
}

// hold is the memory of one request, held until release.
type hold struct {
	room   *room
	holder admission.Holder
	bytes  int64
}

// take holds memory for a request with a body of that many bytes, or returns nil.
func (r *room) take(holder admission.Holder, body int64) *hold {
	r.mu.Lock()
	defer r.mu.Unlock()
	bytes := requestOverhead + body
	if !r.room.Take(holder, bytes) {
		return nil
	}
	return &hold{room: r, holder: holder, bytes: bytes}
}

// settle gives back what a body of that many bytes does not need.
func (h *hold) settle(body int64) {
	h.keep(min(h.bytes, requestOverhead+body))
}

// release gives everything back.
func (h *hold) release() { h.keep(0) }

func (h *hold) keep(bytes int64) {
	h.room.mu.Lock()
	defer h.room.mu.Unlock()
	h.room.room.Give(h.holder, h.bytes-bytes)
	h.bytes = bytes
}

// hold returns the class of a caller's request, whose body is not read yet, and holds memory for it; a request for which
// there is none is refused.
func (n *Entry) hold(c caller, r *http.Request) (inventory.Class, *hold, error) {
	class, err := c.class(r)
	if err != nil {
		return class, nil, err
	}
	body := n.cfg.MaxBodyBytes
	if r.ContentLength >= 0 {
		body = min(body, r.ContentLength)
	}
	held, err := n.holdBody(c.team.Name, class, body)
	return class, held, err
}

// holdBody holds memory for a request of a team with a body of that many bytes, or refuses it.
func (n *Entry) holdBody(team string, class inventory.Class, body int64) (*hold, error) {
	h := n.room.take(admission.Holder{Team: team, Deferrable: class.Deferrable}, body)
	if h == nil {
		return nil, problem.New(problem.InstanceFull, http.StatusServiceUnavailable, "instance %q has no room for another request of team %q and class %q", n.cfg.Self.Name, team, class.Name).WithRetryAfter(retryAfterFull)
	}
	return h, nil
}
