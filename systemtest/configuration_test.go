package systemtest

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var lunchClubRegions = []string{"lahore", "karachi", "peshawar"}

// newVoterSystem returns a system of three voters that take a snapshot every 40 entries, with entries in each region.
func newVoterSystem(t *testing.T, entriesPerRegion int) *system {
	t.Helper()
	return newSystem(t, options{
		regions: lunchClubRegions, entriesPerRegion: entriesPerRegion, inventory: lunchClubInventory,
		controlArgs: []string{"--snapshotEntries", "40"},
	})
}

type quorumMember struct {
	Name, Disk string
	Voter      bool
}

// quorumStatus is the part of the status command's output that the tests read.
type quorumStatus struct {
	Leader    string
	Revision  string
	Current   bool
	Members   []quorumMember
	Instances []struct{ Name, Revision, LagMillis string }
}

func (s *system) status() quorumStatus {
	s.t.Helper()
	out, err := s.command("status")
	var m quorumStatus
	if err == nil {
		err = json.Unmarshal([]byte(out), &m)
	}
	if err != nil {
		s.t.Logf("status: %v: %s", err, out)
	}
	return m
}

// leader waits for a leader and returns it.
func (s *system) leader() *instance {
	s.t.Helper()
	var leader *instance
	s.until("a voter leads", func() bool {
		m := s.status()
		i := slices.IndexFunc(s.controls, func(c *instance) bool { return c.name == m.Leader })
		if !m.Current || i < 0 {
			return false
		}
		leader = s.controls[i]
		return true
	})
	return leader
}

func (s *system) otherControls(excluded *instance) []*instance {
	return slices.DeleteFunc(slices.Clone(s.controls), func(c *instance) bool { return c == excluded })
}

// change proposes the same inventory again under a change ID.
func (s *system) change(id string, expected int) (string, error) {
	return s.command("apply", lunchClubInventory, "--expected", fmt.Sprint(expected), "--changeId", id)
}

// mustChange proposes a change and fails the test if it is not accepted.
func (s *system) mustChange(id string, expected int) {
	s.t.Helper()
	out, err := s.change(id, expected)
	if want := fmt.Sprintf("revision %d accepted", expected+1); err != nil || !strings.Contains(out, want) {
		s.t.Fatalf("change %s on revision %d: %v: %s", id, expected, err, out)
	}
}

// applyBody returns the request body of a change.
func applyBody(t *testing.T, id string, expected int) string {
	t.Helper()
	b, err := os.ReadFile(lunchClubInventory)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf(`{"expectedRevision":"%d","changeId":%q,"inventory":%s}`, expected, id, b)
}

// waitInForce waits until the status command reports a revision in force at every entry.
func (s *system) waitInForce(revision int) {
	s.t.Helper()
	s.until(fmt.Sprintf("revision %d is in force at every entry", revision), func() bool {
		at := map[string]bool{}
		for _, i := range s.status().Instances {
			at[i.Name] = i.Revision == fmt.Sprint(revision) && (i.LagMillis == "" || i.LagMillis == "0")
		}
		return !slices.ContainsFunc(s.entries, func(e *instance) bool { return !at[e.name] })
	})
}

func TestRacingOperators(t *testing.T) {
	s := newVoterSystem(t, 1)
	const operators = 8
	outs := make([]string, operators)
	errs := make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() { outs[i], errs[i] = s.change(fmt.Sprint("race-", i), 1) })
	}
	wg.Wait()
	accepted := 0
	for i := range operators {
		if errs[i] == nil {
			accepted++
			continue
		}
		if !strings.Contains(outs[i], "revisionConflict: revision 2 is in force, not 1") {
			t.Errorf("operator %d: %s", i, outs[i])
		}
	}
	if accepted != 1 {
		t.Errorf("%d operators that expected the same revision succeeded", accepted)
	}
	s.waitInForce(2)
}

