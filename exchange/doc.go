// Package exchange sends requests to endpoints over HTTP/1.1 and reports the outcome of each.
//
// Each failure states whether the request certainly did not run or may have run; no request is ever sent twice. The
// package manages its own connections: net/http's Transport does not reveal whether bytes of a request were sent, nor
// whether a response on a reused connection belongs to the request, and it sends some requests again by itself.
// Pool and Transport read responses in the same way: the lines of heads and trailers are checked before net/http decodes
// them, and a body ends where its head says, or with an orderly end of its connection. In a Pool, a response is matched to
// its request by the identifier that the endpoint echoes, never by its order.
package exchange
