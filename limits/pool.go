package limits

import (
	"slices"
	"time"
)

// Pool holds the buckets of the shares that this gateway owns.
type Pool struct {
	self    Member
	rule    Rule
	owners  *Owners
	teams   map[string]Allotted
	buckets map[string]*share
	// former holds what is left of shares that this gateway no longer owns, for their next owners and for gateways whose view does
	// not list these yet.
	former map[string]lot
	// contacts holds when each gateway of the region last drew here.
	contacts  map[string]time.Time
	currentAt time.Time
	touchedAt time.Time
}

// share is the token bucket of one team's share. Its level is negative after a request on credit.
type share struct {
	allotment Allotted
	level     float64
	updatedAt time.Time
	// halfUntil is when the bucket begins to fill at its whole rate.
	halfUntil time.Time
	// previous is the owner that is still to confirm that it no longer owns the share; empty for none.
	previous string
	demand   demand
	// largest is the largest recent request, which the bucket must be able to hold.
	largest   float64
	largestAt time.Time
	// refused is the amount of recent refusals that may come back, which lengthens the waits of further ones.
	refused   float64
	refusedAt time.Time
	// borrowing counts the draws from other regions in progress, and borrowAt is when the next one may be made.
	borrowing int
	borrowAt  time.Time
}

// NewPool returns the pool of a gateway that owns no share yet.
func NewPool(self Member, rule Rule, owners *Owners, now time.Time) *Pool {
	return &Pool{
		self: self, rule: rule, owners: owners, teams: map[string]Allotted{}, buckets: map[string]*share{}, former: map[string]lot{},
		contacts: map[string]time.Time{}, currentAt: now, touchedAt: now,
	}
}

// SetTeams replaces the allotments. A lowered one binds at once: levels above the new burst are cut.
func (p *Pool) SetTeams(now time.Time, all []Allotted) (ownerChanges int) {
	p.teams = make(map[string]Allotted, len(all))
	for _, a := range all {
		if a.Rate > 0 {
			p.teams[a.Team] = a
		}
	}
	return p.UpdateOwners(now)
}

// UpdateOwners starts and ends the buckets of the shares after a change of the owners or the allotments.
func (p *Pool) UpdateOwners(now time.Time) (ownerChanges int) {
	for team, s := range p.buckets {
		a, ok := p.teams[team]
		switch {
		case !ok:
			delete(p.buckets, team)
		case p.owners.Of(team, p.self.Region) != p.self.Instance || !slices.Contains(a.Regions, p.self.Region):
			p.fill(now, s)
			p.former[team] = lot{amount: s.level, at: now}
			delete(p.buckets, team)
			ownerChanges++
		case !a.equal(s.allotment):
			p.fill(now, s)
			s.allotment = a
			s.level = min(s.level, p.depth(now, s))
		}
	}
	for team, a := range p.teams {
		if p.buckets[team] != nil || p.owners.Of(team, p.self.Region) != p.self.Instance || !slices.Contains(a.Regions, p.self.Region) {
			continue
		}
		p.buckets[team] = &share{
			allotment: a, updatedAt: now, halfUntil: now.Add(newOwnerTime), previous: p.owners.previous(team, p.self),
		}
		delete(p.former, team)
		ownerChanges++
	}
	return ownerChanges
}

// SetCurrent records that the view is that of a current control daemon.
func (p *Pool) SetCurrent(now time.Time) {
	for _, s := range p.buckets {
		p.fill(now, s)
	}
	p.currentAt = now
}

// Leave gives up the shares at a planned stop if another gateway of the region owns them then; what is left of them is for that one.
func (p *Pool) Leave(now time.Time) (ownerChanges int) {
	p.owners.leave(p.self.Instance)
	return p.UpdateOwners(now)
}

// Touch is called several times a second. After a longer pause the process was suspended: another gateway may own its shares, so that
// they start anew.
func (p *Pool) Touch(now time.Time) (suspended bool) {
	suspended = age(p.touchedAt, now) > maxPause
	p.touchedAt = now
	if !suspended {
		return false
	}
	clear(p.former)
	for _, s := range p.buckets {
		s.level, s.updatedAt, s.halfUntil, s.previous = min(s.level, 0), now, now.Add(newOwnerTime), ""
	}
	return true
}

// depth returns what a bucket holds at most: the burst, and room for two large requests as far as the slack allows, without which the remains
// in the regions would often all be too small for a request.
func (p *Pool) depth(now time.Time, s *share) float64 {
	depth := s.allotment.shareBurst()
	if now.Sub(s.largestAt) < time.Minute {
		depth += min(2*s.largest, p.rule.Slack*depthSlackFraction/float64(max(len(s.allotment.Regions), 1)))
	}
	return depth
}

