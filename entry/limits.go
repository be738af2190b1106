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

// Periods of the loans of limits.
const (
	lendPeriod  = 500 * time.Millisecond
	lendTimeout = time.Second
)

// rates holds the instance's parts of the teams' limits; it is safe for concurrent use.
type rates struct {
	mu    sync.Mutex
	now   func() time.Time
	teams *limits.Teams
}

var _ dispatch.Limiter = (*rates)(nil)

func newRates(self membership.Entry, now func() time.Time) *rates {
	return &rates{now: now, teams: limits.New(limits.Member{Instance: self.Name, Region: self.Region})}
}

// Spend takes tokens of the team's limit.
func (s *rates) Spend(team string, tokens int) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.teams.Spend(s.now(), team, tokens)
}

// Settle corrects what a request has spent to what it has used.
func (s *rates) Settle(team string, spent, used int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.teams.Settle(s.now(), team, spent, used)
}

// observe takes the limits of an inventory and the live entries, and returns what to ask by lender.
func (s *rates) observe(inv *inventory.Inventory, entries []membership.Entry) map[string][]limits.Ask {
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

// leave gives up the parts that the instance owns.
func (s *rates) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.teams.Leave(s.now())
}

func (s *rates) take(grants []*wiregen.RateGrant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range grants {
		s.teams.AcceptGrant(s.now(), wire.DecodeGrant(m))
	}
}

func (s *rates) lend(asks []*wiregen.RateAsk) []*wiregen.RateGrant {
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

// lendLoop asks the owners of the limits for what the instance has use for.
func (n *Entry) lendLoop(ctx context.Context) {
	every(ctx, lendPeriod, func() {
		inv, _ := n.state.Inventory()
		if inv == nil {
			return
		}
		entries := n.state.live()
		var wg sync.WaitGroup
		for lender, asks := range n.rates.observe(inv, entries) {
			wg.Go(func() { n.borrow(ctx, lender, asks, entries) })
		}
		wg.Wait()
	})
}

// borrow asks one lender.
func (n *Entry) borrow(ctx context.Context, lender string, asks []limits.Ask, entries []membership.Entry) {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
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
			n.log.Debug().Str("lender", lender).Err(err).Msg("lenderUnreachable")
			return
		}
		n.rates.take(reply.GetGrants())
	}
}

// limitsServer answers the asks of other entries.
type limitsServer struct {
	wiregen.UnimplementedLimitsServer
	rates *rates
}

// Lend answers asks for parts of the limits that the instance owns.
func (s limitsServer) Lend(_ context.Context, m *wiregen.LendRequest) (*wiregen.LendReply, error) {
	return &wiregen.LendReply{Grants: s.rates.lend(m.GetAsks())}, nil
}

// instances returns the number of live entries of the own region that are not leaving.
func (n *Entry) instances() int {
	count := 0
	for _, e := range n.state.live() {
		if e.Region == n.cfg.Self.Region && !e.Leaving {
			count++
		}
	}
	return count
}
