package gateway

import (
	"time"

	"arbutusreel/capacity"
	"arbutusreel/fleet"
)

// plainCandidates returns the endpoint without an engine that a request is sent to if its service's endpoints are nearly full, or
// none if the last free slots are left to other requests. It returns all candidates if the endpoints have room, or no number of slots.
func (p *placer) plainCandidates(
	now time.Time, q query, local []capacity.Candidate, endpoints []*fleet.Endpoint, held *withheld,
) ([]capacity.Candidate, []*fleet.Endpoint) {
	if !p.cfg.DrawPlain || q.service.Engine != nil || q.mustPlace || len(local) == 0 {
		return local, endpoints
	}
	name := q.service.Name
	room := capacity.PlainRoom{Hold: p.speed(name).SlotTime, Gateways: max(len(p.shareHolders), 1)}
	rooms := make([]float64, len(local))
	for i, c := range local {
		if c.Slots == 0 {
			return local, endpoints
		}
		report := p.states[c.ID].plain
		places := report.Places(c.Slots, room.Hold, q.route.Objective)
		room.Slots, room.Places, room.Outstanding = room.Slots+c.Slots, room.Places+places, room.Outstanding+c.Outstanding.Requests
		rooms[i] = report.Room(now, c.Outstanding.Requests, places)
	}
	demand := p.plainDemands[name].With(now)
	p.plainDemands[name] = demand
	if !room.NearFull() {
		return local, endpoints
	}
	i, ok := capacity.ChoosePlain(rooms, p.rng.Float64()), false
	if i >= 0 && (len(q.tried) == 0 || !room.Full()) {
		demand, ok = demand.Deal(room.Share(demand.Rate(now)))
		p.plainDemands[name] = demand
	}
	if !ok {
		held.full = len(local)
		return local[:0], endpoints[:0]
	}
	return local[i : i+1], endpoints[i : i+1]
}

// recordPlainLoad records an endpoint's own report of its load.
func (s *endpointState) recordPlainLoad(now time.Time, v Verdict) {
	if v.Load.Known {
		s.plain = s.plain.With(now, v.Load.Running+v.Load.Waiting, v.Load.Slots, v.Rejected)
	}
}
