package control

import (
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// followerTTL is how long an entry counts as a follower after its last report.
const followerTTL = 10 * time.Second

// follower is an instance with the revision that it has in force.
type follower struct {
	name     string
	region   string
	revision int64
	at       time.Time
}

// followers holds the last report of each instance; it is safe for concurrent use.
type followers struct {
	mu   sync.Mutex
	last map[string]follower
	// entries are those that follow this voter directly.
	entries *membership.Entries
}

func newFollowers() *followers {
	return &followers{last: map[string]follower{}, entries: membership.NewEntries(followerTTL)}
}

func (f *followers) report(now time.Time, m *wiregen.FollowReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.GetSender() != nil {
		f.entries.Hear(now, wire.DecodeEntries([]*wiregen.EntryAdvert{m.GetSender()})[0])
	}
	for _, i := range m.GetInstances() {
		at := now.Add(-time.Duration(i.GetAgeMillis()) * time.Millisecond)
		if at.Before(f.last[i.GetName()].at) {
			continue
		}
		f.last[i.GetName()] = follower{name: i.GetName(), region: i.GetRegion(), revision: i.GetRevision(), at: at}
	}
}

// direct returns the entries that follow this voter directly.
func (f *followers) direct(now time.Time) []membership.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries.Live(now)
}

// all returns the followers in the order of their names.
func (f *followers) all() []follower {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]follower, 0, len(f.last))
	for _, one := range f.last {
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b follower) int { return strings.Compare(a.name, b.name) })
	return all
}

// Follow sends each accepted inventory that the follower lacks.
func (c *Control) Follow(reports grpc.BidiStreamingServer[wiregen.FollowReport, wiregen.FollowUpdate]) error {
	if leader, _ := c.store.Leader(); leader != c.cfg.Name {
		return status.Errorf(codes.Unavailable, "voter %q is not the leader", c.cfg.Name)
	}
	first, err := reports.Recv()
	if err != nil {
		return err
	}
	if err := c.checkFollower(reports.Context(), first); err != nil {
		return err
	}
	c.followers.report(c.now(), first)
	go c.readReports(reports)
	var sent int64
	for {
		current := c.store.Current()
		if current.Revision > sent {
			update := &wiregen.FollowUpdate{Revision: current.Revision, Inventory: wire.EncodeInventory(current.Inventory)}
			if err := reports.Send(update); err != nil {
				return err
			}
			sent = current.Revision
		}
		select {
		case <-current.Changed:
		case <-reports.Context().Done():
			return reports.Context().Err()
		case <-c.stopping.Done():
			return nil
		}
	}
}

// readReports takes the reports of a follower until its stream ends.
func (c *Control) readReports(reports grpc.BidiStreamingServer[wiregen.FollowReport, wiregen.FollowUpdate]) {
	for {
		m, err := reports.Recv()
		if err != nil {
			return
		}
		c.followers.report(c.now(), m)
	}
}
