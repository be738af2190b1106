package control

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/configuration"
	"arbutusreel/decision"
	"arbutusreel/fleet"
	"arbutusreel/keys"
	"arbutusreel/problem"
)

// daemon is a control daemon that can be stopped and restarted.
type daemon struct {
	*Control
	cfg  Config
	stop func()
}

// start runs a daemon in a data folder until the test ends or it is stopped.
func start(t *testing.T, cfg Config) *daemon {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := New(cfg, zerolog.Nop(), time.Now)
	opened, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- c.RunOpened(ctx, opened) }()
	select {
	case <-opened:
	case err := <-ended:
		cancel()
		t.Fatalf("the daemon ended before it accepted calls: %v", err)
	}
	d := &daemon{Control: c, cfg: cfg, stop: func() {
		cancel()
		<-c.Done()
	}}
	t.Cleanup(d.stop)
	return d
}

// newConfigs returns the configurations of daemons with the same seeds; the first ones are the initial voters.
func newConfigs(t *testing.T, initialVoters, joiners int) []Config {
	t.Helper()
	var all []Config
	var seeds, voters []string
	for i := range initialVoters + joiners {
		address := freeAddress(t)
		name := string(rune('a' + i))
		if i < initialVoters {
			seeds, voters = append(seeds, address), append(voters, name+"="+address)
		}
		all = append(all, Config{
			Name: name, Region: "r", FailureDomain: "d", PeerAddress: address, OperatorAddress: freeAddress(t), DataFolder: t.TempDir(),
			Join: i >= initialVoters, Heartbeat: 10 * time.Millisecond, ElectionTimeout: 60 * time.Millisecond, SnapshotEntries: 8,
			PlacementPeriod: time.Second, Keys: keys.Plain(), Decisions: decision.New(1 << 16), ToleratedDisks: 1,
		})
	}
	for i := range all {
		all[i].Seeds, all[i].Voters = seeds, voters
	}
	return all
}

// withSlowElections has no election take place while the process is starved for a moment, for tests that rely on a leader.
func withSlowElections(cfgs []Config) []Config {
	for i := range cfgs {
		cfgs[i].ElectionTimeout = 500 * time.Millisecond
	}
	return cfgs
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func putDocument(t *testing.T, d *daemon, version int64, content string) {
	t.Helper()
	waitFor(t, "document decided", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return d.PutDocument(ctx, configuration.Document{Version: version, Content: []byte(content)}) == nil
	})
}

func readNewest(t *testing.T, d *daemon) configuration.Document {
	t.Helper()
	var got configuration.Document
	waitFor(t, "document read", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var err error
		got, err = d.Newest(ctx)
		return err == nil
	})
	return got
}

func (d *daemon) voters() int { return len(d.quorum.Status().Members.Voters()) }

// TestQuorumFromSeeds bootstraps a quorum from three seeds while two more daemons request membership. The document with
// the highest version wins, whichever daemon receives it. A daemon that lost its disk becomes a voter again and
// restores the accepted state, and all daemons restore it after a restart of all of them.
func TestQuorumFromSeeds(t *testing.T) {
	cfgs := newConfigs(t, 3, 2)
	daemons := make([]*daemon, len(cfgs))
	for i := len(cfgs) - 1; i >= 0; i-- {
		daemons[i] = start(t, cfgs[i])
	}
	waitFor(t, "five voters everywhere", func() bool {
		for _, d := range daemons {
			if d.voters() != len(cfgs) || !d.Current() {
				return false
			}
		}
		return true
	})
	for i, d := range daemons {
		putDocument(t, d, int64(10+i), "newer")
		putDocument(t, d, int64(10+i), "other content under the same version")
		putDocument(t, d, 3, "older")
		if got := readNewest(t, daemons[(i+1)%len(daemons)]); got.Version != int64(10+i) || string(got.Content) != "newer" {
			t.Errorf("version %d %q", got.Version, got.Content)
		}
	}
	waitFor(t, "evacuation decided", func() bool { return daemons[4].Evacuate(t.Context(), "d", false, daemons[4].KnownIndex()) == nil })

	daemons[1].stop()
	lost := cfgs[1]
	lost.DataFolder, lost.Join = t.TempDir(), true
	daemons[1] = start(t, lost)
	waitFor(t, "the emptied daemon is a voter and current", func() bool {
		return daemons[1].voters() == len(cfgs) && daemons[1].Current() && daemons[1].quorum.Orders().Document().Version == 14
	})

	for _, d := range daemons {
		d.stop()
	}
	for i, d := range daemons {
		daemons[i] = start(t, d.cfg)
	}
	for _, d := range daemons {
		if got := readNewest(t, d); got.Version != 14 || string(got.Content) != "newer" {
			t.Errorf("after a restart of all: version %d %q", got.Version, got.Content)
		}
		waitFor(t, "the evacuation is known", func() bool { return len(d.quorum.Orders().Evacuations().Domains) == 1 })
	}
}

