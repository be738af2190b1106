package fleet

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestDepartures delivers announcements of the incarnations of one endpoint in any order: every incarnation up to the
// latest announced one is leaving, and none that started after it.
func TestDepartures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDepartures()
		latest := int64(-1)
		for range rapid.IntRange(0, 20).Draw(t, "announcements") {
			born := rapid.Int64Range(0, 9).Draw(t, "born")
			if added := d.Add(time.Unix(1000, 0), Departure{ID: "e", Born: born}); added != (born > latest) {
				t.Fatalf("incarnation %d after %d: added %v", born, latest, added)
			}
			latest = max(latest, born)
		}
		for born := range int64(10) {
			if got := d.Contains("e", born); got != (born <= latest) {
				t.Fatalf("incarnation %d after %d: leaving %v", born, latest, got)
			}
		}
	})
}

// TestDeparturesExpire keeps a record for as long as its endpoint is listed: an endpoint may leave for many seconds and
// send heartbeats as ready meanwhile.
func TestDeparturesExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDepartures()
	for _, id := range []string{"listed", "unlisted"} {
		d.Add(now, Departure{ID: id, Born: 3})
	}
	listed := func(id string) bool { return id == "listed" }
	d.Expire(now.Add(goneRetention), listed)
	if got := len(d.All()); got != 2 {
		t.Errorf("%d records before the retention has passed", got)
	}
	d.Expire(now.Add(goneRetention+time.Second), listed)
	if diff := cmp.Diff([]Departure{{ID: "listed", Born: 3}}, d.All()); diff != "" {
		t.Error(diff)
	}
}
