// Package routing chooses the endpoint that runs a request, or another region if the local one lacks capacity.
//
// A Chooser keeps one table of candidates for each service and model. It corrects the load that an endpoint reported by
// the requests that the chooser itself has started and ended since the time of the report, scores a random sample of
// the candidates, and takes the best (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
// Candidates that probably hold the longest cached prefix of the prompt are scored in addition to the sample.
//
// The package does no I/O and reads no clock: the time and the random source are passed in. Its types are not safe for
// concurrent use. In this package, own requests are those that this chooser has started, and others' requests are those
// that the other instances of the region have started.
package routing