// staleFactor returns the part of the rate at which a bucket fills while the view is not current: half of it, in proportion
// to the gateways of the region that still draw here. The others may have another owner.
func (p *Pool) staleFactor(now time.Time) float64 {
	n := 1
	for gateway, at := range p.contacts {
		if now.Sub(at) > currentViewTime {
			delete(p.contacts, gateway)
		} else if gateway != p.self.Instance {
			n++
		}
	}
	return 0.5 * min(float64(n)/float64(p.owners.inRegion(p.self.Region)), 1)
}

// fill adds to a bucket what it has gained by now.
func (p *Pool) fill(now time.Time, s *share) {
	if !now.After(s.updatedAt) {
		return
	}
	staleFrom := p.currentAt.Add(currentViewTime)
	depth := p.depth(now, s)
	var seconds float64
	from := s.updatedAt
	for from.Before(now) {
		to, factor := now, 1.0
		for _, edge := range []time.Time{s.halfUntil, staleFrom} {
			if edge.After(from) && edge.Before(to) {
				to = edge
			}
		}
		if from.Before(s.halfUntil) {
			factor = 0.5
		}
		if !from.Before(staleFrom) {
			factor = min(factor, p.staleFactor(now))
		}
		seconds += to.Sub(from).Seconds() * factor
		from = to
	}
	s.updatedAt = now
	if s.level < depth {
		s.level = min(s.level+seconds*s.allotment.shareRate(), depth)
	}
	if now.After(staleFrom) {
		s.level = min(s.level, depth*2*p.staleFactor(now))
	}
}

// rate returns the rate at which a bucket fills now.
func (p *Pool) rate(now time.Time, s *share) float64 {
	factor := 1.0
	if now.Before(s.halfUntil) {
		factor = 0.5
	}
	if now.Sub(p.currentAt) > currentViewTime {
		factor = min(factor, p.staleFactor(now))
	}
	return max(s.allotment.shareRate()*factor, 1e-9)
}

// Draw grants an amount, all that is needed or nothing: a part of it would lapse at a gateway that has to refuse its request.
func (p *Pool) Draw(now time.Time, d Draw) Drawn {
	reply := Drawn{Team: d.Team}
	s := p.buckets[d.Team]
	own := d.Region == p.self.Region
	if s == nil {
		reply.Amount = p.drawFormer(now, d)
		reply.NotOwner = d.Needed == 0 || reply.Amount == 0
		return reply
	}
	if !(d.Needed >= 0 && d.Wanted >= d.Needed && d.Demand >= 0) || own && d.Needed == 0 {
		return reply
	}
	p.fill(now, s)
	depth := p.depth(now, s)
	kept := 0.0
	if own {
		p.contacts[d.Gateway] = now
		s.demand.add(now, d.Needed)
		if d.Needed >= s.largest || now.Sub(s.largestAt) > time.Minute {
			s.largest, s.largestAt = d.Needed, now
		}
	} else {
		kept = p.kept(now, s)
	}
	available := s.level - kept
	credit := 0.0
	if d.Needed > depth && s.level >= depth*(1-1e-9) && s.allotment.creditRegion() == p.self.Region {
		credit = p.rule.Slack*creditSlackFraction + p.rule.Overage*s.allotment.Burst/4
	}
	if d.Needed > available+credit {
		reply.Wait = p.wait(now, s, min(d.Needed, depth)-available, d.Needed)
		return reply
	}
	reply.Amount = d.Needed + p.prefetch(d, available, depth)
	s.level -= reply.Amount
	return reply
}

// kept returns what a lender keeps for its own region: what the demand of the last second needs beyond what the bucket gains in a second,
// and the demand until the region's gateways see that it is short.
func (p *Pool) kept(now time.Time, s *share) float64 {
	demand := s.demand.recent(now)
	return max(demand-p.rate(now, s), 0)*balanceTTL.Seconds() + demand*keptTime.Seconds()
}

// prefetch returns what is granted beyond the needed amount: all that is wanted of a bucket that stays half full, and less of another one.
func (p *Pool) prefetch(d Draw, available, depth float64) float64 {
	extra, left := d.Wanted-d.Needed, available-d.Needed
	if d.Needed == 0 {
		return max(min(extra, left), 0)
	}
	if left < depth/2 {
		// A gateway with fewer requests would let the prefetch lapse.
		if extra = min(extra, d.Demand*prefetchTime.Seconds()); extra < 2*d.Needed {
			return 0
		}
		left /= 4
	} else {
		left -= depth / 2
	}
	return max(min(extra, left), 0)
}

