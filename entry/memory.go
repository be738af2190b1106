package entry

import (
	"net/http"
	"sync"
	"time"

	"arbutusreel/admission"
	"arbutusreel/inventory"
	"arbutusreel/problem"
)

// requestOverhead is the memory of a request in progress in addition to its body, in bytes.
const requestOverhead = 96 << 10

// retryAfterFull is the delay after which a caller may retry when the memory budget is exhausted.
const retryAfterFull = time.Second

// requestMemory is the memory budget of the requests in progress; it is safe for concurrent use.
type requestMemory struct {
	mu     sync.Mutex
	budget *admission.MemoryBudget
}

func newRequestMemory(bytes int64) *requestMemory {
	return &requestMemory{budget: admission.NewMemoryBudget(bytes)}
}

// used returns the bytes reserved by requests in progress.
func (m *requestMemory) used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Used()
}

// reservation is the memory reserved for one request until release is called.
type reservation struct {
	memory *requestMemory
	holder admission.Holder
	bytes  int64
}

// acquire reserves memory for a request with a body of the given size in bytes, or returns nil if the budget is
// exhausted.
func (m *requestMemory) acquire(holder admission.Holder, body int64) *reservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	bytes := requestOverhead + body
	if !m.budget.Acquire(holder, bytes) {
		return nil
	}
	return &reservation{memory: m, holder: holder, bytes: bytes}
}

// shrink returns the memory that a body of the given size doesn't need.
func (r *reservation) shrink(body int64) {
	r.resize(min(r.bytes, requestOverhead+body))
}

// release returns all reserved memory.
func (r *reservation) release() { r.resize(0) }

func (r *reservation) resize(bytes int64) {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.budget.Release(r.holder, r.bytes-bytes)
	r.bytes = bytes
}

// reserveRequest returns the class of a caller's request, whose body is not read yet, and reserves memory for it; the
// request is refused if the budget is exhausted.
func (n *Entry) reserveRequest(c caller, r *http.Request) (inventory.Class, *reservation, error) {
	class, err := c.class(r)
	if err != nil {
		return class, nil, err
	}
	body := n.cfg.MaxBodyBytes
	if r.ContentLength >= 0 {
		body = min(body, r.ContentLength)
	}
	reserved, err := n.reserveBody(c.team.Name, class, body)
	return class, reserved, err
}

// reserveBody reserves memory for a team's request with a body of the given size in bytes, or refuses the request.
func (n *Entry) reserveBody(team string, class inventory.Class, body int64) (*reservation, error) {
	reserved := n.memory.acquire(admission.Holder{Team: team, Deferrable: class.Deferrable}, body)
	if reserved == nil {
		return nil, problem.New(problem.InstanceFull, http.StatusServiceUnavailable, "instance %q has no memory for another request of team %q and class %q", n.cfg.Self.Name, team, class.Name).WithRetryAfter(retryAfterFull)
	}
	return reserved, nil
}
