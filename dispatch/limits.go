package dispatch

import "time"

// Periods and limits of a dispatcher.
const (
	// retryAfterNoCapacity is when a caller may come back if no endpoint is known.
	retryAfterNoCapacity = time.Second
	// refreshPeriod is the age at which the known endpoints and regions are read again.
	refreshPeriod = 50 * time.Millisecond
	// learningTime is how long after its start an instance waits for endpoints that it has not heard of.
	learningTime = 3 * time.Second
	// waitPeriod is the period at which a waiting request looks at its state again.
	waitPeriod = 50 * time.Millisecond
	// minShortage is how long requests must have waited for endpoints before a region that has them sends others away,
	// so that a stale report is no reason.
	minShortage = 500 * time.Millisecond
	// preferredShare is the share of the requests that may leave for a better region although the own one could serve
	// them, and maxPreferred the number of them at once.
	preferredShare = 0.015
	maxPreferred   = 8
	// piecesPerUse is the number of pieces after which a reservation is trued up.
	piecesPerUse = 16
	// patienceQuantile is the quantile of learned use that must fit into the patience of a request.
	patienceQuantile = 0.9
	// wireBytesPerToken estimates the bytes that a token takes between regions.
	wireBytesPerToken = 24
	// wireBytesPerRequest estimates the bytes of a forwarded request besides its body and answer.
	wireBytesPerRequest = 512
)

// Limits of an attempt that makes no progress.
const (
	// firstPieceFactor bounds the time to the first piece by that many times the expected one.
	firstPieceFactor = 4
	minFirstPiece    = 5 * time.Second
	maxStall         = 3 * time.Second
	// unknownShare is the part of the time left that the first piece may take if its time is not known.
	unknownShare = 0.5
)
