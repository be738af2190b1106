package gateway

import "arbutusreel/fleet"

// trackedEndpoints holds what decisions about a service's endpoints look up: the look-ups by ID took a fifth of a decision. It is keyed
// by the list of endpoints, which is never changed in place, and by the generations of the states and the sums.
type trackedEndpoints struct {
	list                           *fleet.Endpoint
	stateGeneration, sumGeneration int
	endpoints                      []trackedEndpoint
}

// trackedEndpoint holds what this gateway tracks of an endpoint, and the load of the others there.
type trackedEndpoint struct {
	state *endpointState
	peers *endpointLoad
}

// trackedEndpoints returns what is tracked of the listed endpoints of a service, in their order.
func (p *placer) trackedEndpoints(service string, listed []fleet.Endpoint) *trackedEndpoints {
	t := p.tracked[service]
	if t == nil {
		t = &trackedEndpoints{}
		p.tracked[service] = t
	}
	if len(listed) == 0 {
		*t = trackedEndpoints{}
		return t
	}
	if t.list == &listed[0] && len(t.endpoints) == len(listed) && t.stateGeneration == p.stateGeneration && t.sumGeneration == p.peers.generation {
		return t
	}
	t.list, t.endpoints = &listed[0], t.endpoints[:0]
	for i := range listed {
		e := &listed[i]
		t.endpoints = append(t.endpoints, trackedEndpoint{state: p.state(e), peers: p.peers.sum(e.ID)})
	}
	t.stateGeneration, t.sumGeneration = p.stateGeneration, p.peers.generation
	return t
}
