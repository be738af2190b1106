package admission

import "time"

const (
	// durationPeriod is the length of the periods of which the present and the previous one count.
	durationPeriod = 15 * time.Second
	// durationMargin is the ratio of the time that is left for a request to the longest recent one.
	durationMargin = 1.25
)

// Durations holds the longest of the requests of one kind that ended in the present period and in the previous one. It is
// immutable; its zero value knows of no request.
type Durations struct {
	began             time.Time
	longest, previous time.Duration
}

// With returns the durations with a request added that ended at now.
func (d Durations) With(now time.Time, took time.Duration) Durations {
	if d.began.IsZero() {
		d.began = now
	}
	d = d.at(now)
	d.longest = max(d.longest, took)
	return d
}

// at returns the durations as of now, with the periods moved on.
func (d Durations) at(now time.Time) Durations {
	switch elapsed := now.Sub(d.began); {
	case elapsed >= 2*durationPeriod:
		return Durations{began: now}
	case elapsed >= durationPeriod:
		return Durations{began: d.began.Add(durationPeriod), previous: d.longest}
	default:
		return d
	}
}

// EndsIn reports whether a request that begins now is expected to end within a time, and whether any recent request is
// known.
func (d Durations) EndsIn(now time.Time, left time.Duration) (ends, known bool) {
	d = d.at(now)
	longest := max(d.longest, d.previous)
	return time.Duration(durationMargin*float64(longest)) <= left, longest > 0
}
