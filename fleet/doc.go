// Package fleet provides the tables of endpoints and gateways that control daemons and gateways keep.
//
// There is no static membership list: an endpoint sends heartbeats to any control daemon, and a gateway keeps a
// session with one. A record is replaced only by one of a later incarnation, or by a later heartbeat of the same
// incarnation, so that a delayed heartbeat cannot overwrite newer state. An endpoint that has left keeps a record in
// state Gone, since a late heartbeat would otherwise restore it. Tables number their changes; Since returns the
// records that changed after a given change, from which deltas are built.
//
// The package is pure: the time is passed in. Its types are not safe for concurrent use.
package fleet
