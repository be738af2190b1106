package entry

import (
	"context"
	"sync"
	"time"

	"arbutusreel/dispatch"
	"arbutusreel/inventory"
	"arbutusreel/limits"
	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// Period and timeout of borrowing shares of team limits.
const (
	borrowPeriod  = 500 * time.Millisecond
	borrowTimeout = time.Second
)

// rateLimiter holds this instance's shares of the teams' limits; it is safe for concurrent use.
type rateLimiter struct {
	mu    sync.Mutex
	now   func() time.Time
	teams *limits.Teams
}

var _ dispatch.Limiter = (*rateLimiter)(nil)

func newRateLimiter(self membership.Entry, now func() time.Time) *rateLimiter {
	return &rateLimiter{now: now, teams: limits.New(limits.Member{Instance: self.Name, Region: self.Region})}
}

// Spend deducts tokens from the team's allowance. If there are too few, it returns the time after which to retry and
// false.
func (s *rateLimiter) Spend(team string, tokens int) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.teams.Spend(s.now(), team, tokens)
}

// Settle corrects the tokens deducted for a request to those used.
func (s *rateLimiter) Settle(team string, spent, used int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.teams.Settle(s.now(), team, spent, used)
}

// observe updates the limits and the live instances, and returns the requests for rate by lender.
func (s *rateLimiter) observe(inv *inventory.Inventory, entries []membership.Entry) map[string][]limits.Ask {
	var all []limits.Limit
	for _, t := range inv.Contents().Teams {
		all = append(all, limits.Limit{Team: t.Name, HomeRegion: t.HomeRegion, TokensPerSecond: t.TokensPerSecond})
	}
	var regions []string
	for _, r := range inv.Contents().Regions {
		regions = append(regions, r.Name)
	}
	var members []limits.Member
	for _, e := range entries {
		if !e.Leaving {
			members = append(members, limits.Member{Instance: e.Name, Region: e.Region})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.teams.Observe(s.now(), all, regions, members)
	asks := map[string][]limits.Ask{}
	for _, a := range s.teams.Asks(s.now()) {
		asks[a.Lender] = append(asks[a.Lender], a)
	}
	return asks
}

// leave gives up the shares that this instance owns.
func (s *rateLimiter) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.teams.Leave(s.now())
}

func (s *rateLimiter) acceptGrants(grants []*wiregen.RateGrant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range grants {
		s.teams.AcceptGrant(s.now(), wire.DecodeGrant(m))
	}
}

func (s *rateLimiter) lend(asks []*wiregen.RateAsk) []*wiregen.RateGrant {
	s.mu.Lock()
	defer s.mu.Unlock()
	var grants []*wiregen.RateGrant
	for _, m := range asks {
		if g, ok := s.teams.Lend(s.now(), wire.DecodeAsk(m)); ok {
			grants = append(grants, wire.EncodeGrant(g))
		}
	}
	return grants
}

// borrowLoop periodically asks the owners of the limits for the rate that this instance needs.
func (n *Entry) borrowLoop(ctx context.Context) {
	every(ctx, borrowPeriod, func() {
		inv, _ := n.state.Inventory()
		if inv == nil {
			return
		}
		entries := n.state.live()
		var wg sync.WaitGroup
		for lender, asks := range n.limiter.observe(inv, entries) {
			wg.Go(func() { n.borrow(ctx, lender, asks, entries) })
		}
		wg.Wait()
	})
}

// borrow sends the requests to one lender and accepts its grants.
func (n *Entry) borrow(ctx context.Context, lender string, asks []limits.Ask, entries []membership.Entry) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	for _, e := range entries {
		if e.Name != lender {
			continue
		}
		conn, err := n.peers.conn(e.PeerAddress)
		if err != nil {
			return
		}
		reply, err := wiregen.NewLimitsClient(conn).Lend(ctx, &wiregen.LendRequest{Asks: wire.EncodeAsks(asks)})
		if err != nil {
			n.log.Debug().Str("lender", lender).Err(err).Msg("lender unreachable")
			return
		}
		n.limiter.acceptGrants(reply.GetGrants())
	}
}

// limitsServer serves other entries' requests for rate.
type limitsServer struct {
	wiregen.UnimplementedLimitsServer
	limiter *rateLimiter
}

// Lend grants parts of the shares that this instance owns.
func (s limitsServer) Lend(_ context.Context, m *wiregen.LendRequest) (*wiregen.LendReply, error) {
	return &wiregen.LendReply{Grants: s.limiter.lend(m.GetAsks())}, nil
}

// servingEntries returns the number of live entries of this region that are not leaving.
func (n *Entry) servingEntries() int {
	count := 0
	for _, e := range n.state.live() {
		if e.Region == n.cfg.Self.Region && !e.Leaving {
			count++
		}
	}
	return count
}
