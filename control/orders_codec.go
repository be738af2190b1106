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
	evacuated := o.Evacuated()
	if o.Document().Version == 0 && len(evacuated) == 0 {
		return nil
	}
	return &wiregen.FleetSnapshot{Document: encodeDocument(o.Document()), Evacuated: evacuated}
}

func decodeOrders(m *wiregen.FleetSnapshot) configuration.Orders {
	return configuration.RestoreOrders(decodeDocument(m.GetDocument()), m.GetEvacuated())
}

// applyOrder returns the orders with one order of the log applied.
func applyOrder(o configuration.Orders, m *wiregen.FleetOrder) configuration.Orders {
	if m.GetDocument() != nil {
		o = o.WithDocument(decodeDocument(m.GetDocument()))
	}
	if e := m.GetEvacuation(); e != nil && e.GetWithdrawn() {
		return o.WithoutEvacuation(e.GetFailureDomain())
	} else if e != nil {
		return o.WithEvacuation(e.GetFailureDomain())
	}
	return o
}