// TestRestartKnowsCommitted restarts one of three voters alone. Without a quorum it refuses reads, but it restores the
// document that it knew to be committed, for gateways that can reach no other control daemon.
func TestRestartKnowsCommitted(t *testing.T) {
	cfgs := newConfigs(t, 3, 0)
	var daemons []*daemon
	for _, cfg := range cfgs {
		daemons = append(daemons, start(t, cfg))
	}
	putDocument(t, daemons[0], 7, "accepted")
	waitFor(t, "the document is in force everywhere", func() bool {
		return daemons[0].quorum.Orders().Document().Version == 7 && daemons[1].quorum.Orders().Document().Version == 7 && daemons[2].quorum.Orders().Document().Version == 7
	})
	for _, d := range daemons {
		d.stop()
	}
	alone := start(t, cfgs[2])
	waitFor(t, "the document is in force", func() bool { return alone.quorum.Orders().Document().Version == 7 })
	_, err := alone.Newest(t.Context())
	var p *problem.Problem
	if !errors.As(err, &p) || p.Status != http.StatusServiceUnavailable {
		t.Errorf("a read without a quorum was answered %v", err)
	}
	if alone.Current() {
		t.Error("a voter without a leader reports that it is current")
	}
}

// TestSharedHeartbeats checks that all daemons receive the state of an endpoint that announces itself to one of them,
// and its departure.
func TestSharedHeartbeats(t *testing.T) {
	cfgs := newConfigs(t, 3, 0)
	var daemons []*daemon
	for _, cfg := range cfgs {
		daemons = append(daemons, start(t, cfg))
	}
	state := func(d *daemon) fleet.State {
		d.fleet.mu.Lock()
		defer d.fleet.mu.Unlock()
		e, ok := d.fleet.endpoints.Get("e")
		if !ok {
			return -1
		}
		return e.State
	}
	for sequence, want := range []fleet.State{fleet.Ready, fleet.Draining} {
		daemons[0].Announce(fleet.Endpoint{ID: "e", Born: 1, Sequence: int64(sequence), Service: "s", Address: "10.0.0.1:1", State: want, LastSeen: time.Now()})
		waitFor(t, want.String()+" everywhere", func() bool { return state(daemons[1]) == want && state(daemons[2]) == want })
	}
	daemons[1].RemoveEndpoint(t.Context(), "e", 0)
	waitFor(t, "gone everywhere", func() bool { return state(daemons[0]) == fleet.Gone && state(daemons[2]) == fleet.Gone })
	// A delayed heartbeat does not bring it back.
	daemons[2].Announce(fleet.Endpoint{ID: "e", Born: 1, Sequence: 9, Service: "s", Address: "10.0.0.1:1", LastSeen: time.Now()})
	if state(daemons[2]) != fleet.Gone {
		t.Error("a late heartbeat brought an endpoint back")
	}
}
