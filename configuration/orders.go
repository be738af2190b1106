package configuration

import (
	"slices"
)

// Document is the operators' routing configuration: its version and its unmodified content.
type Document struct {
	Version int64
	Content []byte
}

// Orders is the replicated state of the operators' orders that are applied without an expected revision: the newest
// document and the evacuated failure domains. It is immutable.
type Orders struct {
	document    Document
	evacuations Evacuations
}

// RestoreOrders returns the orders with a document and evacuations, whose domains may be unsorted and repeated.
func RestoreOrders(d Document, e Evacuations) Orders {
	sorted := slices.Clone(e.Domains)
	slices.Sort(sorted)
	return Orders{document: d, evacuations: Evacuations{Index: e.Index, Domains: slices.Compact(sorted)}}
}

// Document returns the document with the highest version so far; its version is zero if there was none.
func (o Orders) Document() Document { return o.document }

// Evacuations returns the evacuated failure domains and the index of their last change.
func (o Orders) Evacuations() Evacuations {
	return Evacuations{Index: o.evacuations.Index, Domains: slices.Clone(o.evacuations.Domains)}
}

// WithDocument returns the orders with d in force. A document whose version is not higher than the current one is
// ignored, whatever its content.
func (o Orders) WithDocument(d Document) Orders {
	if d.Version <= o.document.Version {
		return o
	}
	return Orders{document: d, evacuations: o.evacuations}
}

// WithEvacuation returns the orders with a failure domain evacuated by the log entry at an index.
func (o Orders) WithEvacuation(index int64, domain string) Orders {
	if slices.Contains(o.evacuations.Domains, domain) {
		return o
	}
	return RestoreOrders(o.document, Evacuations{Index: index, Domains: append(slices.Clone(o.evacuations.Domains), domain)})
}

// WithoutEvacuation returns the orders with the evacuation of a failure domain withdrawn by the log entry at an index.
func (o Orders) WithoutEvacuation(index int64, domain string) Orders {
	if !slices.Contains(o.evacuations.Domains, domain) {
		return o
	}
	without := slices.DeleteFunc(slices.Clone(o.evacuations.Domains), func(d string) bool { return d == domain })
	return Orders{document: o.document, evacuations: Evacuations{Index: index, Domains: without}}
}
