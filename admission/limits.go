package admission

import "time"

// Parameters of the token usage estimate.
const (
	// maxTokens is the largest number of tokens recorded for one request.
	maxTokens         = 1 << 20
	significantDigits = 1
	minSamples        = 20
	samplesPerDecay   = 512
	maxSketches       = 2048
	// priorFraction is the fraction of the requested tokens that is expected to be used while there are too few
	// samples.
	priorFraction = 0.25
)

// growthFraction is the fraction of its size by which a used-up reservation grows.
const growthFraction = 0.5

// urgentFraction is the last fraction of the time from a request's arrival to its latest start. A request that still
// waits in it is urgent and precedes requests of all priorities that are not.
const urgentFraction = 0.25

// Parameters of the start rate estimate: its measuring window and its smoothing factor.
const (
	rateWindow = time.Second
	rateGain   = 0.3
)

// maxTrackedRefusals is the number of refusals that a RefusalAudit tracks at a time.
const maxTrackedRefusals = 256

// minRetryAfter is the shortest delay after which a refused caller is asked to retry.
const minRetryAfter = time.Second
