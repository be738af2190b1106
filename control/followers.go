package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// followerTTL is how long an entry counts as a direct follower after its last report.
const followerTTL = 10 * time.Second

// followers holds the entries that follow this voter directly; it is safe for concurrent use.
type followers struct {
	mu      sync.Mutex
	entries *membership.Entries
}

func newFollowers() *followers { return &followers{entries: membership.NewEntries(followerTTL)} }

func (d *followers) update(now time.Time, sender *wiregen.EntryAdvert) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries.Update(now, wire.DecodeEntries([]*wiregen.EntryAdvert{sender})[0])
}

func (d *followers) live(now time.Time) []membership.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries.Live(now)
}

// acceptFollower records an entry that follows this voter; an entry whose certificate names another instance is
// refused.
func (c *Control) acceptFollower(ctx context.Context, m *wiregen.FollowReport) error {
	sender := m.GetSender()
	if sender == nil {
		return nil
	}
	if err := c.cfg.Keys.CheckClaim(ctx, sender.GetName(), sender.GetRegion()); err != nil {
		c.log.Warn().Err(err).Msg("peer refused")
		return status.Error(codes.PermissionDenied, err.Error())
	}
	c.followers.update(c.now(), sender)
	return nil
}
