// Package calls runs calls that may not be repeated, each at most once.
//
// A call is claimed on a majority of the region's ledger replicas before its
// first byte is sent, and its ending is agreed on a majority after. A call in
// doubt is never sent again; operators settle it.
package calls
