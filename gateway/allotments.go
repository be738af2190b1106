package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/limits"
	"arbutusreel/problem"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

const (
	// ownerTimeout bounds a draw from the owner of the region, and otherOwnerTimeout one from the owner of another region.
	ownerTimeout      = 150 * time.Millisecond
	otherOwnerTimeout = 400 * time.Millisecond
	// ownerRetryTime is how long an owner that has not answered is not asked again.
	ownerRetryTime = 300 * time.Millisecond
	// unknownRetryAfter is the least retry delay of a request for which no owner has answered.
	unknownRetryAfter = 300 * time.Millisecond
)

// allotments holds this gateway's balances of the teams' allotments and the shares that it owns. It is safe for concurrent use.
type allotments struct {
	cfg     Config
	log     zerolog.Logger
	self    limits.Member
	started time.Time
	// regions are all regions of the system.
	regions []string
	calls   *drawCalls
	counts  *allotmentCounts

	mu       sync.Mutex
	table    *routes.Table
	teams    map[string]limits.Allotted
	owners   *limits.Owners
	pool     *limits.Pool
	balances map[string]*limits.Balance
	// addresses holds the load addresses of all known gateways by name.
	addresses map[string]string
	// silentUntil holds until when owners that have not answered are not asked again.
	silentUntil map[string]time.Time
	// handingOver counts the handover calls in progress.
	handingOver int
}

func newAllotments(cfg Config, log zerolog.Logger, ctx context.Context, now time.Time) *allotments {
	regions := slices.Compact(slices.Sorted(maps.Values(cfg.Regions)))
	a := &allotments{
		cfg: cfg, log: log, self: limits.Member{Instance: cfg.Name, Region: cfg.Region}, started: now, regions: regions,
		calls: newDrawCalls(ctx, cfg.Keys), counts: newAllotmentCounts(cfg.Metrics), owners: limits.NewOwners(),
		balances: map[string]*limits.Balance{}, silentUntil: map[string]time.Time{},
	}
	a.pool = limits.NewPool(a.self, cfg.Quota, a.owners, now)
	return a
}

func (a *allotments) close() { a.calls.close() }

// observe applies a new view. Without teams that have a limit it does nothing.
func (a *allotments) observe(now time.Time, v *view) {
	a.mu.Lock()
	defer a.mu.Unlock()
	changes := 0
	tableChanged := v.table != a.table
	if tableChanged {
		a.setTable(v.table)
	}
	if len(a.teams) == 0 && !tableChanged {
		return
	}
	a.addresses = make(map[string]string, len(v.gateways))
	var ready, stopping []limits.Member
	for _, g := range v.gateways {
		a.addresses[g.Name] = g.LoadAddress
		switch m := (limits.Member{Instance: g.Name, Region: g.Region}); {
		case g.Ready:
			ready = append(ready, m)
		case g.Lingering || g.Closing:
			stopping = append(stopping, m)
		}
	}
	if v.current {
		a.pool.SetCurrent(now)
		if a.owners.Update(ready, stopping) {
			changes += a.pool.UpdateOwners(now)
		}
	}
	if tableChanged {
		changes += a.pool.SetTeams(now, slices.Collect(maps.Values(a.teams)))
	}
	if changes > 0 {
		a.counts.ownerChanges.Add(int64(changes))
		a.log.Info().Int("changes", changes).Str("control", v.control).Msg("owned allotment shares changed")
		a.startHandovers(now)
	}
}

// setTable takes the allotments of a routing table. a.mu is locked.
func (a *allotments) setTable(table *routes.Table) {
	a.table, a.teams = table, map[string]limits.Allotted{}
	if table == nil {
		return
	}
	for team := range table.Teams() {
		if !team.Allotment.Limited() {
			continue
		}
		homes := slices.DeleteFunc(slices.Clone(a.regions), func(region string) bool { return !team.Allows(region) })
		a.teams[team.Name] = limits.Allotted{Team: team.Name, Rate: team.Allotment.Rate, Burst: team.Allotment.Burst, Regions: homes}
	}
	for name, b := range a.balances {
		if allotted, ok := a.teams[name]; ok {
			b.SetAllotment(allotted)
		} else {
			delete(a.balances, name)
		}
	}
}

// touch is called several times a second: it notices suspensions, and repeats handover calls that have failed.
func (a *allotments) touch(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pool.Touch(now) && len(a.teams) > 0 {
		a.log.Warn().Msg("suspended: allotment shares start anew")
	}
	if len(a.teams) > 0 {
		a.startHandovers(now)
		a.calls.closeIdle(now)
	}
}

