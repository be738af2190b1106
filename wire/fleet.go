package wire

import (
	"math"
	"time"

	"arbutusreel/fleet"
	"arbutusreel/wiregen"
)

// remainingUnknown is the remaining time of an endpoint that has announced none.
const remainingUnknown = -1

// EncodeFleetEndpoint returns the message for an endpoint at the time now. Times are sent as ages and remaining times
// because the clocks of two instances may differ.
func EncodeFleetEndpoint(now time.Time, e fleet.Endpoint) *wiregen.EndpointRecord {
	m := &wiregen.EndpointRecord{
		Id: e.ID, Born: e.Born, Sequence: e.Sequence, Service: e.Service, Software: e.Software, Address: e.Address, FailureDomain: e.FailureDomain,
		Slots: int32(e.Slots), State: int32(e.State), RemainingMillis: remainingUnknown, SilentMillis: now.Sub(e.LastSeen).Milliseconds(),
	}
	if e.Cold(now) {
		m.ColdMillis = e.ColdUntil.Sub(now).Milliseconds()
	}
	if !e.TerminatesAt.IsZero() {
		m.RemainingMillis = max(e.TerminatesAt.Sub(now).Milliseconds(), 0)
	}
	return m
}

// DecodeFleetEndpoint returns the endpoint of a message received at the time now.
func DecodeFleetEndpoint(now time.Time, m *wiregen.EndpointRecord) fleet.Endpoint {
	e := fleet.Endpoint{
		ID: m.GetId(), Born: m.GetBorn(), Sequence: m.GetSequence(), Service: m.GetService(), Software: m.GetSoftware(), Address: m.GetAddress(),
		FailureDomain: m.GetFailureDomain(), Slots: int(m.GetSlots()), State: fleet.State(m.GetState()),
		LastSeen: now.Add(-time.Duration(m.GetSilentMillis()) * time.Millisecond),
	}
	if m.GetColdMillis() > 0 {
		e.ColdUntil = now.Add(time.Duration(m.GetColdMillis()) * time.Millisecond)
	}
	if m.GetRemainingMillis() != remainingUnknown {
		e.TerminatesAt = now.Add(time.Duration(m.GetRemainingMillis()) * time.Millisecond)
	}
	return e
}

// EncodeGateway returns the report for a gateway.
func EncodeGateway(g fleet.Gateway) *wiregen.GatewayReport {
	return &wiregen.GatewayReport{
		Name: g.Name, CallerAddress: g.CallerAddress, LoadAddress: g.LoadAddress, ForwardAddress: g.ForwardAddress,
		FailureDomain: g.FailureDomain, Region: g.Region, Ready: g.Ready, Lingering: g.Lingering, Closing: g.Closing, Stranded: g.Stranded, Born: g.Born, Sequence: g.Sequence,
		Weight: g.Weight, InFlight: int32(min(g.InFlight, math.MaxInt32)),
	}
}

// DecodeGateway returns the gateway of a report that was current at the time at. An invalid weight counts as unknown.
func DecodeGateway(at time.Time, m *wiregen.GatewayReport) fleet.Gateway {
	weight := m.GetWeight()
	if !(weight > 0) || math.IsInf(weight, 0) {
		weight = 0
	}
	return fleet.Gateway{
		Weight: weight, InFlight: int(max(m.GetInFlight(), 0)),
		Name: m.GetName(), CallerAddress: m.GetCallerAddress(), LoadAddress: m.GetLoadAddress(), ForwardAddress: m.GetForwardAddress(),
		FailureDomain: m.GetFailureDomain(), Region: m.GetRegion(), Ready: m.GetReady(), Lingering: m.GetLingering(), Closing: m.GetClosing(), Stranded: m.GetStranded(),
		Born: m.GetBorn(), Sequence: m.GetSequence(), LastSeen: at,
	}
}
