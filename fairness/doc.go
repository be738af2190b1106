// Package fairness decides whose requests go first while a region is short of capacity: it sums the recent tokens of teams over
// gateways, computes max-min fair shares within each priority, and refuses or defers teams above their share while others below
// theirs are refused. It is pure: state, event and time in, decision out.
package fairness
