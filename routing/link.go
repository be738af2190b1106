package routing

import "time"

// Link bounds the bytes that an instance sends over one link between regions; it is a token bucket.
type Link struct {
	rate  float64
	level float64
	at    time.Duration
}

// newLink returns a full budget for a link of that many bytes a second.
func newLink(now time.Duration, bytesPerSecond int64) *Link {
	l := &Link{at: now}
	l.setRate(bytesPerSecond)
	l.level = l.burst()
	return l
}

func (l *Link) setRate(bytesPerSecond int64) { l.rate = float64(bytesPerSecond) * linkShare }

func (l *Link) burst() float64 { return l.rate * linkBurst.Seconds() }

// room reports whether the bytes may be sent; more than the burst may be sent only from a full budget.
func (l *Link) room(now time.Duration, bytes int) bool {
	l.fill(now)
	return l.level >= min(float64(bytes), l.burst())
}

// take counts the bytes as sent.
func (l *Link) take(now time.Duration, bytes int) {
	l.fill(now)
	l.level -= float64(bytes)
}

func (l *Link) fill(now time.Duration) {
	l.level = min(l.level+l.rate*max(now-l.at, 0).Seconds(), l.burst())
	l.at = max(l.at, now)
}
