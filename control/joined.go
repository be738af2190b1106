package control

import (
	"slices"
	"sync"
	"time"
)

// joined remembers when daemons joined under new names, each of which may take the place of one silent voter.
type joined struct {
	mu    sync.Mutex
	times []time.Time
}

func (j *joined) note(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.times = append(j.times, now)
}

// open reports whether a daemon that joined lately has not taken a place yet.
func (j *joined) open(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.times = slices.DeleteFunc(j.times, func(t time.Time) bool { return now.Sub(t) > replacementAge })
	return len(j.times) > 0
}

func (j *joined) use() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.times) > 0 {
		j.times = j.times[1:]
	}
}
