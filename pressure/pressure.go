package pressure

import (
	"slices"
	"time"
)

const (
	// LargeBodyBytes is the size above which a body is refused while the budget is used up.
	LargeBodyBytes = 64 << 10
	// SmallBodyBytes is the size up to which a body is accepted while more than the budget and overdraftShare of it are held:
	// thousands of bodies below LargeBodyBytes would take several times the budget.
	SmallBodyBytes = 4 << 10
	// UnreadAnswerBytes bounds what an answer holds that its caller does not read: the buffers of two connections, one
	// event, and the socket's send buffer.
	UnreadAnswerBytes = 64 << 10
	// AnswerBytes is what an answer holds that is read as fast as it arrives: the buffers of two connections and the
	// stacks of its goroutines.
	AnswerBytes = 24 << 10
	// pausedAfter is the time after which a write counts as waiting for the caller.
	pausedAfter = 100 * time.Millisecond
	// SlowAfter is the time without reading after which a caller counts as slow. Endpoints cut off answers that stay
	// unread for a few seconds.
	SlowAfter = 2 * time.Second
	// budgetShare is the share of the memory limit that is used as the budget.
	budgetShare = 0.25
	// overdraftShare is the part of the budget by which bodies up to LargeBodyBytes may exceed it.
	overdraftShare = 0.25
)

// Answer is an answer in progress. Unread is the time for which the caller has not taken what is being written; zero if
// nothing is.
type Answer struct {
	Unread time.Duration
}

// held returns the bytes that the answer holds besides its buffered body.
func (a Answer) held() int64 {
	if a.Unread >= pausedAfter {
		return UnreadAnswerBytes
	}
	return AnswerBytes
}

// Budget is the memory for answers and bodies.
type Budget struct {
	limit int64
	// bodies is what bodies and buffered answers hold, and answers what answers in progress held at the last Relieve.
	bodies, answers int64
}

// NewBudget returns the budget of a process with the given memory limit in bytes; zero sets no bound.
func NewBudget(memoryLimit int64) *Budget {
	return &Budget{limit: int64(budgetShare * float64(memoryLimit))}
}

// Held returns the bytes held.
func (b *Budget) Held() int64 { return b.bodies + b.answers }

// Exceeded reports whether more than the budget is held after the given number of further bytes.
func (b *Budget) Exceeded(further int64) bool { return b.limit > 0 && b.Held()+further > b.limit }

// TakeBody counts the body of a new request, or returns false if it is large and does not fit.
func (b *Budget) TakeBody(n int64) bool { return b.Grow(0, n) }

// Grow counts n further bytes of a buffer that holds some already, or returns false if it becomes large and does not fit.
func (b *Budget) Grow(held, n int64) bool {
	overdraft := int64(overdraftShare * float64(b.limit))
	if size := held + n; size > LargeBodyBytes && b.Exceeded(n) || size > SmallBodyBytes && b.Exceeded(n-overdraft) {
		return false
	}
	b.bodies += n
	return true
}

// Hold counts bytes that are held already.
func (b *Budget) Hold(n int64) { b.bodies += n }

// Release removes bytes that Hold, Grow or TakeBody counted.
func (b *Budget) Release(n int64) { b.bodies -= n }

// Relief is what relieves the memory, given the answers in progress.
type Relief struct {
	// Paused is the number of answers that are not read by their callers now, so that their endpoints are not read either.
	Paused int
	// End holds the indexes of answers to be ended, whose callers have not read for the longest time.
	End []int
}

// Relieve counts the answers in progress and returns which of them are to be ended: those of slow callers, the slowest
// first, until the rest fits.
func (b *Budget) Relieve(answers []Answer) Relief {
	var r Relief
	var slow []int
	b.answers = 0
	for i, a := range answers {
		b.answers += a.held()
		if a.Unread >= pausedAfter {
			r.Paused++
		}
		if a.Unread >= SlowAfter {
			slow = append(slow, i)
		}
	}
	if !b.Exceeded(0) {
		return r
	}
	slices.SortStableFunc(slow, func(i, j int) int { return int(answers[j].Unread - answers[i].Unread) })
	for _, i := range slow {
		if !b.Exceeded(0) {
			break
		}
		b.answers -= answers[i].held()
		r.End = append(r.End, i)
	}
	return r
}
