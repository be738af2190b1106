package systemtest

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// claimCount returns the number of claims that an entry has won, by its log.
func (d *serviceSystem) claimCount(entry int) int {
	return strings.Count(d.entries[entry].output(), `"claimed":true`)
}

// signalOthers sends a signal to the two entries that do not own the call.
func (d *serviceSystem) signalOthers(signal func(*process)) {
	for _, e := range d.entries[1:] {
		signal(e.process)
	}
}

// TestCallKilledAtEachStep kills the entry that owns a call between two steps of the call, and checks the answers to
// resent requests against the number of runs that the service counted.
//
// TestCallEntryKilled covers the steps after the dispatch, before and after the service ran the call.
func TestCallKilledAtEachStep(t *testing.T) {
	// replicaWait is the time for an order to reach the frozen replicas.
	const replicaWait = 300 * time.Millisecond
	const slots = 8
	steps := []struct {
		name, body string
		// sendUntil sends the order through entry 0 and returns when it has reached the step.
		sendUntil func(d *serviceSystem, key, body string)
		// allowed maps each problem code that a resent order may get, "" for success, to the number of runs it implies.
		allowed map[string]int
	}{
		{"claim sent but not acknowledged", "rice", func(d *serviceSystem, key, body string) {
			d.signalOthers((*process).freeze)
			d.sendOrderAsync(0, key, body)
			time.Sleep(replicaWait)
		}, map[string]int{"": 1, "callOutcomeUnknown": 0}},
		{"claimed, no byte sent", "salt", func(d *serviceSystem, key, body string) {
			before := d.claimCount(0)
			for i := range slots {
				filler := "late=2s filler " + strconv.Itoa(i)
				d.sendOrderAsync(0, filler, filler)
				d.waitRan(filler)
			}
			d.sendOrderAsync(0, key, body)
			d.until("the order is claimed", func() bool { return d.claimCount(0) == before+slots+1 })
		}, map[string]int{"callOutcomeUnknown": 0}},
		{"answered, ending sent but not acknowledged", "late=600ms daal", func(d *serviceSystem, key, body string) {
			d.sendOrderAsync(0, key, body)
			d.waitRan(body)
			d.signalOthers((*process).freeze)
			time.Sleep(600*time.Millisecond + replicaWait)
		}, map[string]int{"": 1, "callOutcomeUnknown": 1}},
		{"ending acknowledged", "lentils", func(d *serviceSystem, key, body string) {
			if a := d.sendOrder(0, key, body); a.status != http.StatusOK {
				d.t.Errorf("the order was answered %d %q", a.status, a.body)
			}
		}, map[string]int{"": 1}},
	}
	for _, step := range steps {
		t.Run(strings.ReplaceAll(step.name, " ", "_"), func(t *testing.T) {
			d := newServiceSystem(t, options{dataFolders: true})
			step.sendUntil(d, "k", step.body)
			d.entries[0].kill()
			d.signalOthers((*process).thaw)
			d.checkAtMostOnce("at once", step.body, d.sendOrder(1, "k", step.body))
			d.restart(0)
			for i := range d.entries {
				a := d.waitSettled(i, "k", step.body)
				code, _ := a.problemCode()
				runs, ok := step.allowed[code]
				if got := d.runCount(step.body); !ok || got != runs || (code == "" && a.status != http.StatusOK) {
					t.Errorf("entry %d answered %d %q and the order ran %d times; want one of %v", i, a.status, a.body, got, step.allowed)
				}
			}
		})
	}
}
