package systemtest

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"arbutusreel/journal"
	"arbutusreel/wiregen"
)

func TestRestartAfterHundredsOfChanges(t *testing.T) {
	s := newVoterSystem(t, 1)
	const changes = 300
	// maxEntries is the number of entries after which the voters take a snapshot.
	const maxEntries = 40
	leader := s.leader()
	killed := s.otherControls(leader)[0]
	killed.kill()
	for i := 1; i <= changes; i++ {
		a := s.do(http.MethodPost, leader.operator, "/v1/inventory", operatorToken, applyBody(t, fmt.Sprint("change-", i), i))
		if a.status != http.StatusOK {
			t.Fatalf("change %d: %d %s", i, a.status, a.body)
		}
	}
	for _, c := range s.otherControls(killed) {
		c.kill()
	}
	for _, c := range s.controls {
		c.start()
	}
	if m := s.leader(); m == nil || s.status().Revision != fmt.Sprint(changes+1) {
		t.Fatalf("after the restart: %+v", s.status())
	}
	s.otherControls(killed)[0].kill()
	s.mustChange("change-7", 7)
	s.mustChange("after", changes+1)
	s.waitInForce(changes + 2)
	leader.kill()
	if n := leader.journalEntries(); n > maxEntries {
		t.Errorf("the journal has %d entries and was not compacted", n)
	}
}

// journalEntries returns the number of entries in the journal of a voter that has ended. The journal must contain a
// snapshot.
func (p *process) journalEntries() int {
	p.t.Helper()
	folder, err := journal.OpenFolder(p.args[slices.Index(p.args, "--dataFolder")+1])
	if err != nil {
		p.t.Fatal(err)
	}
	defer folder.Close()
	j, contents, err := journal.Open(folder, "")
	if err != nil {
		p.t.Fatal(err)
	}
	defer j.Close()
	if contents.Snapshot == nil {
		p.t.Error("the journal has no snapshot")
	}
	n := 0
	for _, record := range contents.Records {
		m := &wiregen.JournalRecord{}
		if err := proto.Unmarshal(record, m); err != nil {
			p.t.Fatal(err)
		}
		n += len(m.GetEntries())
	}
	p.t.Logf("the journal has %d entries in %d records and a snapshot of %d bytes", n, len(contents.Records), len(contents.Snapshot))
	return n
}
