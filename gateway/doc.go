// Package gateway implements the daemon between callers and endpoints: it matches a request to a route, places it at an
// endpoint of its region or forwards it to a gateway of another one, and relays the answer. A gateway that reaches no endpoint
// hands its requests to gateways of its region that do.
//
// A request from another gateway goes no further than an endpoint. Requests cross regions only into those that their routes allow. Every failure carries the known
// outcome of the request from the socket to the status: only a request that certainly has not run is reported as not
// run. The placer makes the decisions without I/O, from a view that the session with a control daemon keeps up to date.
// The names of headers are defined by the HeaderCodec.
package gateway
