package gateway

import (
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
	"arbutusreel/retry"
	"arbutusreel/routes"
	"arbutusreel/wiregen"
)

const (
	// regionSentMemory is how long what was sent to a region counts against the room that it told before.
	regionSentMemory = time.Second
	// crossAdvantage is the time that a request must gain to leave its region although it would be on time here: it pays for
	// what was told of the other region being a few hundred milliseconds old. Where a region is short of capacity its
	// backlog slows every stream in it, long before the first pieces are late.
	crossAdvantage = 60 * time.Millisecond
	// noLocalEndpoint is the expected time where a region has no endpoint for a request.
	noLocalEndpoint = time.Hour
)

// cross returns a gateway of another region, if a request is served earlier there.
func (p *placer) cross(now time.Time, v *view, q query, speed capacity.Speed, here place) (place, bool) {
	open := p.openGateways(now, v, q)
	there, ok := capacity.Cross(p.roomsOf(now, v, q, open), q.work, speed, p.cfg.Detour, here.cost)
	if !ok && here.expected == noLocalEndpoint {
		there.Region, ok = p.blindRegion(now, v, q, open)
		there.Expected = speed.Base + p.cfg.Detour
		there.Late = there.Expected
	}
	verdict := capacity.Admit(there.Expected, there.Late, q.asked)
	if !ok || !worthCrossing(here, there.Cost, verdict) {
		return place{}, false
	}
	g := open[there.Region][p.rng.IntN(len(open[there.Region]))]
	p.sent[there.Region] = append(p.sent[there.Region], sentTokens{at: now, tokens: q.work.PromptTokens + 1})
	return place{
		verdict: verdict, gateway: g, region: there.Region, expected: there.Expected, cost: there.Cost, probe: p.gateways.Begin(now, g.Name),
		regionProbe: p.regions.Begin(now, there.Region),
	}, true
}

// worthCrossing reports whether a request goes to another region, at a cost and with a verdict there.
func worthCrossing(here place, cost time.Duration, verdict capacity.Verdict) bool {
	switch here.verdict {
	case capacity.Take:
		return verdict == capacity.Take && cost+crossAdvantage <= here.cost
	case capacity.TakeLate:
		return verdict == capacity.Take
	default:
		return verdict != capacity.Refuse
	}
}

// openGateways returns the gateways of other regions that may be asked, by region.
func (p *placer) openGateways(now time.Time, v *view, q query) map[string][]fleet.Gateway {
	open := map[string][]fleet.Gateway{}
	for _, g := range v.gateways {
		if g.Region == p.cfg.Region || !g.Ready || !q.route.Allows(g.Region) || q.tried[g.Name] || q.tried[g.Region] ||
			!p.regions.Allows(now, g.Region) || !p.gateways.Allows(now, g.Name) {
			continue
		}
		open[g.Region] = append(open[g.Region], g)
	}
	return open
}

// roomsOf returns what regions told of the room for a service.
func (p *placer) roomsOf(now time.Time, v *view, q query, open map[string][]fleet.Gateway) []capacity.Room {
	var rooms []capacity.Room
	for region := range open {
		told := v.rooms[region]
		if room, ok := told.services[q.service.Name]; ok {
			room.Age = now.Sub(told.heard)
			room.Sent = p.sentTo(now, region)
			rooms = append(rooms, room)
		}
	}
	return rooms
}

// blindRegion returns a region that has told nothing of its room lately, or false if all of them told that they are full.
func (p *placer) blindRegion(now time.Time, v *view, q query, regions map[string][]fleet.Gateway) (string, bool) {
	var silent []string
	for region := range regions {
		room, told := v.rooms[region].services[q.service.Name]
		room.Age = now.Sub(v.rooms[region].heard)
		if !told || !room.Current() {
			silent = append(silent, region)
		}
	}
	if len(silent) == 0 {
		return "", false
	}
	return silent[p.rng.IntN(len(silent))], true
}

