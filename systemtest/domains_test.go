package systemtest

import (
	"net/http"
	"slices"
	"strings"
	"testing"
)

// TestCallReplicasInOneDomain moves a ledger replica into the failure domain of another replica and back: two of three
// replicas in one domain must be reported.
func TestCallReplicasInOneDomain(t *testing.T) {
	d := newServiceSystem(t, options{})
	move := func(domain string) {
		d.entries[1].stop()
		d.entries[1].args[slices.Index(d.entries[1].args, "--failureDomain")+1] = domain
		d.restart(1)
	}
	reports := func() (reports int) {
		for _, e := range d.entries {
			if strings.Contains(d.do(http.MethodGet, e.caller, "/readyz", "", "").body, `"lahore-a"`) {
				reports++
			}
		}
		return reports
	}
	status := func() string {
		out, _ := d.command("status")
		return out
	}
	if out := status(); strings.Contains(out, `"lahore-a"`) {
		t.Errorf("replicas in three failure domains are reported: %s", out)
	}
	move("lahore-a")
	d.until("each entry reports the domain", func() bool { return reports() == len(d.entries) })
	d.until("the status reports the domain", func() bool { return strings.Contains(status(), `"ledgerFatalDomain": "lahore-a"`) })
	if !strings.Contains(d.entries[0].output(), "ledger depends on one failure domain") {
		t.Error("no log line reports the domain")
	}
	move("lahore-b")
	d.until("no entry reports the domain any longer", func() bool { return reports() == 0 })
	d.until("the status no longer reports the domain", func() bool { return !strings.Contains(status(), `"lahore-a"`) })
}
