package systemtest

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// serviceSystem is a system with a plain service in lahore. The class order has a patience of 3 s instead of
// 30 s.
type serviceSystem struct {
	*system
	service *instance
}

func newServiceSystem(t *testing.T, o options) *serviceSystem {
	t.Helper()
	t.Parallel()
	b, err := os.ReadFile(lunchClubInventory)
	if err != nil {
		t.Fatal(err)
	}
	o.inventory = filepath.Join(t.TempDir(), "inventory.json")
	edited := strings.Replace(string(b), `"patienceMillis": 30000`, `"patienceMillis": 3000`, 1)
	if err := os.WriteFile(o.inventory, []byte(edited), 0o600); err != nil {
		t.Fatal(err)
	}
	if o.regions == nil {
		o.regions = []string{"lahore"}
	}
	o.entriesPerRegion = 3
	d := &serviceSystem{system: newSystem(t, o)}
	d.service = d.system.service("desk-lahore", "lahore", "club-desk", "--slots", "8")
	for i := range 3 {
		key := "ready-" + strconv.Itoa(i)
		d.until("entry "+strconv.Itoa(i)+" knows the service", func() bool { return d.sendOrder(i, key, key).status == http.StatusOK })
	}
	return d
}

// sendOrder sends an order through an entry of lahore.
func (d *serviceSystem) sendOrder(entry int, key, body string) response {
	return d.do(http.MethodPost, d.entries[entry].caller, orderPath, lahoreToken, body, "Idempotency-Key", key, "Arbutusreel-Class", "order")
}

// sendOrderAsync sends an order without waiting for its answer.
func (d *serviceSystem) sendOrderAsync(entry int, key, body string) <-chan response {
	answers := make(chan response, 1)
	go func() { answers <- d.sendOrder(entry, key, body) }()
	return answers
}

// waitSettled resends an order until it is no longer in progress and the ledger is available.
func (d *serviceSystem) waitSettled(entry int, key, body string) response {
	d.t.Helper()
	var a response
	d.until("order "+key+" is no longer in progress", func() bool {
		a = d.sendOrder(entry, key, body)
		code, _ := a.problemCode()
		return a.status != 0 && code != "callInProgress" && code != "ledgerUnavailable"
	})
	return a
}

// runCount returns the number of times that the service ran a body.
func (d *serviceSystem) runCount(body string) int {
	counts := map[string]int{}
	_ = json.Unmarshal([]byte(d.do(http.MethodGet, d.service.caller, "/ran", "", "").body), &counts)
	return counts[body]
}

func (d *serviceSystem) waitRan(body string) {
	d.t.Helper()
	d.until("the service has run "+body, func() bool { return d.runCount(body) == 1 })
}

// checkProblem checks the code and the outcome of a response.
func (d *serviceSystem) checkProblem(what string, a response, code, outcome string) {
	d.t.Helper()
	if gotCode, gotOutcome := a.problemCode(); gotCode != code || gotOutcome != outcome {
		d.t.Errorf("%s: status %d, code %q, outcome %q; want %q, %q", what, a.status, gotCode, gotOutcome, code, outcome)
	}
}

// checkAtMostOnce checks that a body ran at most once and that the response does not report notRun if it ran.
func (d *serviceSystem) checkAtMostOnce(what, body string, a response) {
	d.t.Helper()
	count := d.runCount(body)
	if _, outcome := a.problemCode(); count > 1 || (count == 1 && outcome == "notRun") {
		d.t.Errorf("%s: the body ran %d times and the answer is %d %q", what, count, a.status, a.body)
	}
}

// repair runs the repair command through an entry of lahore.
func (d *serviceSystem) repair(entry int, args ...string) string {
	d.t.Helper()
	out, err := d.command(append([]string{"repair"}, append(args, "--entries", d.entries[entry].caller)...)...)
	if err != nil {
		d.t.Errorf("repair %v: %v: %s", args, err, out)
	}
	return out
}

// loseData kills entries, removes their data folders and restarts them.
func (d *serviceSystem) loseData(entries ...int) {
	for _, i := range entries {
		d.entries[i].kill()
		_ = os.RemoveAll(filepath.Join(d.dir, d.entries[i].name))
	}
	d.restart(entries...)
}

// restart starts entries that have ended and waits until they are ready.
func (d *serviceSystem) restart(entries ...int) {
	for _, i := range entries {
		d.entries[i].start()
	}
	for _, i := range entries {
		d.until(d.entries[i].name+" is ready", func() bool { return d.get(d.entries[i].caller, "/readyz", "") == http.StatusOK })
	}
}

