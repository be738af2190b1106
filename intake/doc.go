// Package intake decides which connections a process keeps when clients open too many of them, or when the heads of
// their requests take too much memory.
//
// A Register holds the open connections in the order in which they are given up: first those that have not sent a whole
// request, the oldest first; then those that are idle between two requests; and then those with a request in progress
// whose client does not read. Other connections with a request in progress are never given up, so that a crowd of
// clients that send nothing useful does not keep ordinary callers out.
//
// The package is pure: it holds no sockets and no clock, and a Register must be used by one goroutine at a time.
package intake
