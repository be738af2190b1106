// Package exchange sends a request to an endpoint over HTTP/1.1 and tells what became of it.
//
// Each failure says whether the request was surely not run or may have run; nothing is ever sent twice. The package
// keeps its own connections, since whether bytes of a request left, and whether an answer on a kept connection belongs
// to it, cannot be learned from net/http's Transport, which also sends some requests again. Messages are read and
// written by net/http's codecs. An answer is matched by the identifier that the endpoint echoes, never by its order.
package exchange
