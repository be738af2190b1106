// Package acceptor accepts the connections of a process's HTTP servers within the bounds of package intake.
//
// All servers of a process share one Acceptor: New creates it, Listener wraps each listener, and Configure prepares each
// server. A connection that has to yield is closed; an HTTP server then sees that its client has left.
package acceptor
