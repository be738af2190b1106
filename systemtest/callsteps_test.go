package systemtest

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// claims returns how many claims an entry has won.
func (d *desk) claims(entry int) int {
	return strings.Count(d.entries[entry].logged(), `"claimed":true`)
}

// others sends a signal to the two entries that do not own the call.
func (d *desk) others(signal func(*process)) {
	for _, e := range d.entries[1:] {
		signal(e.process)
	}
}

// TestCallKilledAtEachStep kills the entry that owns a call between two steps of it; the service's own count is the judge.
//
// TestCallEntryKilled kills it after the dispatch, before and after the service ran the call.
func TestCallKilledAtEachStep(t *testing.T) {
	// untilWaits is how long an order takes to reach the frozen replicas.
	const untilWaits = 300 * time.Millisecond
	const slots = 8
	steps := []struct {
		name, body string
		// reach sends the order through entry 0 and returns when it stands at the step.
		reach func(d *desk, key, body string)
		// ends holds what a resend may be told, "" for the answer, with how often the service has run the order then.
		ends map[string]int
	}{
		{"claim sent but not acknowledged", "rice", func(d *desk, key, body string) {
			d.others((*process).freeze)
			d.later(0, key, body)
			time.Sleep(untilWaits)
		}, map[string]int{"": 1, "callOutcomeUnknown": 0}},
		{"claimed, no byte sent", "salt", func(d *desk, key, body string) {
			before := d.claims(0)
			for i := range slots {
				filler := "late=2s filler " + strconv.Itoa(i)
				d.later(0, filler, filler)
				d.untilRan(filler)
			}
			d.later(0, key, body)
			d.until("the order is claimed", func() bool { return d.claims(0) == before+slots+1 })
		}, map[string]int{"callOutcomeUnknown": 0}},
		{"answered, ending sent but not acknowledged", "late=600ms daal", func(d *desk, key, body string) {
			d.later(0, key, body)
			d.untilRan(body)
			d.others((*process).freeze)
			time.Sleep(600*time.Millisecond + untilWaits)
		}, map[string]int{"": 1, "callOutcomeUnknown": 1}},
		{"ending acknowledged", "lentils", func(d *desk, key, body string) {
			if a := d.order(0, key, body); a.status != http.StatusOK {
				d.t.Errorf("the order was answered %d %q", a.status, a.body)
			}
		}, map[string]int{"": 1}},
	}
	for _, step := range steps {
		t.Run(strings.ReplaceAll(step.name, " ", "_"), func(t *testing.T) {
			d := newDesk(t, options{dataFolders: true})
			step.reach(d, "k", step.body)
			d.entries[0].kill()
			d.others((*process).thaw)
			d.expectOnce("at once", step.body, d.order(1, "k", step.body))
			d.startAgain(0)
			for i := range d.entries {
				a := d.settled(i, "k", step.body)
				code, _ := a.problemCode()
				runs, ok := step.ends[code]
				if got := d.ran(step.body); !ok || got != runs || (code == "" && a.status != http.StatusOK) {
					t.Errorf("entry %d answered %d %q and the order ran %d times; want one of %v", i, a.status, a.body, got, step.ends)
				}
			}
		})
	}
}
