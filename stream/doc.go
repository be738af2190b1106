// Package stream carries the tokens of one answer from an endpoint to a caller, in order and each exactly once.
//
// A piece belongs to one request, attempt and position. Positions begin at
// zero and have no gaps; an answer is complete only if its End was received
// after all of its pieces.
package stream