func TestLeaderKilledAmidChanges(t *testing.T) {
	s := newVoterSystem(t, 1)
	for i := 1; i <= 24; i++ {
		var killed *instance
		if i%6 == 0 {
			killed = s.leader()
			time.AfterFunc(time.Duration(i)*time.Millisecond, func() { killed.signal(9) })
		}
		s.mustChange(fmt.Sprint("change-", i), i)
		if killed != nil {
			<-killed.done
			killed.start()
		}
	}
	s.mustChange("change-3", 3)
	if out, err := s.change("late", 3); err == nil || !strings.Contains(out, "revision 25 is in force") {
		t.Errorf("a change on an old revision: %v: %s", err, out)
	}
	s.waitInForce(25)
}

func TestLostAnswer(t *testing.T) {
	s := newVoterSystem(t, 1)
	leader := s.leader()
	body := applyBody(t, "lost", 1)
	conn, err := net.Dial("tcp", leader.operator)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST /v1/inventory HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", operatorToken, len(body), body)
	conn.Close()
	s.mustChange("lost", 1)
	leader.kill()
	s.mustChange("lost", 1)
	leader.start()
	s.mustChange("next", 2)
	s.mustChange("lost", 1)
}

// TestWokenLeaderIsNotCurrent freezes the leader while another one accepts a change, and sends requests that the frozen
// leader answers after it is thawed. It must neither return the old inventory nor accept a change.
func TestWokenLeaderIsNotCurrent(t *testing.T) {
	s := newVoterSystem(t, 1)
	old := s.leader()
	old.freeze()
	s.mustChange("while-frozen", 1)
	var wg sync.WaitGroup
	answers := make([]response, 20)
	for i := range answers {
		wg.Go(func() {
			if i%2 == 0 {
				answers[i] = s.do(http.MethodGet, old.operator, "/v1/inventory", operatorToken, "")
				return
			}
			answers[i] = s.do(http.MethodPost, old.operator, "/v1/inventory", operatorToken, applyBody(t, fmt.Sprint("stale-", i), 1))
		})
	}
	time.Sleep(300 * time.Millisecond)
	old.thaw()
	wg.Wait()
	for i, a := range answers {
		if a.status == http.StatusOK && !strings.Contains(a.body, `"revision": "2"`) {
			t.Errorf("request %d to the thawed leader: %d %.200s", i, a.status, a.body)
		}
		if i%2 == 1 && a.status == http.StatusOK {
			t.Errorf("the thawed leader accepted change %d", i)
		}
	}
	s.mustChange("after", 2)
	s.waitInForce(3)
}

// TestSecondLossAfterRepair erases the disk of a voter, replaces it as a member, and then erases the disk of a second
// voter. The accepted changes must survive, and new ones must be accepted.
func TestSecondLossAfterRepair(t *testing.T) {
	s := newVoterSystem(t, 1)
	s.mustChange("before", 1)
	first := s.controls[0]
	first.kill()
	if err := os.RemoveAll(filepath.Join(s.dir, first.name)); err != nil {
		t.Fatal(err)
	}
	first.start()
	s.mustChange("one-lost", 2)
	if out, err := s.command("members", "add", first.name+"="+first.peer); err == nil || !strings.Contains(out, "memberExists") {
		t.Errorf("adding a member that is still registered with its old disk: %v: %s", err, out)
	}
	if out, err := s.command("members", "remove", first.name); err != nil {
		t.Fatalf("remove: %v: %s", err, out)
	}
	if out, err := s.command("members", "add", first.name+"="+first.peer); err != nil {
		t.Fatalf("add: %v: %s", err, out)
	}
	s.until("the new member votes", func() bool {
		m := s.status().Members
		return len(m) == 3 && m[0].Voter && m[1].Voter && m[2].Voter
	})
	second := s.controls[1]
	second.kill()
	if err := os.RemoveAll(filepath.Join(s.dir, second.name)); err != nil {
		t.Fatal(err)
	}
	s.mustChange("two-lost", 3)
	s.mustChange("before", 1)
	s.waitInForce(4)
}

// TestFrozenVoterIsLeft freezes each voter in turn: the entries that follow it must switch to another one.
func TestFrozenVoterIsLeft(t *testing.T) {
	s := newVoterSystem(t, 2)
	for i, c := range s.controls {
		c.freeze()
		s.mustChange(fmt.Sprint("frozen-", i), i+1)
		s.waitInForce(i + 2)
		c.thaw()
	}
}

