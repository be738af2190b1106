package relay

import (
	"sync"
	"time"

	"arbutusreel/distribution"
)

// reportRetention is the time for which an instance without new reports is kept.
const reportRetention = 10 * time.Minute

// Hub is the inventory in force at one instance; it is safe for concurrent use.
type Hub struct {
	name string
	now  func() time.Time

	mu           sync.Mutex
	versions     distribution.Versions
	reports      *distribution.Reports
	changed      chan struct{}
	leaderSeenAt time.Time
}

// NewHub returns the empty hub of the instance with the name.
func NewHub(name string, now func() time.Time) *Hub {
	return &Hub{name: name, now: now, reports: distribution.NewReports(), changed: make(chan struct{}), leaderSeenAt: now()}
}

// Put puts an inventory into force and reports whether its revision was higher than the current one; otherwise it is
// ignored.
func (h *Hub) Put(revision int64, whole []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.notify(h.versions.Put(revision, whole))
}

// apply puts an update into force and returns the encoded inventory; ok reports whether the revision changed.
func (h *Hub) apply(u distribution.Update) (whole []byte, ok bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ok, err = h.versions.Apply(u)
	return h.versions.Whole(), h.notify(ok), err
}

// notify wakes the waiting streams if the inventory changed, and returns changed.
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

// updateSince returns the update that a follower with the revision and checksum lacks, and a channel that is closed at
// the next change.
func (h *Hub) updateSince(revision int64, checksum uint64) (u distribution.Update, ok bool, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	u, ok = h.versions.Since(revision, checksum)
	return u, ok, h.changed
}

// RecordLeaderContact records the time of a contact with the quorum's leader, direct or through other instances.
func (h *Hub) RecordLeaderContact(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.leaderSeenAt) {
		h.leaderSeenAt = at
	}
}

// LeaderAge returns the time since the last contact with the quorum's leader, or since the hub was created.
func (h *Hub) LeaderAge() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now().Sub(h.leaderSeenAt)
}

// Report records the states of instances.
func (h *Hub) Report(instances ...distribution.Instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range instances {
		h.reports.Update(i)
	}
}

// Instances returns the instances reported within reportRetention, ordered by name.
func (h *Hub) Instances() []distribution.Instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reports.All(h.now().Add(-reportRetention))
}
