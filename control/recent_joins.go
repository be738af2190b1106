package control

import (
	"slices"
	"sync"
	"time"
)

// recentJoins records when daemons joined under new names. Each join allows the replacement of one unresponsive
// voter.
type recentJoins struct {
	mu    sync.Mutex
	times []time.Time
}

func (j *recentJoins) record(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.times = append(j.times, now)
}

// pending reports whether a recently joined daemon has not replaced a voter yet.
func (j *recentJoins) pending(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.times = slices.DeleteFunc(j.times, func(t time.Time) bool { return now.Sub(t) > replacementWindow })
	return len(j.times) > 0
}

func (j *recentJoins) consume() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.times) > 0 {
		j.times = j.times[1:]
	}
}
