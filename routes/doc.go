// Package routes is the operators' routing configuration: which service handles a request, and under which limits.
//
// A route is selected by host and by the longest path prefix. A Table is immutable; New checks all of it and returns
// every fault at once, so that a table that exists is valid.
package routes
