// Package fleet is what control daemons and gateways know of endpoints and gateways that announce themselves.
//
// Nobody keeps a list: an endpoint sends heartbeats to any control daemon, and a gateway keeps a session with one. A
// record is replaced only by one of a later incarnation, or by a later heartbeat of the same one, so that a heartbeat
// that was held up on its way takes nothing back. An endpoint that has left stays known as gone, since a late heartbeat
// would otherwise bring it back. Tables number their changes; Since returns what has changed, for deltas.
//
// The package is pure: the time is passed in. Its types are not safe for concurrent use.
package fleet
