// Package calls runs calls that must not be repeated, each at most once.
//
// A call is claimed on a majority of the region's ledger replicas before its first byte is sent, and its ending is
// agreed on by a majority afterwards. A call in doubt, which may have run without an answer, is never sent again; an
// operator settles it. Package ledger implements the protocol; this package adds the network, the journal and the
// clock.
package calls
