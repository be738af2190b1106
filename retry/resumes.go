package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// Resumes bounds the resumes of streams in mid-answer: each stream brings one with it, and open streams earn more at a
// rate in proportion to their number. What is not spent is kept up to one for each open stream and a small reserve.
type Resumes struct {
	open    int
	balance float64
	at      time.Time
}

// NewResumes returns the resumes of an instance without open streams.
func NewResumes(now time.Time) *Resumes { return &Resumes{balance: resumeReserve, at: now} }

// Open counts a stream whose answer has begun.
func (r *Resumes) Open(now time.Time) {
	r.earn(now)
	r.open++
	r.balance++
}

// Close counts the end of a stream.
func (r *Resumes) Close(now time.Time) {
	r.earn(now)
	r.open--
	r.balance = min(r.balance, r.most())
}

// Wait returns the time until a resume may be made if no other one is made and no stream ends; it is zero if one may be
// made now.
func (r *Resumes) Wait(now time.Time) time.Duration {
	r.earn(now)
	if r.balance >= wholeResume {
		return 0
	}
	seconds := (1 - r.balance) / (resumesPerSecond * float64(max(r.open, 1)))
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// Take spends one resume, and reports false if there is none.
func (r *Resumes) Take(now time.Time) bool {
	r.earn(now)
	if r.balance < wholeResume {
		return false
	}
	r.balance--
	return true
}

func (r *Resumes) earn(now time.Time) {
	elapsed := max(now.Sub(r.at), 0)
	r.at = now
	r.balance = min(r.balance+elapsed.Seconds()*resumesPerSecond*float64(r.open), r.most())
}

func (r *Resumes) most() float64 { return float64(r.open) + resumeReserve }

// DecideResume returns whether a stream in mid-answer is resumed after a failure, and after which delay. If it answers
// Paced, the stream asks again after the delay; it spends a resume only if it answers Retry, and none for an attempt that
// reached nothing.
func DecideResume(now time.Time, a Attempts, f Failure, r *Resumes, rng *rand.Rand) (time.Duration, Reason) {
	if f == Unreached {
		return decideUnreached(now, a)
	}
	delay := Backoff(max(a.Fruitless, 1), rng)
	wait := r.Wait(now)
	switch {
	case f == Final:
		return 0, FinalFailure
	case a.Fruitless >= maxAttempts || a.Made-a.Unreached >= maxResumes:
		return 0, TooMany
	case !now.Add(wait + delay).Before(a.Deadline):
		return 0, NoTime
	case wait > 0 || !r.Take(now):
		return wait + delay, Paced
	}
	return delay, Retry
}
