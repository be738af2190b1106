package retry

import "time"

// Limits on the retries of a request.
const (
	maxAttempts  = 4
	maxUnreached = 16
	firstDelay   = 20 * time.Millisecond
	maxDelay     = time.Second
)

// Limits on the resumes of streams; maxResumes is the number of attempts of one stream, and resumesPerSecond the rate
// at which each open stream earns resumes.
const (
	maxResumes       = 64
	resumeReserve    = 3
	resumesPerSecond = 0.1
	// minResumeBalance is the balance that pays for one resume: one, less the rounding error of what was earned for
	// it.
	minResumeBalance = 1 - 1e-9
)

// Limits of a Budget, in retries.
const (
	budgetReserve = 3
	budgetBurst   = 20
)

// Limits of a circuit breaker.
const (
	tripFailures   = 3
	firstOpenTime  = time.Second
	maxOpenTime    = 30 * time.Second
	openTimeJitter = 0.25
	// probeTimeout is how long an unfinished probe prevents another one.
	probeTimeout = 10 * time.Second
)