func (p *placer) sentTo(now time.Time, region string) int64 {
	var kept []sentTokens
	var total int64
	for _, s := range p.sent[region] {
		if now.Sub(s.at) < regionSentMemory {
			kept = append(kept, s)
			total += s.tokens
		}
	}
	p.sent[region] = kept
	return total
}

// room returns what this region's endpoints have left to give, by service.
func (p *placer) room(now time.Time, v *view) []*wiregen.ServiceRoom {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*wiregen.ServiceRoom
	if v.table == nil {
		return nil
	}
	for name, endpoints := range v.endpoints {
		service := v.table.Service(name)
		if service == nil {
			continue
		}
		all = append(all, p.serviceRoom(now, v, service, endpoints))
	}
	return all
}

const permille = 1000

// roomObjective is the expected time up to which an endpoint counts as having room, the longest objective of the
// deployments' routes. Whether a request that crosses is on time is decided from the wait that is told along.
const roomObjective = time.Second

func (p *placer) serviceRoom(now time.Time, v *view, service *routes.Service, endpoints []fleet.Endpoint) *wiregen.ServiceRoom {
	p.sweep(now)
	speed := p.speedNow(now, v, service.Name)
	m := &wiregen.ServiceRoom{Service: service.Name}
	for range capacity.Ranks {
		m.WaitMillis = append(m.WaitMillis, noLocalEndpoint.Milliseconds())
	}
	busy := 0.0
	for i := range endpoints {
		e := &endpoints[i]
		s := p.state(e)
		if p.breakers.State(now, e.ID) != retry.Closed || p.isCold(e, s, now) || !e.GoneAt.IsZero() {
			continue
		}
		peers := p.peerSum(now, e.ID)
		if s.outcomes.Plus(now, peers.outcomes).Failing(now) > capacity.FailingShare {
			continue
		}
		c := capacity.Candidate{ID: e.ID, Outstanding: s.own.Plus(peers.outstanding), Health: s.health, Slots: e.Slots}
		if service.Engine != nil {
			c.Memory = service.Engine.CacheTokens
		}
		for rank := range capacity.Ranks {
			wait := capacity.Expected(c, capacity.Work{Rank: rank}, 0, speed).Wait
			m.WaitMillis[rank] = min(m.WaitMillis[rank], wait.Milliseconds())
		}
		last := capacity.Expected(c, capacity.Work{Rank: capacity.Ranks - 1}, 0, speed)
		m.Endpoints++
		busy += s.busy(now, speed, peers)
		if !last.Full && last.Wait < roomObjective {
			tokens := int64(roomObjective-last.Wait) / int64(max(speed.Token, 1))
			if c.Memory > 0 {
				tokens = min(tokens, c.Memory-c.Outstanding.HeldTokens)
			}
			m.PromptTokens += max(tokens, 0)
		}
	}
	m.BusyPermille = int32(permille * busy / float64(max(m.Endpoints, 1)))
	return m
}

// roomsTold forgets what was sent to regions before they told their room again. One that was not heard of for a while, and
// is now, is tried again; their names are returned.
func (p *placer) roomsTold(now time.Time, v *view, rooms []*wiregen.RegionRoom) (regained []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range rooms {
		before := capacity.Room{Age: now.Sub(v.rooms[m.GetRegion()].heard)}
		if now := (capacity.Room{Age: time.Duration(m.GetAgeMillis()) * time.Millisecond}); !before.Current() && now.Current() {
			regained = append(regained, m.GetRegion())
			p.regions.Forget(m.GetRegion())
			for _, g := range v.gateways {
				if g.Region == m.GetRegion() {
					p.gateways.Forget(g.Name)
				}
			}
		}
		// A request that crossed just before the room was told is not in it yet.
		told := now.Add(-time.Duration(m.GetAgeMillis())*time.Millisecond - p.cfg.Detour)
		var kept []sentTokens
		for _, s := range p.sent[m.GetRegion()] {
			if s.at.After(told) {
				kept = append(kept, s)
			}
		}
		p.sent[m.GetRegion()] = kept
	}
	return regained
}
