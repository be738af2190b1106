package control

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/configuration"
	"arbutusreel/journal"
)

// unlimited is the room of a disk that is not full.
const unlimited = 1 << 40

// fillableFolder is a folder on a disk with room for a number of bytes, whose syncs take a time in nanoseconds; without room no file
// can be created.
type fillableFolder struct {
	*journal.Folder
	room, syncTime *atomic.Int64
}

type fillableFile struct {
	journal.File
	room, syncTime *atomic.Int64
}

func (f *fillableFolder) Append(name string) (journal.File, error) {
	if f.room.Load() <= 0 {
		return nil, syscall.ENOSPC
	}
	file, err := f.Folder.Append(name)
	if err != nil {
		return nil, err
	}
	return &fillableFile{File: file, room: f.room, syncTime: f.syncTime}, nil
}

func (f *fillableFile) Sync() error {
	time.Sleep(time.Duration(f.syncTime.Load()))
	return f.File.Sync()
}

func (f *fillableFile) Write(b []byte) (int, error) {
	room := max(f.room.Add(-int64(len(b)))+int64(len(b)), 0)
	if room >= int64(len(b)) {
		return f.File.Write(b)
	}
	n, err := f.File.Write(b[:room])
	return n, errors.Join(err, syscall.ENOSPC)
}

// restartedDaemon is a control daemon that is started again whenever it ends.
type restartedDaemon struct {
	t    *testing.T
	cfg  Config
	room atomic.Int64
	// syncTime is how long a sync of its disk takes, in nanoseconds.
	syncTime atomic.Int64
	current  atomic.Pointer[Control]
	// ends counts the ends of the daemon because of its disk.
	ends atomic.Int64
	stop func()
}

