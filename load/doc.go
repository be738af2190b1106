// Package load generates requests to the gateway at a constant mean rate, verifies each answer, and tabulates the
// results.
package load
