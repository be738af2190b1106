// Package entry implements the entry daemon, which serves callers: it authenticates them, accepts announcements of
// endpoints, dispatches requests, and exchanges state with the other entries.
//
// The daemon owns goroutines, connections and I/O and holds no policy. Each goroutine has one task and ends when the
// daemon's context ends.
//
// Methods of state whose comment says that the lock is held are called with state.mu locked. Failures that a caller
// receives are of type *problem.Problem.
package entry
