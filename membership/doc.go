// Package membership keeps what is known of endpoints, of the system's own entries and of other regions.
//
// Endpoints announce themselves under short leases; a higher incarnation or,
// within it, a higher sequence replaces what was known. The package is pure:
// the time is passed in, and nothing in it blocks.
package membership
