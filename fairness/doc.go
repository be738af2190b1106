// Package fairness decides whose requests go first while a service of a region is short of capacity: it sums the recent tokens of teams
// over gateways, computes max-min fair shares within each priority, orders the requests of a priority by slack and tokens, refuses those
// that go behind, and says when their callers may return. It is pure: state, event and time in, decision out.
package fairness
