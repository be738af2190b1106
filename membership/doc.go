// Package membership holds the known state of endpoints, of the system's own entries and of other regions.
//
// Endpoints announce themselves under short leases. An announcement with a
// higher incarnation or, within the same incarnation, a higher sequence
// replaces the known state. Instances exchange their state by gossip: Gossip
// holds the items of all origins and sends differences only. The package does
// no input or output: the time is passed in, and nothing in it blocks.
package membership
