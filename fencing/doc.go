// Package fencing decides when the placement leader may send an order to an engine.
//
// Each order carries a fencing token, the number (term, sequence), which only
// rises. Engines that check it reject the orders of former leaders. For any
// other engine, an order is sent only under a leader lease that is still valid
// at the moment of sending, with a deadline after which the engine must not
// start it, and a new leader waits until no order of a former one can start any
// more. The package is pure: the time is passed in.
package fencing
