// Package stream carries the tokens of one answer, in order and each once, from an endpoint to a caller.
//
// A piece belongs to one request, attempt and position. Positions begin at
// zero and have no gaps; an answer is whole only if its End was received
// after all of its pieces.
package stream