// leave gives up the shares at a planned stop, if another gateway of the region owns them then.
func (a *allotments) leave(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pool.Leave(now)
}

// startHandovers asks the previous owners for what is left of new shares. a.mu is locked.
func (a *allotments) startHandovers(now time.Time) {
	if a.handingOver > 0 {
		return
	}
	for previous, draws := range a.pool.Handovers(now) {
		address := a.addresses[previous]
		if address == "" {
			continue
		}
		for _, d := range draws {
			a.handingOver++
			a.calls.start(now, address, otherOwnerTimeout, d, func(r drawResult) {
				a.mu.Lock()
				defer a.mu.Unlock()
				a.handingOver--
				if r.err == nil {
					a.pool.AcceptHandover(time.Now(), now, previous, r.drawn)
				}
			})
		}
	}
}

// startBorrows draws from the owners of other regions what a team's bucket needs ahead of demand. a.mu is locked.
func (a *allotments) startBorrows(now time.Time, team string) {
	for lender, d := range a.pool.Borrow(now, team) {
		accept := func(r drawResult) {
			a.mu.Lock()
			defer a.mu.Unlock()
			r.drawn.Team = team
			a.pool.AcceptBorrow(time.Now(), now, r.drawn)
		}
		address := a.addresses[lender]
		if address == "" {
			go accept(drawResult{})
			continue
		}
		a.calls.start(now, address, otherOwnerTimeout, d, accept)
	}
}

// serveDraws answers draws from the shares that this gateway owns.
func (a *allotments) serveDraws(now time.Time, draws []limits.Draw) []limits.Drawn {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]limits.Drawn, 0, len(draws))
	for _, d := range draws {
		all = append(all, a.drawHere(now, d))
	}
	return all
}

// drawHere answers one draw. a.mu is locked.
func (a *allotments) drawHere(now time.Time, d limits.Draw) limits.Drawn {
	r := a.pool.Draw(now, d)
	a.counts.add(a.counts.drawn, d.Team, r.Amount)
	if d.Region == a.self.Region {
		a.startBorrows(now, d.Team)
	}
	return r
}

// verdict is the result of charging a request.
type verdict int

const (
	charged verdict = iota
	// overAllotment: owners have answered, and none has enough.
	overAllotment
	// unknownAllotment: no owner has answered.
	unknownAllotment
)

// take charges a request of a team to its allotment. If that fails, wait is the time after which it may succeed.
func (a *allotments) take(ctx context.Context, team string, cost float64) (c *limits.Charge, wait time.Duration, v verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	allotted, ok := a.teams[team]
	if !ok {
		return nil, 0, charged
	}
	b := a.balances[team]
	if b == nil {
		b = limits.NewBalance(a.cfg.Quota, allotted, a.started)
		a.balances[team] = b
	}
	now := time.Now()
	taken := b.Charge(now, cost)
	c = &taken
	wait, answered, ok := a.drawAll(ctx, now, b, allotted, c)
	now = time.Now()
	a.counts.add(a.counts.lapsed, team, b.TakeLapsed())
	if !ok {
		ok = !answered.own && b.Reserve(now, a.owners.Gateways(), c)
	}
	switch {
	case ok:
		if b.Admitted(now) {
			a.log.Info().Str("team", team).Msg("team is within its allotment again")
		}
		return c, 0, charged
	case answered.any:
		if b.Refused(now) {
			a.log.Info().Str("team", team).Float64("rate", allotted.Rate).Float64("cost", cost).Dur("wait", wait).Msg("team is over its allotment")
		}
		v = overAllotment
	default:
		v = unknownAllotment
	}
	b.Return(now, c)
	a.counts.add(a.counts.refused, team, 1)
	return nil, wait, v
}

// ownerAnswers reports which owners have answered: that of the own region, and any.
type ownerAnswers struct{ own, any bool }

