package trace

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const sample = `built in 3 s
  0.10 front-a-1 {"instance":"front-a-1","endpoint":"e-1","state":"ready","time":"2026-12-04T08:00:00.1Z","message":"endpoint state updated"}
  0.20 front-b-1 {"instance":"front-b-1","request":"r1","route":"plan","forwarded":true,"outcome":"answered","first":90,"time":"2026-12-04T08:00:00.9Z","message":"served"}
  0.15 front-a-1 {"instance":"front-a-1","request":"r1","route":"plan","endpoint":"e-1","outcome":"notRun","status":503,"time":"2026-12-04T08:00:00.2Z","message":"attemptFailed"}
  0.25 front-a-1 {"instance":"front-a-1","request":"r1","route":"plan","toRegion":"b","attempts":2,"outcome":"answered","first":950,"time":"2026-12-04T08:00:01Z","message":"served"}
  0.30 front-a-1 {"instance":"front-a-1","request":"r2","route":"plan","outcome":"answered","attempts":1,"first":100,"longestPause":700,"time":"2026-12-04T08:00:01.1Z","message":"served"}
  0.30 front-a-1 {"instance":"front-a-1","request":"r3","route":"plan","outcome":"answered","attempts":1,"first":100,"longestPause":70,"time":"2026-12-04T08:00:01.1Z","message":"served"}
  0.30 front-a-1 {"instance":"front-a-1","request":"r4","route":"plan","outcome":"streamBroken","attempts":1,"time":"2026-12-04T08:00:01.1Z","message":"served"}
{"instance":"front-a-1","request":"r5","route":"check","outcome":"notRun","reason":"noCapacity","detail":"crowded: expected wait 80ms","time":"2026-12-04T08:00:01.2Z","message":"refused"}
{"instance":"front-a-1","request":"r6","route":"check","outcome":"outcomeUnknown","time":"2026-12-04T08:00:01.3Z","message":"callerLeft"}
{"instance":"front-a-1","request":"r7","outcome":"notRun","reason":"unknownRoute","message":"refused"}
{"torn":
`

func read(t *testing.T, each func(Line)) {
	t.Helper()
	skipped, err := Read(strings.NewReader(sample), each)
	if err != nil || skipped != 2 {
		t.Fatalf("%d lines skipped, %v", skipped, err)
	}
}

// TestPath follows a request over two gateways, with what was known of its endpoint when it was sent.
func TestPath(t *testing.T) {
	p := NewPath("r1")
	read(t, p.Add)
	var got []string
	for _, l := range p.Lines() {
		got = append(got, l.Instance+" "+l.Message)
	}
	want := []string{"front-a-1 endpoint state updated", "front-a-1 attemptFailed", "front-b-1 served", "front-a-1 served"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestLosses counts each end of a request once, at the gateway that its caller is connected to.
func TestLosses(t *testing.T) {
	c := NewLosses(Limits{First: 800 * time.Millisecond, Pause: 300 * time.Millisecond})
	read(t, c.Add)
	want := []Loss{
		{Route: "check", Cause: "caller left", Requests: 1, Share: 0.5},
		{Route: "check", Cause: "refused, noCapacity, crowded", Requests: 1, Share: 0.5},
		{Route: "plan", Cause: "broken, streamBroken", Requests: 1, Share: 0.25},
		{Route: "plan", Cause: "first piece late, forwarded, repeated", Requests: 1, Share: 0.25},
		{Route: "plan", Cause: "on time", Requests: 1, Share: 0.25},
		{Route: "plan", Cause: "pause too long", Requests: 1, Share: 0.25},
	}
	if diff := cmp.Diff(want, c.Table()); diff != "" {
		t.Error(diff)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(sample)
	f.Add("{}\n{\"request\":7}\n{\"time\":\"x\"}")
	f.Fuzz(func(t *testing.T, text string) {
		p, c := NewPath(""), NewLosses(Limits{})
		if _, err := Read(strings.NewReader(text), func(l Line) { p.Add(l); c.Add(l) }); err != nil {
			t.Error(err)
		}
		p.Lines()
		c.Table()
	})
}
