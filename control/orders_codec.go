package control

import (
	"arbutusreel/configuration"
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

// encodeOrders returns nil for the state before the first order, so that equal states have equal encodings.
func encodeOrders(o configuration.Orders) *wiregen.FleetSnapshot {
	evacuations := o.Evacuations()
	if o.Document().Version == 0 && evacuations.Index == 0 {
		return nil
	}
	return &wiregen.FleetSnapshot{Document: encodeDocument(o.Document()), Evacuated: evacuations.Domains, EvacuationsIndex: &evacuations.Index}
}

// decodeOrders returns the orders of a snapshot that includes the log up to an index, which stands in for the index that
// snapshots of earlier versions lack.
func decodeOrders(index int64, m *wiregen.FleetSnapshot) configuration.Orders {
	if m == nil {
		return configuration.Orders{}
	}
	e := configuration.Evacuations{Index: index, Domains: m.GetEvacuated()}
	if m.EvacuationsIndex != nil {
		e.Index = m.GetEvacuationsIndex()
	}
	return configuration.RestoreOrders(decodeDocument(m.GetDocument()), e)
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