// drawAll completes a charge by draws from the owner of the own region, then from the others, one after the other, and from the own one again.
// a.mu is locked, but not during the calls.
func (a *allotments) drawAll(ctx context.Context, now time.Time, b *limits.Balance, allotted limits.Allotted, c *limits.Charge) (wait time.Duration, got ownerAnswers, ok bool) {
	if c.Missing <= 0 {
		return 0, got, true
	}
	var ownWait time.Duration
	asked := false
	for _, region := range a.ownersInOrder(allotted) {
		expected, short := b.Short(now, region, c)
		if !short {
			asked = asked || region != a.self.Region
			if expected, short, ok = a.drawFrom(ctx, region, b, allotted.Team, c); ok {
				return 0, got, true
			}
		}
		if short {
			got.any = true
			if region == a.self.Region {
				got.own, ownWait = true, expected
			}
			if wait == 0 || expected < wait {
				wait = expected
			}
		}
		now = time.Now()
	}
	if asked && b.Again(ownWait) {
		if _, _, ok = a.drawFrom(ctx, a.self.Region, b, allotted.Team, c); ok {
			return 0, got, true
		}
	}
	return wait, got, false
}

// ownersInOrder returns the regions whose owners are asked, the own one first. a.mu is locked.
func (a *allotments) ownersInOrder(allotted limits.Allotted) []string {
	all := slices.Clone(allotted.Regions)
	slices.SortStableFunc(all, func(x, y string) int {
		switch a.self.Region {
		case x:
			return -1
		case y:
			return 1
		}
		return 0
	})
	return all
}

// drawFrom draws what a charge is missing from the owner of a region. If short is set, the owner has answered that it has less.
func (a *allotments) drawFrom(ctx context.Context, region string, b *limits.Balance, team string, c *limits.Charge) (wait time.Duration, short, ok bool) {
	owner, now := a.owners.Of(team, region), time.Now()
	d := b.Draw(now, a.self, c)
	if owner == a.self.Instance {
		r := a.drawHere(now, d)
		ok = b.Accept(now, now, region, c, r)
		return r.Wait, !ok && !r.NotOwner, ok
	}
	address := a.addresses[owner]
	if address == "" || now.Before(a.silentUntil[owner]) {
		return 0, false, false
	}
	timeout := otherOwnerTimeout
	if region == a.self.Region {
		timeout = ownerTimeout
	}
	answer := make(chan drawResult, 1)
	a.calls.start(now, address, timeout, d, func(r drawResult) { answer <- r })
	a.mu.Unlock()
	var r drawResult
	select {
	case r = <-answer:
	case <-ctx.Done():
		r.err = ctx.Err()
	}
	a.mu.Lock()
	if r.err != nil {
		if ctx.Err() == nil {
			a.silentUntil[owner] = time.Now().Add(ownerRetryTime)
		}
		return 0, false, false
	}
	delete(a.silentUntil, owner)
	ok = b.Accept(time.Now(), now, region, c, r.drawn)
	return r.drawn.Wait, !ok && !r.drawn.NotOwner, ok
}

// putBack returns what a charge has taken.
func (a *allotments) putBack(team string, c *limits.Charge) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.balances[team]; b != nil {
		b.Return(time.Now(), c)
		a.counts.add(a.counts.returned, team, c.Cost)
	}
}

// chargeAllotment charges a caller's request to the allotment of its team. Another gateway has charged a forwarded request.
func (j *job) chargeAllotment() *problem.Problem {
	if j.team == nil || j.forwarded || !j.team.Allotment.Limited() {
		return nil
	}
	cost := j.team.Allotment.Cost(j.call.Work.PromptTokens, j.call.MaxOutputTokens)
	c, wait, v := j.g.allotments.take(j.r.Context(), j.team.Name, cost)
	j.charge = c
	switch v {
	case overAllotment:
		return problem.New(problem.OverAllotment, http.StatusTooManyRequests, "the team %q has used its allotment", j.team.Name).WithRetryAfter(wait)
	case unknownAllotment:
		wait = unknownRetryAfter + time.Duration(j.g.placer.draw()*float64(unknownRetryAfter))
		return problem.New(problem.AllotmentUnknown, http.StatusServiceUnavailable, "no owner of the allotment of team %q is reached", j.team.Name).
			WithRetryAfter(wait)
	default:
		return nil
	}
}

// returnCharge returns what the request has taken of the team's allotment if it has certainly not run.
func (j *job) returnCharge() {
	if j.charge == nil || j.outcome != problem.NotRun {
		return
	}
	j.g.allotments.putBack(j.team.Name, j.charge)
	j.charge = nil
}

// Draw answers the draws of another gateway.
func (g *Gateway) Draw(_ context.Context, m *wiregen.DrawRequest) (*wiregen.DrawReply, error) {
	return encodeDrawn(g.allotments.serveDraws(time.Now(), decodeDraws(m))), nil
}
