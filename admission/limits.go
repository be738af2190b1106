package admission

import "time"

// Limits of the learned use.
const (
	maxTokens       = 1 << 20
	useDigits       = 1
	minSamples      = 20
	samplesPerDecay = 512
	maxUses         = 2048
	// priorShare is the part of what is asked that is expected to be used before anything is known.
	priorShare = 0.25
)

// growthShare is the part of its reservation by which a request grows that has used all of it.
const growthShare = 0.5

// urgentShare is the part of the patience before the latest start in which a waiting request goes before its class.
const urgentShare = 0.25

// Limits of the rate at which waiting work starts.
const (
	rateWindow = time.Second
	rateShare  = 0.3
)

// maxRefused is the number of refusals that are followed up.
const maxRefused = 256

// minRetryAfter is the least time after which a refused caller is asked to come back.
const minRetryAfter = time.Second