func TestCallResent(t *testing.T) {
	d := newServiceSystem(t, options{})
	first := d.sendOrder(0, "k1", "lentils")
	for i := range 3 {
		if a := d.sendOrder(i, "k1", "lentils"); a.body != first.body || a.status != http.StatusOK {
			t.Errorf("entry %d answered %d %q, first %q", i, a.status, a.body, first.body)
		}
	}
	d.checkProblem("another body under the same key", d.sendOrder(1, "k1", "rice"), "idempotencyKeyReused", "notRun")
	slow := d.sendOrderAsync(0, "k2", "delay=1s")
	var a response
	d.until("the slow order is in progress", func() bool {
		a = d.do(http.MethodPost, d.entries[1].caller, orderPath, lahoreToken, "delay=1s", "Idempotency-Key", "k2", "Arbutusreel-Epoch", "none.1")
		code, _ := a.problemCode()
		return code == "callInProgress"
	})
	if a.header.Get("Retry-After") == "" {
		t.Error("an order in progress has no Retry-After")
	}
	if a := <-slow; a.status != http.StatusOK {
		t.Errorf("the slow order was answered %d %q", a.status, a.body)
	}
	a = d.do(http.MethodPost, d.entries[0].caller, orderPath, lahoreToken, "salt", "Idempotency-Key", "k3", "Arbutusreel-Epoch", "")
	d.checkAtMostOnce("without an epoch", "salt", a)
	d.checkProblem("a key of another epoch", d.do(http.MethodPost, d.entries[0].caller, orderPath, lahoreToken, "salt", "Idempotency-Key", "k4", "Arbutusreel-Epoch", "other.1"), "callOutcomeUnknown", "outcomeUnknown")
	if n := d.runCount("lentils"); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

func TestCallCallerLeaves(t *testing.T) {
	d := newServiceSystem(t, options{})
	body := "delay=800ms leaves"
	epoch := d.epoch(d.entries[0].caller, lahoreToken, "k1")
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.entries[0].caller+orderPath, strings.NewReader(body))
	for name, value := range map[string]string{"Authorization": "Bearer " + lahoreToken, "Idempotency-Key": "k1", "Arbutusreel-Epoch": epoch} {
		req.Header.Set(name, value)
	}
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Do(req); err == nil {
		_ = resp.Body.Close()
		t.Fatal("the caller was answered before its timeout")
	}
	if a := d.waitSettled(1, "k1", body); a.status != http.StatusOK {
		t.Errorf("the resent order was answered %d %q", a.status, a.body)
	}
	if n := d.runCount(body); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

func TestCallEntryKilled(t *testing.T) {
	d := newServiceSystem(t, options{dataFolders: true})
	steps := []struct{ name, body string }{
		{"beforeRun", "delay=1s beforeRun"},
		{"afterRun", "late=2s afterRun"},
	}
	for _, step := range steps {
		d.sendOrderAsync(0, step.name, step.body)
		if step.name == "afterRun" {
			d.waitRan(step.body)
		} else {
			time.Sleep(200 * time.Millisecond)
		}
		d.entries[0].kill()
		d.checkAtMostOnce(step.name+", at once", step.body, d.sendOrder(1, step.name, step.body))
		d.entries[0].start()
		a := d.waitSettled(1, step.name, step.body)
		d.checkProblem(step.name, a, "callOutcomeUnknown", "outcomeUnknown")
		d.checkAtMostOnce(step.name, step.body, a)
		d.until("the call in doubt is listed", func() bool { return strings.Contains(d.repair(2, "list"), `"`+step.name+`"`) })
	}
	d.until("entry 0 is ready", func() bool { return d.get(d.entries[0].caller, "/readyz", "") == http.StatusOK })
	d.repair(0, "settle", "--team", "lahore-club", "--key", "afterRun", "--finding", "ran", "--operator", "test")
	d.repair(0, "settle", "--team", "lahore-club", "--key", "beforeRun", "--finding", "notRun", "--operator", "test")
	d.checkProblem("settled as run", d.sendOrder(2, "afterRun", "late=2s afterRun"), "callSettled", "ran")
	d.checkProblem("settled as not run", d.sendOrder(2, "beforeRun", "delay=1s beforeRun"), "callSettled", "notRun")
	if again := d.repair(1, "settle", "--team", "lahore-club", "--key", "afterRun", "--finding", "notRun", "--operator", "other"); strings.Contains(again, `"settled": true`) {
		t.Errorf("a settled call was settled again: %s", again)
	}
}

func TestCallEndpointFails(t *testing.T) {
	d := newServiceSystem(t, options{})
	for _, body := range []string{"close", "closeUnrun", "exit"} {
		d.checkProblem(body, d.sendOrder(0, body, body), "callOutcomeUnknown", "outcomeUnknown")
		again := d.sendOrder(1, body, body)
		if _, outcome := again.problemCode(); outcome != "outcomeUnknown" {
			t.Errorf("%s, resent at once: the answer is %d %q", body, again.status, again.body)
		}
		a := d.waitSettled(1, body, body)
		d.checkProblem(body+", settled", a, "callOutcomeUnknown", "outcomeUnknown")
		d.checkAtMostOnce(body, body, a)
	}
	a := d.sendOrder(0, "late", "late order")
	if _, outcome := a.problemCode(); outcome != "notRun" {
		t.Errorf("no endpoint listens: the answer is %d %q", a.status, a.body)
	}
	<-d.service.done
	d.service.start()
	d.until("the order is answered", func() bool { return d.sendOrder(1, "late", "late order").status == http.StatusOK })
	d.sendOrder(2, "exit", "exit")
	if n := d.runCount("exit"); n != 0 {
		t.Errorf("a call in doubt ran again, %d times", n)
	}
	if n := d.runCount("late order"); n != 1 {
		t.Errorf("the withdrawn order ran %d times", n)
	}
}

func TestCallFrozenEntry(t *testing.T) {
	d := newServiceSystem(t, options{})
	body := "late=1s frozen"
	answered := d.sendOrderAsync(0, "k1", body)
	d.waitRan(body)
	d.entries[0].freeze()
	d.checkProblem("after its lease", d.waitSettled(1, "k1", body), "callOutcomeUnknown", "outcomeUnknown")
	d.repair(2, "settle", "--team", "lahore-club", "--key", "k1", "--finding", "ran", "--operator", "test")
	d.entries[0].thaw()
	<-answered
	for i := range 3 {
		d.checkProblem("after the thaw", d.waitSettled(i, "k1", body), "callSettled", "ran")
	}
	if n := d.runCount(body); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

func TestCallMemoryLost(t *testing.T) {
	for name, disks := range map[string]bool{"disks": true, "memory": false} {
		t.Run(name, func(t *testing.T) {
			d := newServiceSystem(t, options{dataFolders: disks})
			first := d.sendOrder(0, "k1", "lentils")
			check := func(what string) {
				t.Helper()
				for i := range 3 {
					if a := d.waitSettled(i, "k1", "lentils"); a.body != first.body || a.status != http.StatusOK {
						t.Errorf("%s: entry %d answered %d %q, first %q", what, i, a.status, a.body, first.body)
					}
				}
			}
			d.loseData(0)
			check("one lost")
			d.loseData(1)
			check("a second lost after the repair")
			d.loseData(2, 0)
			check("two lost at once")
			d.loseData(0, 1, 2)
			a := d.waitSettled(0, "k1", "lentils")
			d.checkProblem("all lost", a, "callOutcomeUnknown", "outcomeUnknown")
			d.until("a new key is answered", func() bool { return d.sendOrder(0, "k2", "rice").status == http.StatusOK })
			if n := d.runCount("lentils"); n != 1 {
				t.Errorf("the order ran %d times", n)
			}
		})
	}
}

func TestCallDiskKept(t *testing.T) {
	d := newServiceSystem(t, options{dataFolders: true})
	first := d.sendOrder(0, "k1", "lentils")
	for _, e := range d.entries {
		e.kill()
	}
	d.restart(0, 1, 2)
	if a := d.waitSettled(1, "k1", "lentils"); a.body != first.body {
		t.Errorf("after a restart of all, the order was answered %d %q, first %q", a.status, a.body, first.body)
	}
}

func TestCallIsolatedRegion(t *testing.T) {
	d := newServiceSystem(t, options{regions: []string{"lahore", "karachi"}})
	remote := d.do(http.MethodPost, d.entries[3].caller, orderPath, lahoreToken, "from away", "Idempotency-Key", "k1")
	if remote.status != http.StatusOK {
		t.Errorf("an order through another region was answered %d %q", remote.status, remote.body)
	}
	for _, p := range d.processes {
		if strings.HasPrefix(p.name, "control") || strings.Contains(p.name, "karachi") {
			p.freeze()
		}
	}
	if a := d.sendOrder(0, "k2", "isolated"); a.status != http.StatusOK {
		t.Errorf("an isolated region answered an order with %d %q", a.status, a.body)
	}
	if a := d.sendOrder(1, "k1", "from away"); a.body != remote.body {
		t.Errorf("an isolated region answered a resend with %d %q", a.status, a.body)
	}
	d.entries[2].kill()
	if a := d.sendOrder(0, "k3", "with one replica down"); a.status != http.StatusOK {
		t.Errorf("with one replica down an order was answered %d %q", a.status, a.body)
	}
}
