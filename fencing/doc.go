// Package fencing decides when the placement leader may send an order to an engine.
//
// Each order bears a number (term, sequence) that only rises. An engine that
// checks numbers is safe by them. For one that does not, an order goes out
// only inside a leader lease that is still valid at the moment of sending,
// with a deadline after which the engine must not start it, and a new leader
// waits until no order of an old one can be started any more. The package is
// pure: the time is passed in.
package fencing
