// Package calls runs calls that may not be repeated, each at most once.
//
// A call is claimed in the ledger before its first byte is sent, and its
// outcome is recorded after. A call in doubt is never sent again.
package calls
