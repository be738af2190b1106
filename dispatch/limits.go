package dispatch

import "time"

// Periods and limits of a dispatcher.
const (
	// retryAfterNoCapacity is the time after which a caller may retry if its request was refused because no endpoint
	// is known or because it waited past its latest start.
	retryAfterNoCapacity = time.Second
	// refreshPeriod is the age at which the known endpoints and regions are read again.
	refreshPeriod = 50 * time.Millisecond
	// discoveryTime is how long an instance lets requests wait for an endpoint to become known, from its start or
	// from the time at which it last knew an endpoint.
	discoveryTime = 3 * time.Second
	// recheckPeriod is the period at which a waiting request is checked again.
	recheckPeriod = 50 * time.Millisecond
	// minShortageTime is how long a queue must have held waiting requests before the region counts as short of
	// capacity and forwards requests that its endpoints could serve later, so that a stale load report alone causes
	// no forwards.
	minShortageTime = 500 * time.Millisecond
	// optionalForwardShare is the share of the requests that may be forwarded to a better region although the local
	// region could serve them, and maxOptionalForwards the largest number of unused forwards that accumulates.
	optionalForwardShare = 0.015
	maxOptionalForwards  = 8
	// reservationUpdatePieces is the number of pieces after which a reservation is updated to the actual use.
	reservationUpdatePieces = 16
	// patienceQuantile is the quantile of the learned answer length that must fit into the patience of a request.
	patienceQuantile = 0.9
	// wireBytesPerToken estimates the bytes that a token takes between regions.
	wireBytesPerToken = 24
	// wireBytesPerRequest estimates the bytes of a forwarded request besides its body and answer.
	wireBytesPerRequest = 512
)

// Time-outs of an attempt that makes no progress.
const (
	// firstPieceFactor limits the time to the first piece to this multiple of the expected time.
	firstPieceFactor     = 4
	minFirstPieceTimeout = 5 * time.Second
	stallTimeout         = 3 * time.Second
	// unknownFirstPieceShare is the share of the remaining time that the first piece may take if its expected time is
	// not known.
	unknownFirstPieceShare = 0.5
)
