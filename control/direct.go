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

// directTTL is how long an entry counts as a direct follower after its last report.
const directTTL = 10 * time.Second

// direct holds the entries that follow this voter directly; it is safe for concurrent use.
type direct struct {
	mu      sync.Mutex
	entries *membership.Entries
}

func newDirect() *direct { return &direct{entries: membership.NewEntries(directTTL)} }

func (d *direct) hear(now time.Time, sender *wiregen.EntryAdvert) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries.Hear(now, wire.DecodeEntries([]*wiregen.EntryAdvert{sender})[0])
}

func (d *direct) live(now time.Time) []membership.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries.Live(now)
}

// heardFollower notes an entry that follows this voter; one whose certificate names another instance is refused.
func (c *Control) heardFollower(ctx context.Context, m *wiregen.FollowReport) error {
	sender := m.GetSender()
	if sender == nil {
		return nil
	}
	if err := c.cfg.Keys.CheckClaim(ctx, sender.GetName(), sender.GetRegion()); err != nil {
		c.log.Warn().Err(err).Msg("peerRefused")
		return status.Error(codes.PermissionDenied, err.Error())
	}
	c.direct.hear(c.now(), sender)
	return nil
}
