package capacity

import (
	"testing"
	"time"
)

// TestAged guards against stale reports that count as much as fresh ones, or for ever.
func TestAged(t *testing.T) {
	for _, c := range []struct {
		age    time.Duration
		tokens int64
		usable bool
	}{{time.Second, 1200, true}, {2400 * time.Millisecond, 600, true}, {4 * time.Second, 1200, false}} {
		r, ok := RegionCapacity{Age: c.age, PromptTokens: 1200, Endpoints: 1}.Aged()
		if ok != c.usable || r.Fresh() != c.usable || r.PromptTokens != c.tokens {
			t.Errorf("age %v: %+v, %v", c.age, r, ok)
		}
	}
}

// TestPlainShare guards against requests that are held back while the slots suffice, and against more requests than the slots take.
func TestPlainShare(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		outstanding int
		perSecond   float64
		sends       bool
	}{{5, 1000, true}, {20, 5, true}, {30, 20, false}} {
		room := PlainRoom{Slots: 36, Outstanding: c.outstanding, Hold: 60 * time.Millisecond, Gateways: 84}
		if share := room.Share(c.perSecond); (share == 1) != c.sends {
			t.Errorf("%+v: share %v", c, share)
		}
	}
	sent, d := 0, PlainDemand{}
	for range 100 {
		var ok bool
		if d, ok = d.Deal(0.25); ok {
			sent++
		}
	}
	if sent != 25 {
		t.Errorf("%d of 100 requests were sent at a share of 0.25", sent)
	}
	// A report that claims more than the slots, or is old, does not keep requests away for longer than it is fresh.
	if r := (PlainReport{Requests: 1 << 20, At: now}); r.Room(now, 0, 6) != 0 || r.Room(now.Add(time.Second), 0, 6) != 6 {
		t.Errorf("room %v and %v later", r.Room(now, 0, 6), r.Room(now.Add(time.Second), 0, 6))
	}
}
