package crash

import (
	"testing"
	"time"
)

// TestSuspectsSentTogether has suspect requests come at the same time: one of them is sent at a time, after two crashes only
// when the evidence counts, and sound ones are never held back.
func TestSuspectsSentTogether(t *testing.T) {
	now := time.Unix(1000, 0)
	e, trials := NewEvidence(), NewTrials()
	reports := parseReports("aX", "Xb")
	begin := func(parts string) (*Trial, *Hold) { return trials.Begin(now, e, NewPrompt(parse(parts))) }
	if trial, hold := begin("aX"); trial != nil || hold != nil {
		t.Error("suspect without a crash")
	}
	e.Add(now, reports[0])
	first, hold := begin("X")
	if first == nil || hold != nil {
		t.Fatalf("after one crash: %v, %v", first, hold)
	}
	if trial, hold := begin("Xc"); trial != nil || hold == nil || !hold.Until.IsZero() || hold.Crashes != 1 {
		t.Errorf("beside a trial: %v, %v", trial, hold)
	}
	if trial, hold := begin("bc"); trial != nil || hold != nil {
		t.Errorf("a request without a suspect part: %v, %v", trial, hold)
	}
	e.Add(now, reports[1])
	if !trials.End(first) || trials.End(first) || trials.End(nil) {
		t.Error("a trial ends once")
	}
	if trial, hold := begin("X"); trial != nil || hold == nil || hold.Until != now.Add(settleTime) || hold.Crashes != 2 {
		t.Errorf("before the evidence counts: %v, %v", trial, hold)
	}
	now = now.Add(settleTime)
	second, _ := begin("X")
	if second == nil {
		t.Error("held back after the evidence counts")
	}
	e.Clear(now, 'X')
	if trial, hold := begin("X"); trial != nil || hold != nil {
		t.Errorf("a sound part: %v, %v", trial, hold)
	}
}
