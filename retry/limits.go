package retry

import "time"

// Limits of the retries of a request.
const (
	maxAttempts  = 4
	maxUnreached = 16
	firstDelay   = 20 * time.Millisecond
	maxDelay     = time.Second
)

// Limits of the resumes of streams; maxResumes is the number of attempts of one stream, and resumesPerSecond the rate at
// which each open stream earns resumes.
const (
	maxResumes       = 64
	resumeReserve    = 3
	resumesPerSecond = 0.1
	// wholeResume is a resume less the rounding of what was earned for it.
	wholeResume = 1 - 1e-9
)

// Limits of a budget, in retries.
const (
	budgetReserve = 3
	budgetBurst   = 20
)

// Limits of a breaker.
const (
	tripFailures   = 3
	firstOpenTime  = time.Second
	maxOpenTime    = 30 * time.Second
	openTimeJitter = 0.25
	// probeTimeout is how long a probe that does not end keeps others from being sent.
	probeTimeout = 10 * time.Second
)
