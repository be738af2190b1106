// Package dispatch takes a checked request to an endpoint and its answer back.
//
// It joins the decisions: residency, routing, retry and the limits. A request
// crosses regions at most once and never visits an instance twice.
package dispatch
