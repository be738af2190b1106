// Package origin keeps records of what began streams: the service and the software version of the endpoint that sent the
// first event. A stream may go on only at endpoints of that version, and the caller that takes it up again may come to
// any gateway.
//
// A record needs no sender, sequence or order: the first origin of a key stays, and adding it again changes nothing. So
// records of many gateways are merged into batches by origin, and may be sent twice.
//
// The package is pure: the time is passed in. Its types are not safe for concurrent use.
package origin
