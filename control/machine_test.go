package control

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"arbutusreel/configuration"
	"arbutusreel/consensus"
	"arbutusreel/distribution"
	"arbutusreel/inventory"
	"arbutusreel/journal"
	"arbutusreel/wire"
)

// newTestInventory returns an inventory of 21 regions with 73 failure domains, 13 models and the given number of teams.
func newTestInventory(t testing.TB, teams int, tokens float64) *inventory.Inventory {
	t.Helper()
	c := inventory.Contents{
		Classes: []inventory.Class{{Name: "plan", Priority: 1, Weight: 1, Patience: time.Second}},
		Rules:   inventory.Rules{Objective: inventory.Objective{Cost: 1, Latency: 1, Away: 1}, ReservationQuantile: 0.9},
	}
	for i := range 21 {
		r := inventory.Region{Name: fmt.Sprint("region-", i), CostPerThousandTokens: 1}
		for j := range 3 + i%2 {
			r.FailureDomains = append(r.FailureDomains, fmt.Sprint(r.Name, "-", j))
		}
		for j := range i {
			c.Links = append(c.Links, inventory.Link{From: r.Name, To: c.Regions[j].Name, BytesPerSecond: 1 << 27, RoundTrip: 80 * time.Millisecond})
		}
		c.Regions = append(c.Regions, r)
		c.Labels = append(c.Labels, inventory.Label{Name: fmt.Sprint("home-", i), AllowedRegions: []string{r.Name}})
	}
	var models []string
	for i := range 13 {
		models = append(models, fmt.Sprint("model-", i))
		c.Models = append(c.Models, inventory.Model{Name: models[i], Versions: []string{"v1", "v2"}, Adapters: []string{"menus"}, WeightBytes: 1 << 34})
	}
	c.Services = []inventory.Service{{Name: "engines", Kind: inventory.KindModel, Models: models, MinEndpointsPerModel: 1}}
	for i := range teams {
		digest := sha256.Sum256([]byte(fmt.Sprint(i)))
		c.Teams = append(c.Teams, inventory.Team{
			Name: fmt.Sprint("team-", i), HomeRegion: c.Regions[i%21].Name, CredentialDigest: hex.EncodeToString(digest[:]),
			Classes: []string{"plan"}, DefaultClass: "plan", Labels: []string{c.Labels[i%21].Name}, TokensPerSecond: 1000,
		})
	}
	c.Teams[teams/2].TokensPerSecond = tokens
	inv, err := inventory.New(c)
	if err != nil {
		t.Fatal(err)
	}
	return inv
}

