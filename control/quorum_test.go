package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/configuration"
	"arbutusreel/consensus"
	"arbutusreel/fleet"
	"arbutusreel/journal"
	"arbutusreel/keys"
	"arbutusreel/problem"
)

// failingFiles is a folder whose files fail to sync after the given number of syncs.
type failingFiles struct {
	*journal.Folder
	syncs int
}

type failingFile struct {
	journal.File
	files *failingFiles
}

func (f *failingFiles) Append(name string) (journal.File, error) {
	file, err := f.Folder.Append(name)
	return failingFile{File: file, files: f}, err
}

func (f failingFile) Sync() error {
	f.files.syncs--
	if f.files.syncs < 0 {
		return syscall.EIO
	}
	return f.File.Sync()
}

func newTestRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// startSingleVoter starts a quorum of one voter and returns it with the channel for the result of its event loop.
func startSingleVoter(t testing.TB, syncs int) (*quorum, <-chan error) {
	t.Helper()
	folder, err := journal.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	d, restored, err := openDisk(&failingFiles{Folder: folder, syncs: syncs})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cfg := Config{
		Name: "a", Voters: []string{"a=127.0.0.1:1"}, SnapshotEntries: 100,
		Heartbeat: 5 * time.Millisecond, ElectionTimeout: 20 * time.Millisecond,
	}
	q, err := newQuorum(cfg, d, restored, newLinks(ctx, keys.Plain(), zerolog.Nop()), func(int64, []byte) {}, func([]fleet.LoggedDeparture) {}, zerolog.Nop(), time.Now, newTestRand())
	if err != nil {
		t.Fatal(err)
	}
	failed, stopped := make(chan error, 1), make(chan struct{})
	go func() {
		defer close(stopped)
		failed <- q.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
		_ = folder.Close()
	})
	return q, failed
}

func (q *quorum) waitForLease(t testing.TB) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, _, ok := q.Lease(time.Now()); ok {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("no lease")
		}
	}
}

func TestFailedSyncStopsVoter(t *testing.T) {
	const syncsToLead = 4
	q, failed := startSingleVoter(t, syncsToLead)
	q.waitForLease(t)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := q.Propose(ctx, configuration.Change{ID: "lost", Inventory: newTestInventory(t, 1, 1)})
	var p *problem.Problem
	if !errors.As(err, &p) || p.Code != problem.ChangeUnknown || p.Outcome != problem.Unknown {
		t.Errorf("the change was answered %v", err)
	}
	var failure *journal.WriteError
	if err := <-failed; !errors.As(err, &failure) {
		t.Errorf("the loop ended with %v", err)
	}
	if q.Current().Revision != 0 {
		t.Error("a change that was not synced is in force")
	}
}

// TestCallUnansweredAtEnd guards against changes and reads that wait for a voter whose event loop has ended, for longer than its daemon
// waits for calls in progress: their callers' connections were closed without an answer.
func TestCallUnansweredAtEnd(t *testing.T) {
	const syncsToLead = 4
	q, failed := startSingleVoter(t, syncsToLead)
	q.waitForLease(t)
	calls := map[string]func() error{
		"change": func() error {
			_, err := q.Propose(t.Context(), configuration.Change{ID: "change", Inventory: newTestInventory(t, 1, 1)})
			return err
		},
		"read": func() error { return q.Confirm(t.Context()) },
		"answer": func() error {
			_, _, err := q.RecordedAnswer(t.Context(), "change")
			return err
		},
	}
	check := func(when, name string, err error) {
		var p *problem.Problem
		if !errors.As(err, &p) || !strings.Contains(p.Detail, "ended") {
			t.Errorf("%s: the %s was answered %v", when, name, err)
		}
	}
	// The first write after the last sync that succeeds ends the event loop.
	check("in progress", "change", calls["change"]())
	<-failed
	for name, call := range calls {
		check("later", name, call())
	}
}

