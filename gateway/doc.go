// Package gateway is the process between callers and endpoints: it matches a request to a route, places it at an
// endpoint of its region or passes it on to a gateway of another one, and carries the answer back.
//
// A request crosses regions at most once, and only into regions that its route allows. A failure carries what is known
// of the request's outcome from the socket to the status: only a request that surely has not run is answered as such.
// Decisions are made by placer, which does no I/O, from a view that the session with a control daemon keeps; the names
// of headers belong to the Dialect.
package gateway
