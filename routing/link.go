package routing

import "time"

// Link limits the bytes that an instance sends over one link between regions; it is a token bucket.
type Link struct {
	// rate is in bytes per second, and level in bytes.
	rate  float64
	level float64
	at    time.Duration
}

// newLink returns a full bucket for a link of the given bandwidth.
func newLink(now time.Duration, bytesPerSecond int64) *Link {
	l := &Link{at: now}
	l.setRate(bytesPerSecond)
	l.level = l.burst()
	return l
}

func (l *Link) setRate(bytesPerSecond int64) { l.rate = float64(bytesPerSecond) * linkShare }

func (l *Link) burst() float64 { return l.rate * linkBurst.Seconds() }

// allows reports whether the bytes may be sent. A request larger than the burst is allowed only when the bucket is
// full.
func (l *Link) allows(now time.Duration, bytes int) bool {
	l.refill(now)
	return l.level >= min(float64(bytes), l.burst())
}

// take deducts the sent bytes from the bucket.
func (l *Link) take(now time.Duration, bytes int) {
	l.refill(now)
	l.level -= float64(bytes)
}

func (l *Link) refill(now time.Duration) {
	l.level = min(l.level+l.rate*max(now-l.at, 0).Seconds(), l.burst())
	l.at = max(l.at, now)
}