// TestOrderOfGoneCallerDecided checks that an order is not decided whose caller has gone before the voter handles it: the
// caller may have had it decided elsewhere, and the opposite order after it.
func TestOrderOfGoneCallerDecided(t *testing.T) {
	for _, c := range []struct {
		name   string
		queued bool
	}{{"gone before the call", false}, {"gone in the queue", true}} {
		t.Run(c.name, func(t *testing.T) {
			q, _ := startSingleVoter(t, 1<<30)
			q.waitForLease(t)
			for i := range 20 {
				release := q.block(t)
				ctx, cancel := context.WithCancel(t.Context())
				if !c.queued {
					cancel()
				}
				answered := make(chan error, 1)
				go func() {
					_, err := q.Propose(ctx, configuration.Change{ID: fmt.Sprint(i), Inventory: newTestInventory(t, 1, 1)})
					answered <- err
				}()
				for c.queued && q.inputs.Len() == 0 {
					time.Sleep(time.Millisecond)
				}
				cancel()
				if err := <-answered; err == nil {
					t.Error("the order was accepted")
				}
				close(release)
				if err := q.Confirm(t.Context()); err != nil {
					t.Fatal(err)
				}
				if _, ok, err := q.RecordedAnswer(t.Context(), fmt.Sprint(i)); ok || err != nil {
					t.Fatalf("the order was decided: %v, %v", ok, err)
				}
			}
		})
	}
}

// block keeps the event loop from handling its queue until the returned channel is closed.
func (q *quorum) block(t *testing.T) chan struct{} {
	t.Helper()
	blocked, release := make(chan struct{}), make(chan struct{})
	if err := q.enqueue(t.Context(), func(time.Time) { close(blocked); <-release }); err != nil {
		t.Fatal(err)
	}
	<-blocked
	return release
}

// TestUnreadableSnapshotStopsVoter checks that a snapshot that cannot be decoded is refused at installation and at
// start, and that the revision in force stays.
func TestUnreadableSnapshotStopsVoter(t *testing.T) {
	q, _ := startSingleVoter(t, 1<<30)
	q.waitForLease(t)
	if _, err := q.Propose(t.Context(), configuration.Change{ID: "kept", Inventory: newTestInventory(t, 1, 1)}); err != nil {
		t.Fatal(err)
	}
	installed := make(chan error, 1)
	if err := q.enqueue(t.Context(), func(time.Time) { installed <- q.install(&consensus.Snapshot{Index: 100, Data: []byte("unreadable")}) }); err != nil {
		t.Fatal(err)
	}
	var unreadable *RecordError
	if err := <-installed; !errors.As(err, &unreadable) {
		t.Errorf("the snapshot was answered %v", err)
	}
	q.waitForLease(t)
	if revision, encoded := q.currentEncoded(); revision != 1 || len(encoded) == 0 {
		t.Errorf("revision %d with %d bytes is in force", revision, len(encoded))
	}
	restored := consensus.Restored{Snapshot: &consensus.Snapshot{Index: 100, Data: []byte("unreadable")}}
	if _, err := newQuorum(q.cfg, q.disk, restored, q.links, q.onAccepted, q.onDeparted, zerolog.Nop(), time.Now, newTestRand()); !errors.As(err, &unreadable) {
		t.Errorf("a start from the snapshot was answered %v", err)
	}
}

// BenchmarkPropose decides changes sequentially and in parallel in a quorum of one voter with a disk.
func BenchmarkPropose(b *testing.B) {
	inv := newTestInventory(b, 90, 1)
	for _, parallel := range []int{1, 16} {
		b.Run(fmt.Sprint(parallel), func(b *testing.B) {
			q, _ := startSingleVoter(b, 1<<30)
			q.waitForLease(b)
			b.SetParallelism(parallel)
			b.ResetTimer()
			n := make(chan int, b.N)
			for i := range b.N {
				n <- i
			}
			run := func() {
				i := <-n
				if _, err := q.Propose(b.Context(), configuration.Change{ID: fmt.Sprint(i), Expected: int64(i), Inventory: inv}); err != nil {
					b.Error(err)
				}
			}
			if parallel == 1 {
				for range b.N {
					run()
				}
				return
			}
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					run()
				}
			})
		})
	}
}

func TestAcceptedAtFindsNextRemembered(t *testing.T) {
	first, second := time.Unix(5, 0), time.Unix(9, 0)
	q := &quorum{acceptTimes: map[int64]time.Time{5: first, 9: second}}
	for _, c := range []struct {
		revision int64
		want     time.Time
		ok       bool
	}{{3, first, true}, {5, first, true}, {6, second, true}, {10, time.Time{}, false}} {
		if at, ok := q.AcceptedAt(c.revision); at != c.want || ok != c.ok {
			t.Errorf("revision %d: %v, %v", c.revision, at, ok)
		}
	}
}
