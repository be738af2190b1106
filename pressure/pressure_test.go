package pressure

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const memoryLimit = 184 << 20

// TestRelieve guards against a budget that is exceeded while slow callers hold memory, and against the end of answers that
// are read, or of one that is read sooner than another that goes on.
func TestRelieve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(memoryLimit)
		b.Hold(rapid.Int64Range(0, memoryLimit/3).Draw(t, "bodies"))
		var answers []Answer
		for range rapid.IntRange(0, 1500).Draw(t, "answers") {
			answers = append(answers, Answer{Unread: time.Duration(rapid.IntRange(0, 4000).Draw(t, "unread")) * time.Millisecond})
		}
		r := b.Relieve(answers)
		ended, shortest := map[int]bool{}, time.Hour
		for _, i := range r.End {
			ended[i], shortest = true, min(shortest, answers[i].Unread)
		}
		for i, a := range answers {
			if ended[i] && a.Unread < SlowAfter {
				t.Fatalf("an answer unread for %v was ended", a.Unread)
			}
			if !ended[i] && a.Unread >= SlowAfter && (b.Exceeded(0) || a.Unread > shortest) {
				t.Fatalf("an answer unread for %v goes on, another unread for %v does not", a.Unread, shortest)
			}
		}
	})
}

// TestTakeBody guards against bodies beyond a quarter of the memory limit, and against refusals of small ones, of any
// within the budget, and without a limit.
func TestTakeBody(t *testing.T) {
	b := NewBudget(memoryLimit)
	taken := int64(0)
	for b.TakeBody(1 << 20) {
		taken += 1 << 20
	}
	if taken > memoryLimit/4 || taken < memoryLimit/4-1<<20 {
		t.Errorf("bodies of %d bytes taken", taken)
	}
	if !b.TakeBody(LargeBodyBytes) || b.TakeBody(LargeBodyBytes+1) {
		t.Error("a small body was refused, or a large one taken")
	}
	b.Release(1 << 20)
	if !b.TakeBody(LargeBodyBytes + 1) {
		t.Error("a large body was refused although it fits")
	}
	if !NewBudget(0).TakeBody(1 << 40) {
		t.Error("a body was refused without a limit")
	}
}

// TestManySmallBodies guards against bodies that are small each and together exceed the budget without bound, and against refusals
// of ordinary ones then.
func TestManySmallBodies(t *testing.T) {
	b := NewBudget(memoryLimit)
	for b.TakeBody(LargeBodyBytes) && b.Held() < memoryLimit {
	}
	if held := b.Held(); held > memoryLimit*5/16 || held <= memoryLimit/4 {
		t.Errorf("%d bytes are held, the budget is %d", held, memoryLimit/4)
	}
	if b.Grow(SmallBodyBytes, 1) || !b.Grow(0, SmallBodyBytes) || !b.TakeBody(SmallBodyBytes) {
		t.Error("a longer buffer was grown, or an ordinary body refused")
	}
}
