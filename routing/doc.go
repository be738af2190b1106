// Package routing chooses the endpoint that runs a request, and the region if its own region lacks capacity.
//
// A Chooser keeps one table of candidates for each service and model. It
// corrects the load that an endpoint reported by the requests that the chooser
// itself has begun and ended since the report was true, scores a random sample
// of the candidates, and takes the best (Mitzenmacher, "The power of two
// choices in randomized load balancing", 2001). Candidates that probably hold
// the longest cached prefix of the prompt are scored besides the sample. The
// package is pure: the time and the random source are passed in. Its types are
// not safe for concurrent use.
package routing