// wait returns the time until a missing amount is expected, behind those of recent refusals, and records the refusal.
func (p *Pool) wait(now time.Time, s *share, missing, needed float64) time.Duration {
	rate := p.rate(now, s)
	s.refused = max(s.refused-now.Sub(s.refusedAt).Seconds()*rate, 0)
	seconds := (max(missing, 0) + s.refused) / rate
	s.refused, s.refusedAt = min(s.refused+needed, rate), now
	return max(time.Duration(min(seconds, 60)*float64(time.Second)), minRetryAfter)
}

// drawFormer grants from what is left of a share that this gateway has owned: all of it to the next owner, which needs nothing at once, and
// else what a request needs.
func (p *Pool) drawFormer(now time.Time, d Draw) float64 {
	left, ok := p.former[d.Team]
	if !ok || d.Region != p.self.Region || age(left.at, now) > newOwnerTime {
		delete(p.former, d.Team)
		return 0
	}
	amount := d.Needed
	if d.Needed == 0 && p.owners.Of(d.Team, p.self.Region) == d.Gateway {
		amount = min(left.amount, d.Wanted)
		delete(p.former, d.Team)
	}
	if !(amount > 0 && amount <= left.amount) {
		return 0
	}
	if d.Needed > 0 {
		left.amount -= amount
		p.former[d.Team] = left
	}
	return amount
}

// Handovers returns the draws that ask the previous owners, by name, for what is left of shares that this gateway has become the owner of.
func (p *Pool) Handovers(now time.Time) map[string][]Draw {
	var all map[string][]Draw
	for team, s := range p.buckets {
		if s.previous == "" || !now.Before(s.halfUntil) {
			continue
		}
		if all == nil {
			all = map[string][]Draw{}
		}
		all[s.previous] = append(all[s.previous], Draw{Team: team, Gateway: p.self.Instance, Region: p.self.Region, Wanted: p.depth(now, s)})
	}
	return all
}

// AcceptHandover takes the answer of a previous owner; once it has confirmed that it is not the owner, the bucket fills at the whole rate.
func (p *Pool) AcceptHandover(now, sentAt time.Time, from string, r Drawn) {
	s := p.buckets[r.Team]
	if s == nil || s.previous != from || !r.NotOwner || age(sentAt, now) > maxAnswerAge {
		return
	}
	p.fill(now, s)
	s.previous, s.halfUntil = "", now
	s.level = min(s.level+r.Amount, p.depth(now, s))
}

// Borrow returns the draws from the owners of other regions, by name, that a team's bucket needs ahead of its demand.
func (p *Pool) Borrow(now time.Time, team string) map[string]Draw {
	s := p.buckets[team]
	if s == nil || s.borrowing > 0 || now.Before(s.borrowAt) {
		return nil
	}
	limit := p.borrowLimit(now, s)
	if s.level >= limit/2 {
		return nil
	}
	lenders := map[string]Draw{}
	for _, region := range s.allotment.Regions {
		if owner := p.owners.Of(team, region); region != p.self.Region && owner != "" {
			lenders[owner] = Draw{Team: team, Gateway: p.self.Instance, Region: p.self.Region, Demand: s.demand.recent(now)}
		}
	}
	for lender, d := range lenders {
		d.Wanted = (limit - s.level) / float64(len(lenders))
		lenders[lender] = d
	}
	s.borrowing = len(lenders)
	return lenders
}

// borrowLimit returns the level up to which an owner borrows: its demand of borrowTime, and a large request.
func (p *Pool) borrowLimit(now time.Time, s *share) float64 {
	return max(min(s.demand.recent(now), s.allotment.Rate)*borrowTime.Seconds(), min(s.largest, p.depth(now, s)))
}

// AcceptBorrow ends a draw from another region's owner; a failed one has a zero answer.
func (p *Pool) AcceptBorrow(now, sentAt time.Time, r Drawn) {
	s := p.buckets[r.Team]
	if s == nil {
		return
	}
	s.borrowing = max(s.borrowing-1, 0)
	if r.Amount <= 0 {
		s.borrowAt = now.Add(minRetryAfter)
		return
	}
	if age(sentAt, now) > maxAnswerAge {
		return
	}
	p.fill(now, s)
	s.level = max(s.level, min(s.level+r.Amount, max(p.depth(now, s), p.borrowLimit(now, s))))
}

// recent returns the demand in units per second over the last second or so.
func (d *demand) recent(now time.Time) float64 { return d.rate(now) }
