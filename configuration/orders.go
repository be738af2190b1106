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
	document  Document
	evacuated []string
}

// RestoreOrders returns the orders with a document and the evacuated failure domains, which may be unsorted and
// repeated.
func RestoreOrders(d Document, evacuated []string) Orders {
	sorted := slices.Clone(evacuated)
	slices.Sort(sorted)
	return Orders{document: d, evacuated: slices.Compact(sorted)}
}

// Document returns the document with the highest version so far; its version is zero if there was none.
func (o Orders) Document() Document { return o.document }

// Evacuated returns the evacuated failure domains, sorted by name.
func (o Orders) Evacuated() []string { return slices.Clone(o.evacuated) }

// WithDocument returns the orders with d in force. A document whose version is not higher than the current one is
// ignored, whatever its content.
func (o Orders) WithDocument(d Document) Orders {
	if d.Version <= o.document.Version {
		return o
	}
	return Orders{document: d, evacuated: o.evacuated}
}

// WithEvacuation returns the orders with a failure domain evacuated.
func (o Orders) WithEvacuation(domain string) Orders {
	return RestoreOrders(o.document, append(slices.Clone(o.evacuated), domain))
}

// WithoutEvacuation returns the orders with the evacuation of a failure domain withdrawn.
func (o Orders) WithoutEvacuation(domain string) Orders {
	without := slices.DeleteFunc(slices.Clone(o.evacuated), func(d string) bool { return d == domain })
	return Orders{document: o.document, evacuated: without}
}
