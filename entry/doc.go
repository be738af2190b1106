// Package entry is the daemon that serves callers: it authenticates them, takes announcements of endpoints,
// dispatches requests, and joins the other entries.
//
// The daemon owns goroutines, connections and I/O, and holds no policy. Each
// goroutine has one duty and ends when the daemon's context ends.
package entry
