package control

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"arbutusreel/configuration"
	"arbutusreel/consensus"
	"arbutusreel/journal"
	"arbutusreel/wiregen"
)

// update names a folder of golden records to write, by the commit that is landed.
var update = flag.String("update", "", "name of a folder in testdata to write a journal of this version to")

const goldenDocument = `{"version":7,"routes":[{"name":"r-1","host":"h.example","path_prefix":"/","kind":"safe","service":"s"}],"services":[{"name":"s"}],"limits":{}}`

// writeGoldenJournal writes the journal of a voter: a snapshot with a document, an evacuation and a change of the configuration, and
// after it entries of each kind and a vote.
func writeGoldenJournal(t *testing.T, folder string) {
	t.Helper()
	files, err := journal.OpenFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer os.Remove(filepath.Join(folder, "lock"))
	defer files.Close()
	d, _, err := openDisk(files)
	if err != nil {
		t.Fatal(err)
	}
	order := func(m *wiregen.FleetOrder) []byte { return marshal(&wiregen.ChangeCommand{Fleet: m, UnixMillis: 1}) }
	m := newStateMachine()
	for _, command := range [][]byte{
		encodeCommand(configuration.Change{ID: "first", Operator: "o", Inventory: newTestInventory(t, 10, 1)}, 0, nil),
		order(&wiregen.FleetOrder{Document: &wiregen.RouteDocument{Version: 6, Content: []byte(goldenDocument)}}),
		order(&wiregen.FleetOrder{Evacuation: &wiregen.EvacuationOrder{FailureDomain: "d-1"}}),
	} {
		if _, err := m.apply(1, command); err != nil {
			t.Fatal(err)
		}
	}
	snapshot := &consensus.Snapshot{Index: 3, Term: 1, Members: fuzzMembers(), Data: m.snapshot()}
	for _, w := range []diskWrite{
		{hardState: &consensus.HardState{Term: 1}, snapshot: snapshot, commit: 3},
		{hardState: &consensus.HardState{Term: 2, Vote: fuzzPeer}, commit: 7},
		{commit: 7, entries: []consensus.Entry{{Index: 4, Term: 2, Kind: consensus.TermEntry}, {Index: 5, Term: 2, Data: order(&wiregen.FleetOrder{Document: &wiregen.RouteDocument{Version: 6}})}}},
		{commit: 7, entries: []consensus.Entry{
			{Index: 5, Term: 2, Data: order(&wiregen.FleetOrder{Document: &wiregen.RouteDocument{Version: 7, Content: []byte(goldenDocument)}})},
			{Index: 6, Term: 2, Kind: consensus.MembersEntry, Members: fuzzMembers().Without("c")},
			{Index: 7, Term: 2, Data: order(&wiregen.FleetOrder{Evacuation: &wiregen.EvacuationOrder{FailureDomain: "d-2"}})},
		}},
	} {
		if err := d.write(w); err != nil {
			t.Fatal(err)
		}
	}
}

// TestGoldenJournals guards against records on disk of a landed version from which this one does not restore the documents,
// evacuations, members and votes that the voter had. Each folder in testdata/journals holds the journal of the commit that it is named
// after; the folders stay. For a version that is landed, one is written with
//
//	go test ./control -run TestGoldenJournals -update COMMIT
func TestGoldenJournals(t *testing.T) {
	all := filepath.Join("testdata", "journals")
	if *update != "" {
		writeGoldenJournal(t, filepath.Join(all, *update))
	}
	names, err := filepath.Glob(filepath.Join(all, "*", "journal"))
	if err != nil || len(names) == 0 {
		t.Fatalf("no journals: %v", err)
	}
	for _, name := range names {
		t.Run(filepath.Base(filepath.Dir(name)), func(t *testing.T) { checkGoldenJournal(t, name) })
	}
}

func checkGoldenJournal(t *testing.T, name string) {
	b, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "journal"), b, 0o600); err != nil {
		t.Fatal(err)
	}
	files, err := journal.OpenFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer files.Close()
	d, r, err := openDisk(files)
	if err != nil {
		t.Fatal(err)
	}
	if (r.HardState != consensus.HardState{Term: 2, Vote: fuzzPeer}) || r.Commit != 7 || d.identity == "" || len(r.Entries) != 4 {
		t.Fatalf("restored %+v with the identity %q", r, d.identity)
	}
	if diff := cmp.Diff(fuzzMembers(), r.Snapshot.Members); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(fuzzMembers().Without("c"), r.Entries[2].Members); diff != "" {
		t.Error(diff)
	}
	m, err := restoreStateMachine(r.Snapshot.Index, r.Snapshot.Data)
	if err != nil {
		t.Fatal(err)
	}
	if before := m.orders.Document(); before.Version != 6 || m.state.Revision() != 1 || len(m.history.Records()) != 1 {
		t.Errorf("the snapshot holds document %d, revision %d and %d changes", before.Version, m.state.Revision(), len(m.history.Records()))
	}
	for _, i := range []int{1, 3} {
		if _, err := m.apply(1, r.Entries[i].Data); err != nil {
			t.Fatal(err)
		}
	}
	want := configuration.Document{Version: 7, Content: []byte(goldenDocument)}
	if diff := cmp.Diff(want, m.orders.Document()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"d-1", "d-2"}, m.orders.Evacuations().Domains); diff != "" {
		t.Error(diff)
	}
}