// keepRunning runs a daemon on a disk with the given room until the test ends or it is stopped.
func keepRunning(t *testing.T, cfg Config, room int64) *restartedDaemon {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &restartedDaemon{t: t, cfg: cfg}
	d.room.Store(room)
	stopped := make(chan struct{})
	d.stop = func() {
		cancel()
		<-stopped
	}
	go func() {
		defer close(stopped)
		for ctx.Err() == nil {
			d.run(ctx)
			select {
			case <-time.After(20 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}()
	t.Cleanup(d.stop)
	return d
}

func (d *restartedDaemon) run(ctx context.Context) {
	c := New(d.cfg, zerolog.Nop(), time.Now)
	c.openFolder = func(path string) (dataFolder, error) {
		folder, err := journal.OpenFolder(path)
		if err != nil {
			return nil, err
		}
		return &fillableFolder{Folder: folder, room: &d.room, syncTime: &d.syncTime}, nil
	}
	opened := make(chan struct{})
	go func() {
		select {
		case <-opened:
			d.current.Store(c)
		case <-c.Done():
		}
	}()
	if err := c.RunOpened(ctx, opened); errors.As(err, new(*journal.WriteError)) {
		d.ends.Add(1)
	} else if err != nil {
		d.t.Errorf("daemon %s ended: %v", d.cfg.Name, err)
	}
	d.current.Store(nil)
}

// put submits a document once and reports whether it was accepted.
func (d *restartedDaemon) put(version int64) bool {
	c := d.current.Load()
	if c == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(d.t.Context(), time.Second)
	defer cancel()
	return c.PutDocument(ctx, configuration.Document{Version: version, Content: make([]byte, 1000)}) == nil
}

func (d *restartedDaemon) leads() bool {
	c := d.current.Load()
	return c != nil && c.quorum.Status().IsLeader
}

// restored reports whether the daemon runs, has a leader, knows the number of voters and itself as one of them, and has the document.
func (d *restartedDaemon) restored(voters int, version int64) bool {
	c := d.current.Load()
	if c == nil || !c.Current() || c.Document().Version < version {
		return false
	}
	status := c.quorum.Status()
	return len(status.Members.Voters()) == voters && status.Members.Voter(status.Self)
}

func waitForRestored(t *testing.T, daemons []*restartedDaemon, version int64) {
	t.Helper()
	waitFor(t, "all daemons restored", func() bool {
		return !slices.ContainsFunc(daemons, func(d *restartedDaemon) bool { return !d.restored(len(daemons), version) })
	})
}

// putAnywhere submits a document to the daemons in turn until one of them accepts it.
func putAnywhere(t *testing.T, daemons []*restartedDaemon, version int64) {
	t.Helper()
	turn := 0
	waitFor(t, "a document accepted", func() bool {
		turn++
		return daemons[turn%len(daemons)].put(version)
	})
}

// TestDaemonNotRestoredAfterFullDisk has the disks of five control daemons be full in series, each until the daemon has ended twice:
// documents are accepted meanwhile, and in the end all daemons are voters and have the last one.
func TestDaemonNotRestoredAfterFullDisk(t *testing.T) {
	var daemons []*restartedDaemon
	for _, cfg := range newConfigs(t, 3, 2) {
		daemons = append(daemons, keepRunning(t, cfg, unlimited))
	}
	waitForRestored(t, daemons, 0)
	version := int64(0)
	for round := range 2 * len(daemons) {
		full := daemons[round%len(daemons)]
		if round%2 == 1 {
			waitFor(t, "a leader", func() bool { return slices.ContainsFunc(daemons, (*restartedDaemon).leads) })
			full = daemons[max(slices.IndexFunc(daemons, (*restartedDaemon).leads), 0)]
		}
		full.room.Store(int64(round % 3 * 100))
		ends := full.ends.Load()
		waitFor(t, "the ends of the daemon", func() bool {
			version++
			putAnywhere(t, daemons, version)
			return full.ends.Load() >= ends+2
		})
		full.room.Store(unlimited)
	}
	version++
	putAnywhere(t, daemons, version)
	waitForRestored(t, daemons, version)
}

// TestMemberNotPromotedAfterFullDisk has a new control daemon, and then one that lost its disk, start on a disk that takes nothing, or
// no more than its identity: each becomes a voter once the disk has room.
func TestMemberNotPromotedAfterFullDisk(t *testing.T) {
	for _, c := range []struct {
		name string
		room int64
	}{{"full at the first start", 0}, {"full after the identity was written", 100}} {
		t.Run(c.name, func(t *testing.T) {
			cfgs := newConfigs(t, 3, 1)
			var daemons []*restartedDaemon
			for _, cfg := range cfgs[:3] {
				daemons = append(daemons, keepRunning(t, cfg, unlimited))
			}
			waitForRestored(t, daemons, 0)
			putAnywhere(t, daemons, 1)
			check := func(added *restartedDaemon, version int64) {
				t.Helper()
				waitFor(t, "the end of the daemon", func() bool {
					version++
					putAnywhere(t, daemons[:2], version)
					return added.ends.Load() >= 5
				})
				added.room.Store(unlimited)
				waitForRestored(t, daemons, version)
			}
			daemons = append(daemons, keepRunning(t, cfgs[3], c.room))
			check(daemons[3], 1)
			daemons[2].stop()
			lost := cfgs[2]
			lost.DataFolder, lost.Join = t.TempDir(), true
			daemons[2] = keepRunning(t, lost, c.room)
			check(daemons[2], 1000)
		})
	}
}

// TestReplacedVoterNotReadmittedAfterFullDisk has a daemon join while the disk of a voter is full for so long that the voter is
// removed: the voter is added again once its disk has room.
func TestReplacedVoterNotReadmittedAfterFullDisk(t *testing.T) {
	cfgs := withSlowElections(newConfigs(t, 3, 3))
	var daemons []*restartedDaemon
	for _, cfg := range cfgs[:5] {
		daemons = append(daemons, keepRunning(t, cfg, unlimited))
	}
	waitForRestored(t, daemons, 0)
	replaced := daemons[1]
	replaced.room.Store(0)
	version := int64(0)
	waitFor(t, "the end of the daemon", func() bool {
		version++
		putAnywhere(t, daemons, version)
		return replaced.ends.Load() > 0
	})
	added := keepRunning(t, cfgs[5], unlimited)
	waitFor(t, "the removal of the voter", func() bool {
		c := added.current.Load()
		if c == nil {
			return false
		}
		_, member := c.quorum.Status().Members.Find(replaced.cfg.Name)
		return !member && added.restored(5, version)
	})
	replaced.room.Store(unlimited)
	version++
	putAnywhere(t, daemons, version)
	waitForRestored(t, append(daemons, added), version)
}

// TestDaemonsBesideSlowDisks guards against daemons that elect no leader, or accept nothing, while each sync takes longer than an
// election.
func TestDaemonsBesideSlowDisks(t *testing.T) {
	var daemons []*restartedDaemon
	for _, cfg := range withSlowElections(newConfigs(t, 3, 0)) {
		daemons = append(daemons, keepRunning(t, cfg, unlimited))
	}
	waitForRestored(t, daemons, 0)
	for _, d := range daemons {
		d.syncTime.Store(int64(2 * d.cfg.ElectionTimeout))
	}
	version := int64(1)
	putSlowly(t, daemons, version)
	leader := daemons[max(slices.IndexFunc(daemons, (*restartedDaemon).leads), 0)]
	leader.stop()
	rest := slices.DeleteFunc(slices.Clone(daemons), func(d *restartedDaemon) bool { return d == leader })
	version++
	putSlowly(t, rest, version)
	for _, d := range daemons {
		d.syncTime.Store(0)
	}
	waitFor(t, "the document at the daemons that run", func() bool {
		return !slices.ContainsFunc(rest, func(d *restartedDaemon) bool { return !d.restored(len(daemons), version) })
	})
}

// putSlowly submits a document to the daemons, again and again, until one of them knows that it was accepted.
func putSlowly(t *testing.T, daemons []*restartedDaemon, version int64) {
	t.Helper()
	turn := 0
	waitFor(t, "a document accepted", func() bool {
		turn++
		c := daemons[turn%len(daemons)].current.Load()
		return daemons[turn%len(daemons)].put(version) || c != nil && c.Document().Version >= version
	})
}
