// Package crash finds out which requests, or parts of their prompts, crash endpoints, from what all gateways saw.
//
// All requests of an endpoint fail when it crashes, so that a single crash does not show which of them caused it. A gateway
// reports the requests whose answers had not begun: the shared parts of each prompt, and an identifier that only the repeats
// of the request have. A part or a request under which an answer has begun anywhere is sound. One that is not, and that
// several crashes have in common, is blocked.
//
// Reports and sound parts need no sender, sequence or order: what two gateways know is merged by union, and both draw the
// same conclusions from it.
//
// The package is pure: the time is passed in. Its types are not safe for concurrent use.
package crash
