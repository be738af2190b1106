package relay

import (
	"sync"
	"time"

	"arbutusreel/distribution"
)

// reportRetention is the time for which an instance that is no longer heard of is kept in the reports.
const reportRetention = 10 * time.Minute

// Hub is the inventory in force at one instance; it is safe for concurrent use.
type Hub struct {
	name string
	now  func() time.Time

	mu       sync.Mutex
	versions distribution.Versions
	reports  *distribution.Reports
	changed  chan struct{}
	leaderAt time.Time
}

// NewHub returns the empty hub of the instance with the name.
func NewHub(name string, now func() time.Time) *Hub {
	return &Hub{name: name, now: now, reports: distribution.NewReports(), changed: make(chan struct{}), leaderAt: now()}
}

// Put takes an inventory into force; a revision that is not higher is left out.
func (h *Hub) Put(revision int64, whole []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.notify(h.versions.Put(revision, whole))
}

// take takes an update into force and returns the encoded inventory.
func (h *Hub) take(u distribution.Update) (whole []byte, ok bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ok, err = h.versions.Apply(u)
	return h.versions.Whole(), h.notify(ok), err
}

func (h *Hub) notify(changed bool) bool {
	if changed {
		close(h.changed)
		h.changed = make(chan struct{})
	}
	return changed
}

// Revision returns the revision in force and its checksum, or zeros.
func (h *Hub) Revision() (revision int64, checksum uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.versions.Revision() == 0 {
		return 0, 0
	}
	return h.versions.Revision(), distribution.Checksum(h.versions.Whole())
}

// since returns what a follower lacks, and a channel that is closed when there is more.
func (h *Hub) since(revision int64, checksum uint64) (u distribution.Update, ok bool, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	u, ok = h.versions.Since(revision, checksum)
	return u, ok, h.changed
}

// HeardLeader notes when the quorum's leader was last heard of, directly or through others.
func (h *Hub) HeardLeader(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.leaderAt) {
		h.leaderAt = at
	}
}

// LeaderAge returns the time since the quorum's leader was heard of, or since the hub was made.
func (h *Hub) LeaderAge() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now().Sub(h.leaderAt)
}

// Report notes the states of instances.
func (h *Hub) Report(instances ...distribution.Instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range instances {
		h.reports.Update(i)
	}
}

// Instances returns the instances that were reported, in the order of their names.
func (h *Hub) Instances() []distribution.Instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reports.All(h.now().Add(-reportRetention))
}
