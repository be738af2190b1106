package retry

import "time"

// bucketsPerWindow is the number of buckets in which an allowance counts the attempts of its sliding window.
const bucketsPerWindow = 20

// Allowance bounds retries to a share of first attempts, plus a reserve, in every sliding window of time.
//
// Whenever a retry is allowed, the retries in the window that ends then are within the bound given by the first
// attempts in the same window. Each holder of a common allowance counts its own first attempts, and the reserves of
// all holders add up to the common reserve.
type Allowance struct {
	window  time.Duration
	ratio   float64
	reserve float64
	buckets []allowanceBucket
}

// allowanceBucket counts the attempts in the interval that begins at start.
type allowanceBucket struct {
	start                  time.Time
	firstAttempts, retries int
}

// NewAllowance returns an allowance in which retries are at most ratio times the first attempts plus the reserve.
func NewAllowance(window time.Duration, ratio float64) *Allowance {
	return &Allowance{window: window, ratio: ratio}
}

// SetReserve sets this holder's part of the reserve, in retries.
func (a *Allowance) SetReserve(reserve float64) { a.reserve = reserve }

// currentBucket returns the bucket of the present interval. A bucket is kept until its last retry is older than the
// window.
func (a *Allowance) currentBucket(now time.Time) *allowanceBucket {
	i := 0
	for i < len(a.buckets) && now.Sub(a.buckets[i].start) >= a.window+a.window/bucketsPerWindow {
		i++
	}
	a.buckets = a.buckets[i:]
	if n := len(a.buckets); n > 0 && now.Sub(a.buckets[n-1].start) < a.window/bucketsPerWindow {
		return &a.buckets[n-1]
	}
	a.buckets = append(a.buckets, allowanceBucket{start: now})
	return &a.buckets[len(a.buckets)-1]
}

// First counts a first attempt.
func (a *Allowance) First(now time.Time) { a.currentBucket(now).firstAttempts++ }

// MoveFirst withdraws a first attempt that another holder of the common allowance counts.
func (a *Allowance) MoveFirst(now time.Time) { a.currentBucket(now).firstAttempts-- }

// Return withdraws a retry that was taken at a time and not used.
func (a *Allowance) Return(now, takenAt time.Time) {
	a.currentBucket(now)
	for i := len(a.buckets) - 1; i >= 0; i-- {
		if b := &a.buckets[i]; !b.start.After(takenAt) {
			b.retries = max(b.retries-1, 0)
			return
		}
	}
}

// Take counts a retry if it is allowed, and reports whether it is.
func (a *Allowance) Take(now time.Time) bool {
	bucket := a.currentBucket(now)
	first, retries := 0, 0
	for _, s := range a.buckets {
		// A bucket that began before the window may hold first attempts from before it.
		if now.Sub(s.start) < a.window {
			first += s.firstAttempts
		}
		retries += s.retries
	}
	if float64(retries+1) > a.ratio*float64(first)+a.reserve {
		return false
	}
	bucket.retries++
	return true
}