func TestMachineAnswersAfterSnapshot(t *testing.T) {
	m := newStateMachine()
	first := encodeCommand(configuration.Change{ID: "first", Inventory: newTestInventory(t, 10, 1)}, 0, nil)
	refused := encodeCommand(configuration.Change{ID: "refused", Inventory: newTestInventory(t, 10, 2)}, 0, nil)
	for _, command := range [][]byte{first, refused} {
		if _, err := m.apply(1, command); err != nil {
			t.Fatal(err)
		}
	}
	next := configuration.Change{ID: "second", Expected: 1, Inventory: newTestInventory(t, 10, 3)}
	if _, err := m.apply(1, encodeCommand(next, 1, m.encodedInventory)); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(marshal(wire.EncodeInventory(next.Inventory)), m.encodedInventory); diff != "" {
		t.Errorf("the inventory of a delta: %s", diff)
	}
	stale := encodeCommand(configuration.Change{ID: "stale", Expected: 1, Inventory: newTestInventory(t, 10, 4)}, 1, []byte("another inventory"))
	if got, err := m.apply(1, stale); got.Accepted || err != nil {
		t.Errorf("a delta against an old revision: %+v, %v", got, err)
	}
	other := newTestInventory(t, 10, 4)
	foreign := encodeCommand(configuration.Change{ID: "foreign", Expected: 2, Inventory: other}, 2, marshal(wire.EncodeInventory(other)))
	if _, err := m.apply(1, foreign); !errors.As(err, new(*RecordError)) {
		t.Errorf("a delta against another inventory: %v", err)
	}
	restored, err := restoreStateMachine(1, m.snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(restored.snapshot(), m.snapshot()) {
		t.Error("the snapshot of the restored state differs")
	}
	for _, c := range []struct {
		command []byte
		want    configuration.Answer
	}{
		{first, configuration.Answer{Accepted: true, Revision: 1}},
		{refused, configuration.Answer{Revision: 1}},
	} {
		got, err := restored.apply(1, c.command)
		if diff := cmp.Diff(c.want, got); diff != "" || err != nil {
			t.Errorf("a resend after the snapshot: %v: %s", err, diff)
		}
	}
	if restored.state.Revision() != 2 {
		t.Errorf("revision %d", restored.state.Revision())
	}
}

// TestDiskRemembers persists the actions of a node and compares the state that is restored after a restart.
func TestDiskRemembers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	open := func() (*journal.Folder, *disk, consensus.Restored) {
		f, err := journal.OpenFolder(path)
		if err != nil {
			t.Fatal(err)
		}
		d, r, err := openDisk(f)
		if err != nil {
			t.Fatal(err)
		}
		return f, d, r
	}
	f, d, r := open()
	if diff := cmp.Diff(consensus.Restored{}, r); diff != "" {
		t.Errorf("state restored from an empty disk: %s", diff)
	}
	members := consensus.Members{{ID: consensus.ID{Name: "a", Disk: d.identity}, Address: "127.0.0.1:1", Voter: true}}
	entry := func(index, term int64) consensus.Entry {
		return consensus.Entry{Index: index, Term: term, Data: []byte(fmt.Sprint(index, term))}
	}
	hard := consensus.HardState{Term: 3, Vote: members[0].ID}
	for _, w := range []diskWrite{
		{hardState: &consensus.HardState{Term: 2}, snapshot: &consensus.Snapshot{Index: 4, Term: 1, Members: members, Data: []byte("state")}},
		{entries: []consensus.Entry{entry(5, 1), entry(6, 1), entry(7, 1)}},
		{hardState: &hard, entries: []consensus.Entry{entry(6, 3)}},
	} {
		if err := d.write(w); err != nil {
			t.Fatal(err)
		}
	}
	identity := d.identity
	_ = f.Close()
	f, d, r = open()
	defer f.Close()
	want := consensus.Restored{
		HardState: hard,
		Snapshot:  &consensus.Snapshot{Index: 4, Term: 1, Members: members, Data: []byte("state")},
		Entries:   []consensus.Entry{entry(5, 1), entry(6, 3)},
	}
	if diff := cmp.Diff(want, r); diff != "" || d.identity != identity {
		t.Errorf("disk %q, was %q: %s", d.identity, identity, diff)
	}
}

// BenchmarkChange decides a change to one team and reports the sizes of the inventory, of its delta and of a snapshot.
func BenchmarkChange(b *testing.B) {
	for _, teams := range []int{10, 90, 360} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			m := newStateMachine()
			inventories := []*inventory.Inventory{newTestInventory(b, teams, 1), newTestInventory(b, teams, 2)}
			var sizes struct{ whole, delta, command int }
			for i := range b.N {
				before := m.encodedInventory
				c := configuration.Change{ID: fmt.Sprint(i), Expected: int64(i), Inventory: inventories[i%2]}
				command := encodeCommand(c, m.state.Revision(), m.encodedInventory)
				if _, err := m.apply(1, command); err != nil {
					b.Fatal(err)
				}
				sizes.command = len(command)
				sizes.whole = len(m.encodedInventory)
				sizes.delta = len(distribution.NewDelta(1, before, m.encodedInventory).Middle)
			}
			b.ReportMetric(float64(sizes.whole), "wholeBytes")
			b.ReportMetric(float64(sizes.delta), "deltaBytes")
			b.ReportMetric(float64(sizes.command), "commandBytes")
			b.ReportMetric(float64(len(m.snapshot())), "snapshotBytes")
		})
	}
}
