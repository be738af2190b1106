package control

import (
	"time"

	"arbutusreel/fleet"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

func encodeEndpoints(now time.Time, endpoints []fleet.Endpoint) []*wiregen.EndpointRecord {
	var all []*wiregen.EndpointRecord
	for _, e := range endpoints {
		all = append(all, wire.EncodeFleetEndpoint(now, e))
	}
	return all
}

func encodeGateways(now time.Time, changes []fleet.GatewayChange) []*wiregen.GatewayRecord {
	var all []*wiregen.GatewayRecord
	for _, g := range changes {
		all = append(all, &wiregen.GatewayRecord{Report: wire.EncodeGateway(g.Gateway), Gone: g.Gone, SilentMillis: now.Sub(g.Gateway.LastSeen).Milliseconds()})
	}
	return all
}
