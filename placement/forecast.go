package placement

import (
	"math"
	"time"
)

// Time constants of the forecast's level and trend, and its limit.
const (
	levelTimeConstant = 30 * time.Second
	trendTimeConstant = 3 * time.Minute
	// maxExtrapolation is the longest time ahead over which a trend is extrapolated.
	maxExtrapolation = time.Minute
)

// Forecast estimates a rate and its trend by Holt's linear smoothing, with time constants in place of
// fixed smoothing factors.
//
// See C. C. Holt, "Forecasting seasonals and trends by exponentially weighted
// moving averages", ONR Memorandum 52, 1957.
type Forecast struct {
	level   float64
	trend   float64
	at      time.Time
	started bool
}

// Observe returns the forecast updated by an amount that arrived since the last observation; the first observation
// only sets the time.
func (f Forecast) Observe(now time.Time, amount float64) Forecast {
	dt := now.Sub(f.at).Seconds()
	if f.at.IsZero() || dt <= 0 {
		if f.at.IsZero() {
			f.at = now
		}
		return f
	}
	rate := amount / dt
	if !f.started {
		return Forecast{level: rate, at: now, started: true}
	}
	a := 1 - math.Exp(-dt/levelTimeConstant.Seconds())
	b := 1 - math.Exp(-dt/trendTimeConstant.Seconds())
	level := a*rate + (1-a)*(f.level+f.trend*dt)
	trend := b*(level-f.level)/dt + (1-b)*f.trend
	return Forecast{level: max(level, 0), trend: trend, at: now, started: true}
}

// Rate returns the predicted rate at a time, per second; it is never negative.
func (f Forecast) Rate(at time.Time) float64 {
	ahead := min(max(at.Sub(f.at), 0), maxExtrapolation)
	return max(f.level+f.trend*ahead.Seconds(), 0)
}
