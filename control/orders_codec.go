package control

import (
	"arbutusreel/configuration"
	"arbutusreel/fleet"
	"arbutusreel/wiregen"
)

func encodeDocument(d configuration.Document) *wiregen.RouteDocument {
	if d.Version == 0 {
		return nil
	}
	return &wiregen.RouteDocument{Version: d.Version, Content: d.Content}
}

func decodeDocument(m *wiregen.RouteDocument) configuration.Document {
	return configuration.Document{Version: m.GetVersion(), Content: m.GetContent()}
}

// encodeFleet returns nil for the state before the first order and the first departure, so that equal states have equal encodings.
func encodeFleet(o configuration.Orders, l fleet.DepartureLog) *wiregen.FleetSnapshot {
	evacuations, departures := o.Evacuations(), l.All()
	if o.Document().Version == 0 && evacuations.Index == 0 && len(departures) == 0 {
		return nil
	}
	m := &wiregen.FleetSnapshot{Document: encodeDocument(o.Document()), Evacuated: evacuations.Domains, EvacuationsIndex: &evacuations.Index}
	for _, d := range departures {
		m.Departures = append(m.Departures, encodeDeparture(d))
	}
	return m
}

func encodeDeparture(d fleet.LoggedDeparture) *wiregen.LoggedDeparture {
	return &wiregen.LoggedDeparture{Endpoint: d.ID, Born: d.Born, UnixMillis: d.At}
}

func decodeDeparture(m *wiregen.LoggedDeparture) fleet.LoggedDeparture {
	return fleet.LoggedDeparture{Departure: fleet.Departure{ID: m.GetEndpoint(), Born: m.GetBorn()}, At: m.GetUnixMillis()}
}

func decodeDepartures(m *wiregen.FleetSnapshot) fleet.DepartureLog {
	var departures []fleet.LoggedDeparture
	for _, d := range m.GetDepartures() {
		departures = append(departures, decodeDeparture(d))
	}
	return fleet.RestoreDepartureLog(departures)
}

// decodeOrders returns the orders of a snapshot that includes the log up to an index, which stands in for the index that
// snapshots of earlier versions lack.
func decodeOrders(index int64, m *wiregen.FleetSnapshot) configuration.Orders {
	e := configuration.Evacuations{Index: index, Domains: m.GetEvacuated()}
	if m == nil || m.EvacuationsIndex != nil {
		e.Index = m.GetEvacuationsIndex()
	}
	return configuration.RestoreOrders(index, decodeDocument(m.GetDocument()), e)
}

// applyOrder returns the orders with the order of the log entry at an index applied.
func applyOrder(index int64, o configuration.Orders, m *wiregen.FleetOrder) configuration.Orders {
	if m.GetDocument() != nil {
		o = o.WithDocument(decodeDocument(m.GetDocument()))
	}
	if e := m.GetEvacuation(); e != nil && e.GetWithdrawn() {
		return o.WithoutEvacuation(index, e.GetFailureDomain())
	} else if e != nil {
		return o.WithEvacuation(index, e.GetFailureDomain())
	}
	return o
}
