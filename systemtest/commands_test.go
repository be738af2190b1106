package systemtest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// TestEditedInventory edits the output of the get command while another operator changes the inventory: applying the
// outdated file must be refused.
func TestEditedInventory(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{regions: lunchClubRegions[:1], entriesPerRegion: 2, inventory: lunchClubInventory})
	edited := filepath.Join(s.dir, "edited.json")
	s.edit(edited)
	out, err := s.command("diff", edited)
	if want := `rules.retryBudget: "0.1" -> "0.25"`; err != nil || strings.TrimSpace(out) != want {
		t.Errorf("diff: %v: %q, want %q", err, out, want)
	}
	s.mustChange("another", 1)
	if out, err := s.command("apply", edited); err == nil || !strings.Contains(out, "revisionConflict") {
		t.Errorf("a file made from revision 1 was applied on revision 2: %v: %s", err, out)
	}
	s.edit(edited)
	out, err = s.command("apply", edited, "--wait")
	if want := "revision 3 in force at 2 instances"; err != nil || !strings.Contains(out, want) {
		t.Errorf("apply: %v: %q, want %q", err, out, want)
	}
	if out, err := s.command("diff", edited); err != nil || !strings.HasPrefix(out, "the file is based on revision 2; revision 3 is in force") || strings.Contains(out, "->") {
		t.Errorf("diff of the inventory in force: %v: %q", err, out)
	}
}

// edit writes the output of the get command to a file, with another retry budget.
func (s *system) edit(file string) {
	s.t.Helper()
	out, err := s.command("get")
	if err != nil || !strings.Contains(out, `"retryBudget": 0.1`) {
		s.t.Fatalf("get: %v: %s", err, out)
	}
	changed := strings.Replace(out, `"retryBudget": 0.1`, `"retryBudget": 0.25`, 1)
	if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// TestWaitNamesLagging waits for a revision while an entry is frozen, and again after it is thawed. The other entry may
// follow the frozen one, and then lags as well until it has switched to another source.
func TestWaitNamesLagging(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{regions: lunchClubRegions[:1], entriesPerRegion: 2, inventory: lunchClubInventory})
	s.waitInForce(1)
	frozen := s.entries[1]
	frozen.freeze()
	out, err := s.command("apply", lunchClubInventory, "--expected", "1", "--wait", "--timeout", "5s")
	_, lagging, waited := strings.Cut(out, "not seen yet at")
	if err == nil || !strings.Contains(out, "revision 2 accepted") || !waited || !strings.Contains(lagging, frozen.name) {
		t.Errorf("apply with a frozen entry: %v: %s", err, out)
	}
	frozen.thaw()
	out, err = s.command("apply", lunchClubInventory, "--expected", "2", "--wait")
	if want := "revision 3 in force at 2 instances"; err != nil || !strings.Contains(out, want) {
		t.Errorf("apply after the entry was thawed: %v: %q, want %q", err, out, want)
	}
	table, err := s.command("status", "--table")
	if err != nil || !strings.Contains(table, "INSTANCE") || !strings.Contains(table, frozen.name) {
		t.Errorf("status: %v: %s", err, table)
	}
}

// patches is the number of operators that change the inventory concurrently.
const patches = 8

// TestRacingPatches sends patches of several operators concurrently and retries each until it is accepted, while the
// leader is killed. Each patch must take effect exactly once.
func TestRacingPatches(t *testing.T) {
	t.Parallel()
	s := newVoterSystem(t, 1)
	leader := s.leader()
	var wg sync.WaitGroup
	for i := range patches {
		file := filepath.Join(s.dir, fmt.Sprintf("patch-%d.json", i))
		text := fmt.Sprintf(`{"labels": [{"name": "label-%d", "allowedRegions": ["lahore"]}]}`, i)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		wg.Go(func() {
			s.until(fmt.Sprintf("patch %d is accepted", i), func() bool {
				out, err := s.command("patch", file, "--changeId", fmt.Sprint("patch-", i))
				return err == nil && strings.Contains(out, "accepted")
			})
		})
		if i == patches/2 {
			leader.kill()
		}
	}
	wg.Wait()
	leader.start()
	out, err := s.command("get")
	if want := fmt.Sprintf(`"revision": "%d"`, 1+patches); err != nil || !strings.Contains(out, want) {
		t.Errorf("get: %v: %.100s, want %s", err, out, want)
	}
	for i := range patches {
		if !strings.Contains(out, fmt.Sprintf("label-%d", i)) {
			t.Errorf("patch %d is not in force", i)
		}
		again, err := s.command("patch", "--remove", fmt.Sprintf("labels[label-%d]", i), "--changeId", fmt.Sprint("patch-", i))
		if err != nil || !strings.Contains(again, "accepted") {
			t.Errorf("patch %d sent again: %v: %s", i, err, again)
		}
	}
	if out, err := s.command("patch", "--remove", "labels[label-0],labels[unknown]"); err == nil || !strings.Contains(out, `remove[1]: value "labels[unknown]"`) {
		t.Errorf("a patch that removes an unknown label: %v: %s", err, out)
	}
	if out, err := s.command("patch", "--remove", "labels[label-0]", "--wait"); err != nil || !strings.Contains(out, fmt.Sprintf("revision %d in force", 2+patches)) {
		t.Errorf("a patch that removes a label: %v: %s", err, out)
	}
}

// TestHistoryAndRollback changes the inventory, restarts the voter from its snapshot, and rolls back to an earlier
// revision.
func TestHistoryAndRollback(t *testing.T) {
	t.Parallel()
	s := newSystem(t, options{regions: lunchClubRegions[:1], entriesPerRegion: 1, inventory: lunchClubInventory, controlArgs: []string{"--snapshotEntries", "10"}})
	must := func(want string, args ...string) {
		t.Helper()
		if out, err := s.command(args...); err != nil || !strings.Contains(out, want) {
			t.Errorf("%v: %v: %s, want %s", args, err, out, want)
		}
	}
	for revision := 2; revision <= 11; revision++ {
		must(fmt.Sprintf("revision %d accepted", revision), "apply", lunchClubInventory)
	}
	edited := filepath.Join(s.dir, "edited.json")
	s.edit(edited)
	must("revision 12 accepted", "apply", edited, "--operator", "amna")
	label := filepath.Join(s.dir, "label.json")
	if err := os.WriteFile(label, []byte(`{"labels": [{"name": "open", "allowedRegions": ["lahore"]}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	must("revision 13 accepted", "patch", label, "--operator", "bilal")
	s.controls[0].kill()
	s.controls[0].start()
	must(`operator "bilal"`, "history", "--count", "1")
	must(`rules.retryBudget: "0.1" -> "0.25"`, "history")
	must(`"inForce": "13"`, "get", "--revision", "2")
	must("revision 14 accepted", "rollback", "2", "--operator", "amna", "--wait")
	must(`"retryBudget": 0.1`, "get")
	must(`labels[open]: "{\"name\":\"open\",\"allowedRegions\":[\"lahore\"]}" -> ""`, "history", "--count", "1")
	if out, err := s.command("rollback", "99"); err == nil || !strings.Contains(out, "unknownRevision") {
		t.Errorf("an unknown revision was put in force: %v: %s", err, out)
	}
}
