package systemtest

import (
	"net/http"
	"slices"
	"strings"
	"testing"
)

// TestCallReplicasInOneDomain moves a ledger replica into the failure domain of another one, and back.
func TestCallReplicasInOneDomain(t *testing.T) {
	d := newDesk(t, options{})
	move := func(domain string) {
		d.entries[1].stop()
		d.entries[1].args[slices.Index(d.entries[1].args, "--failureDomain")+1] = domain
		d.startAgain(1)
	}
	told := func() (told int) {
		for _, e := range d.entries {
			if strings.Contains(d.do(http.MethodGet, e.caller, "/readyz", "", "").body, `"lahore-a"`) {
				told++
			}
		}
		return told
	}
	status := func() string {
		out, _ := d.command("status")
		return out
	}
	if out := status(); strings.Contains(out, `"lahore-a"`) {
		t.Errorf("replicas in three failure domains are reported: %s", out)
	}
	move("lahore-a")
	d.until("each entry tells the domain", func() bool { return told() == len(d.entries) })
	d.until("the status tells the domain", func() bool { return strings.Contains(status(), `"ledgerFatalDomain": "lahore-a"`) })
	if !strings.Contains(d.entries[0].logged(), "ledger depends on one failure domain") {
		t.Error("no log line tells the domain")
	}
	move("lahore-b")
	d.until("no entry tells the domain any more", func() bool { return told() == 0 })
	d.until("nor the status", func() bool { return !strings.Contains(status(), `"lahore-a"`) })
}
