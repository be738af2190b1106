package clock

import (
	"context"
	"time"
)

// Sleep waits for d and reports false if ctx ends first; if d is not positive, it only checks ctx.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
