package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// Resumes bounds the resumes of streams in mid-answer: each new stream adds one to the balance, and open streams earn
// more at a rate proportional to their number. The balance is at most one for each open stream and a small reserve.
type Resumes struct {
	openStreams int
	balance     float64
	updatedAt   time.Time
}

// NewResumes returns the resume budget of an instance without open streams.
func NewResumes(now time.Time) *Resumes { return &Resumes{balance: resumeReserve, updatedAt: now} }

// Open counts a stream whose answer has begun.
func (r *Resumes) Open(now time.Time) {
	r.accrue(now)
	r.openStreams++
	r.balance++
}

// Close counts the end of a stream.
func (r *Resumes) Close(now time.Time) {
	r.accrue(now)
	r.openStreams--
	r.balance = min(r.balance, r.maxBalance())
}

// Wait returns the time until a resume may be made if no other one is made and no stream ends; it is zero if one may
// be made now.
func (r *Resumes) Wait(now time.Time) time.Duration {
	r.accrue(now)
	if r.balance >= minResumeBalance {
		return 0
	}
	seconds := (1 - r.balance) / (resumesPerSecond * float64(max(r.openStreams, 1)))
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// Take spends one resume, and reports false if less than one is left.
func (r *Resumes) Take(now time.Time) bool {
	r.accrue(now)
	if r.balance < minResumeBalance {
		return false
	}
	r.balance--
	return true
}

func (r *Resumes) accrue(now time.Time) {
	elapsed := max(now.Sub(r.updatedAt), 0)
	r.updatedAt = now
	r.balance = min(r.balance+elapsed.Seconds()*resumesPerSecond*float64(r.openStreams), r.maxBalance())
}

func (r *Resumes) maxBalance() float64 { return float64(r.openStreams) + resumeReserve }

// DecideResume returns whether a stream in mid-answer is resumed after a failure, and after which delay. If it returns
// Paced, the caller is to decide again after the delay. It spends a resume only if it returns Retry, and none for an
// attempt that made no connection.
func DecideResume(now time.Time, a Attempts, f Failure, r *Resumes, rng *rand.Rand) (time.Duration, Reason) {
	if f == Unreached {
		return decideUnreached(now, a)
	}
	delay := Backoff(max(a.WithoutProgress, 1), rng)
	wait := r.Wait(now)
	switch {
	case f == Final:
		return 0, FinalFailure
	case a.WithoutProgress >= maxAttempts || a.Made-a.Unreached >= maxResumes:
		return 0, TooMany
	case !now.Add(wait + delay).Before(a.Deadline):
		return 0, NoTime
	case wait > 0 || !r.Take(now):
		return wait + delay, Paced
	}
	return delay, Retry
}