// TestJoinReplacesInstance adds a fourth voter, removes the first one, and kills another.
func TestJoinReplacesInstance(t *testing.T) {
	s := newVoterSystem(t, 1)
	old := s.controls[0]
	joined := &instance{region: "karachi", peer: freeAddress(t), operator: freeAddress(t)}
	args := append(slices.Clone(old.args),
		"--name", "control-new", "--peerAddress", joined.peer, "--operatorAddress", joined.operator,
		"--dataFolder", filepath.Join(s.dir, "control-new"), "--join", "true")
	joined.process = s.run("control-new", args...)
	s.controls = append(s.controls, joined)
	s.until("the new voter is added", func() bool {
		_, err := s.command("members", "add", "control-new="+joined.peer)
		return err == nil
	})
	s.until("the new voter votes", func() bool {
		return slices.ContainsFunc(s.status().Members, func(m quorumMember) bool { return m.Name == "control-new" && m.Voter })
	})
	if out, err := s.command("members", "remove", old.name); err != nil {
		t.Fatalf("remove: %v: %s", err, out)
	}
	old.kill()
	s.mustChange("replaced", 1)
	s.controls[1].kill()
	s.mustChange("one-less", 2)
	s.waitInForce(3)
}

func TestRollingRestartOfVoters(t *testing.T) {
	s := newVoterSystem(t, 1)
	if led := s.leader(); led != s.controls[0] {
		i := slices.Index(s.controls, led)
		s.controls[0], s.controls[i] = s.controls[i], s.controls[0]
	}
	for i, c := range s.controls {
		c.stop()
		if i == 0 && !strings.Contains(c.output(), `"transferred":true`) {
			t.Error("the stopped leader did not transfer its leadership")
		}
		s.mustChange(fmt.Sprint("without-", i), 2*i+1)
		c.start()
		s.mustChange(fmt.Sprint("with-", i), 2*i+2)
	}
	s.waitInForce(7)
}

func TestCutOffRegionRestartsFromPeers(t *testing.T) {
	s := newVoterSystem(t, 2)
	s.mustChange("second", 1)
	s.waitInForce(2)
	for _, c := range s.controls {
		c.freeze()
	}
	for _, e := range s.entries {
		if e.region != "lahore" {
			e.freeze()
		}
	}
	restarted := s.entries[0]
	restarted.kill()
	restarted.start()
	var a response
	s.until("the restarted entry is ready", func() bool {
		a = s.do(http.MethodGet, restarted.caller, "/readyz", "", "")
		return a.status == http.StatusOK
	})
	if !strings.Contains(a.body, `"2"`) || !strings.Contains(a.body, s.entries[1].name) {
		t.Errorf("readyz: %s", a.body)
	}
	for _, p := range s.processes {
		p.thaw()
	}
	s.mustChange("third", 2)
	s.waitInForce(3)
}

// TestRevisionsComeInForce logs the time from the decision on a change to its adoption by the last of nine entries.
func TestRevisionsComeInForce(t *testing.T) {
	s := newVoterSystem(t, 3)
	const changes = 40
	for i := 1; i <= changes; i++ {
		s.mustChange(fmt.Sprint("change-", i), i)
	}
	s.waitInForce(changes + 1)
	decided, adopted := map[int64]time.Time{}, map[int64]time.Time{}
	for _, p := range s.processes {
		for line := range strings.Lines(p.output()) {
			var m struct {
				Message  string
				Revision int64
				Time     time.Time
			}
			if json.Unmarshal([]byte(line), &m) != nil {
				continue
			}
			if m.Message == "changeDecided" && decided[m.Revision].IsZero() {
				decided[m.Revision] = m.Time
			}
			if m.Message == "inventoryAdopted" && m.Time.After(adopted[m.Revision]) {
				adopted[m.Revision] = m.Time
			}
		}
	}
	var waits []time.Duration
	for revision, at := range adopted {
		if !decided[revision].IsZero() {
			waits = append(waits, at.Sub(decided[revision]))
		}
	}
	slices.Sort(waits)
	t.Logf("%d revisions: median %v, longest %v", len(waits), waits[len(waits)/2], waits[len(waits)-1])
}
