package membership

import (
	"testing"
	"time"
)

func TestEntriesHear(t *testing.T) {
	const ttl = 3 * time.Second
	start := time.Unix(1000, 0)
	advert := func(incarnation, sequence int64, leaving bool) Entry {
		return Entry{Name: "e", Incarnation: incarnation, Sequence: sequence, Leaving: leaving}
	}
	tests := []struct {
		name        string
		then        Entry
		after       time.Duration
		wantLeaving bool
		wantLive    bool
	}{
		{"a repeated older advert does not undo leaving", advert(1, 4, false), time.Second, true, true},
		{"the same advert does not keep the entry alive", advert(1, 5, true), 2 * time.Second, true, false},
		{"a newer advert is accepted", advert(1, 6, false), 2 * time.Second, false, true},
		{"an advert of a restarted entry is accepted", advert(2, 1, false), 2 * time.Second, false, true},
		{"after the time to live any advert is accepted", advert(0, 1, false), ttl + time.Second, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewEntries(ttl)
			s.Update(start, advert(1, 5, true))
			s.Update(start.Add(tt.after), tt.then)
			if got := s.entries["e"].Leaving; got != tt.wantLeaving {
				t.Errorf("leaving %v", got)
			}
			at := start.Add(max(tt.after, ttl) + time.Second)
			if tt.after < 2*time.Second {
				at = start.Add(tt.after)
			}
			if got := len(s.Live(at)) == 1; got != tt.wantLive {
				t.Errorf("live %v", got)
			}
		})
	}
}
