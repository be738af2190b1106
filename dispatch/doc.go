// Package dispatch carries a validated request to an endpoint and returns its answer.
//
// It applies residency, routing, retries and team limits. A request crosses
// regions at most once and never visits an instance twice.
package dispatch
