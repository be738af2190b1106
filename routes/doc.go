// Package routes provides the operators' routing configuration: which service handles a request, and under which
// limits.
//
// A route is selected by host and by the longest path prefix. A Table is immutable; New validates the whole
// configuration and returns all faults at once, so that every Table is valid.
package routes
