// Package retry decides whether and when a failed request is retried, and which endpoints are avoided.
//
// A retry needs a request that may be repeated, time before its deadline, and
// budget: retries are at most a share of first attempts, so that a fault does
// not multiply the load. A circuit breaker keeps requests from an endpoint that
// fails repeatedly, and lets one probe through at a time before it closes. The
// package is pure: the time and the random source are passed in. Its types are
// not safe for concurrent use.
package retry
