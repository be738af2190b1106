package acceptor

import "errors"

// errHeadTooLarge is the error of reads from a connection whose head was refused.
var errHeadTooLarge = errors.New("the head of the request is too large")
