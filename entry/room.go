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

// retryAfterFull is when a caller may come back that found too little free memory in an instance.
const retryAfterFull = time.Second

// requestMemory is the memory for requests in progress; it is safe for concurrent use.
type requestMemory struct {
	mu     sync.Mutex
	budget *admission.MemoryBudget
}

func newRequestMemory(bytes int64) *requestMemory {
	return &requestMemory{budget: admission.NewMemoryBudget(bytes)}
}

// used returns the bytes that requests in progress hold.
func (m *requestMemory) used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Used()
}

// hold is the memory of one request, held until release.
type hold struct {
	memory *requestMemory
	holder admission.Holder
	bytes  int64
}

// acquire holds memory for a request with a body of that many bytes, or returns nil.
func (m *requestMemory) acquire(holder admission.Holder, body int64) *hold {
	m.mu.Lock()
	defer m.mu.Unlock()
	bytes := requestOverhead + body
	if !m.budget.Acquire(holder, bytes) {
		return nil
	}
	return &hold{memory: m, holder: holder, bytes: bytes}
}

// settle gives back what a body of that many bytes does not need.
func (h *hold) settle(body int64) {
	h.keep(min(h.bytes, requestOverhead+body))
}

// release gives everything back.
func (h *hold) release() { h.keep(0) }

func (h *hold) keep(bytes int64) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.budget.Release(h.holder, h.bytes-bytes)
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
	h := n.memory.acquire(admission.Holder{Team: team, Deferrable: class.Deferrable}, body)
	if h == nil {
		return nil, problem.New(problem.InstanceFull, http.StatusServiceUnavailable, "instance %q has no room for another request of team %q and class %q", n.cfg.Self.Name, team, class.Name).WithRetryAfter(retryAfterFull)
	}
	return h, nil
}
