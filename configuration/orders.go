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
	decisions   evacuationDecisions
}

// RestoreOrders returns the orders after the log entry at an index, with a document and evacuations, whose domains may be unsorted and
// repeated.
func RestoreOrders(index int64, d Document, e Evacuations) Orders {
	return Orders{document: d, evacuations: Evacuations{Index: e.Index, Domains: sortedDomains(e.Domains)}, decisions: evacuationDecisions{floor: index}}
}

func sortedDomains(domains []string) []string {
	sorted := slices.Clone(domains)
	slices.Sort(sorted)
	return slices.Compact(sorted)
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
	o.document = d
	return o
}

// WithEvacuation returns the orders with a failure domain evacuated by the log entry at an index.
func (o Orders) WithEvacuation(index int64, domain string) Orders {
	o.decisions = o.decisions.with(index, domain)
	if slices.Contains(o.evacuations.Domains, domain) {
		return o
	}
	o.evacuations = Evacuations{Index: index, Domains: sortedDomains(append(slices.Clone(o.evacuations.Domains), domain))}
	return o
}

// WithoutEvacuation returns the orders with the evacuation of a failure domain withdrawn by the log entry at an index.
func (o Orders) WithoutEvacuation(index int64, domain string) Orders {
	o.decisions = o.decisions.with(index, domain)
	if !slices.Contains(o.evacuations.Domains, domain) {
		return o
	}
	without := slices.DeleteFunc(slices.Clone(o.evacuations.Domains), func(d string) bool { return d == domain })
	o.evacuations = Evacuations{Index: index, Domains: without}
	return o
}

// CheckEvacuation returns *OutdatedOrderError for an order about a failure domain that would undo a decision about it after the known
// index, which is that of the last log entry that was decided before the order was sent.
func (o Orders) CheckEvacuation(known int64, domain string, withdrawn bool) error {
	if undoes := slices.Contains(o.evacuations.Domains, domain) == withdrawn; !undoes {
		return nil
	}
	if decided := o.decisions.last(domain); known < decided {
		return &OutdatedOrderError{Domain: domain, Known: known, Decided: decided}
	}
	return nil
}
