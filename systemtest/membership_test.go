package systemtest

import (
	"net/http"
	"strings"
	"testing"
)

func TestSilentEndpoint(t *testing.T) {
	d := newServiceSystem(t, options{})
	steps := []struct {
		name    string
		silence func()
		revive  func()
	}{
		{"frozen", func() { d.service.freeze() }, func() { d.service.thaw() }},
		{"killed, so that no leaving is told", func() { d.service.kill() }, func() { d.service.start() }},
		{"stopped", func() { d.service.stop() }, func() { d.service.start() }},
	}
	for _, step := range steps {
		step.silence()
		for i := range 3 {
			var code, outcome string
			d.until("entry "+d.entries[i].name+" sends nothing to an endpoint that is "+step.name, func() bool {
				code, outcome = d.do(http.MethodPost, d.entries[i].caller, orderPath, lahoreToken, step.name, "Idempotency-Key", step.name+d.entries[i].name, "Arbutusreel-Class", "order").problemCode()
				return code == "noCapacity" || code == "callOutcomeUnknown"
			})
			if code == "noCapacity" && outcome != "notRun" {
				t.Errorf("%s: code %q, outcome %q", step.name, code, outcome)
			}
		}
		for i := range 3 {
			code, outcome := d.sendOrder(i, step.name+" after", "after").problemCode()
			if code != "noCapacity" || outcome != "notRun" {
				t.Errorf("%s: entry %d answered code %q, outcome %q after the lease", step.name, i, code, outcome)
			}
		}
		step.revive()
		for i := range 3 {
			d.until("an order is answered again", func() bool { return d.sendOrder(i, step.name+" again", "again").status == http.StatusOK })
		}
	}
}

func TestLeavingEntryIsNotListed(t *testing.T) {
	// The drain notice is longer than any wait of the test, so that the entry is unlisted because it is leaving and not
	// because it has stopped.
	d := newServiceSystem(t, options{entryArgs: []string{"--drainNotice", "1m"}})
	list := func(i int) string {
		return d.do(http.MethodGet, d.entries[i].caller, "/v1/entries", lahoreToken, "").body
	}
	for i := range 3 {
		d.until("all entries are listed with weights and a token", func() bool {
			body := list(i)
			return strings.Count(body, `"weight":1`) == 3 && strings.Contains(body, `"epoch":"`)
		})
	}
	d.entries[2].signal(15)
	for i := range 2 {
		d.until("the leaving entry is not listed", func() bool { return !strings.Contains(list(i), d.entries[2].name) })
	}
	if !strings.Contains(list(0), d.entries[1].name) {
		t.Error("another entry is not listed")
	}
	d.entries[1].kill()
	d.until("the killed entry is not listed", func() bool { return !strings.Contains(list(0), d.entries[1].name) })
}
