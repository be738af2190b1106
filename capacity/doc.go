// Package capacity decides which endpoint of a region serves a request, or that none can in time.
//
// The state of each endpoint holds the work that all gateways of the region have outstanding there. Every gateway
// reports to the others the requests that it has sent and whose end it has not seen, so the sum is the endpoint's load
// except for reports in transit. The expected time to the first chunk of a response follows from it: the prompt tokens
// that wait for prefill, divided by the observed prefill rate of the service's endpoints. Service times are learned
// from responses, for each service and each endpoint.
//
// The decisions are pure functions of the endpoints' state, the time and a random draw. The mutable Window is not safe
// for concurrent use; the learned values are immutable.
//
// In this package, a rank is a priority with 0 the most urgent; uncached tokens are the prompt tokens that an endpoint
// has to prefill because it has not cached them.
package capacity
