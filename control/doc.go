// Package control implements the control daemon, which hosts one voter of the quorum.
//
// It owns the goroutines and the I/O of the voter and holds no policy: package consensus implements the protocol,
// package journal the write-ahead log, package configuration the replicated state, and package relay the distribution
// of accepted inventories to the entries. The consensus node, the disk and the replicated state are accessed by a
// single event loop only; all other goroutines submit functions to it through a bounded queue.
//
// Reports about instances, endpoints, gateways and capacities carry ages instead of times, which the receiver subtracts
// from its own clock. Failures of operators' requests that have an HTTP status are of type *problem.Problem.
package control
