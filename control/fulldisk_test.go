package control

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/consensus"
	"arbutusreel/fleet"
	"arbutusreel/journal"
	"arbutusreel/ring"
	"arbutusreel/wiregen"
)

var (
	fullDiskSeed      = flag.Uint64("fullDiskSeed", 1, "seed of the first schedule of full disks")
	fullDiskSchedules = flag.Int("fullDiskSchedules", 8, "number of schedules of full disks for each size of the quorum")
)

// operations is a set of operations, besides writes, that a full disk refuses.
type operations int

const (
	create operations = 1 << iota
	truncate
	syncFile
	syncFolder
	rename
	remove
	allOperations operations = 1<<iota - 1
)

// fullDiskFiles is a folder in memory on a disk that can be full, and that may lose what is not synced in a power failure.
type fullDiskFiles struct {
	contents, synced map[string]*fullDiskFile
	full             bool
	// room is the number of bytes that a full disk still takes.
	room    int
	refused operations
}

type fullDiskFile struct {
	files        *fullDiskFiles
	created      string
	data, synced []byte
}

var (
	_ journal.Files = (*fullDiskFiles)(nil)
	_ journal.File  = (*fullDiskFile)(nil)
)

func (f *fullDiskFiles) check(o operations) error {
	if f.full && f.refused&o != 0 {
		return syscall.ENOSPC
	}
	return nil
}

func (f *fullDiskFiles) Read(name string) ([]byte, error) {
	file, ok := f.contents[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(file.data), nil
}

func (f *fullDiskFiles) Append(name string) (journal.File, error) {
	if _, ok := f.contents[name]; !ok {
		if err := f.check(create); err != nil {
			return nil, err
		}
		f.contents[name] = &fullDiskFile{files: f, created: name}
	}
	return f.contents[name], nil
}

func (f *fullDiskFiles) Rename(from, to string) error {
	if err := f.check(rename); err != nil {
		return err
	}
	f.contents[to] = f.contents[from]
	delete(f.contents, from)
	return nil
}

func (f *fullDiskFiles) Remove(name string) error {
	if _, ok := f.contents[name]; !ok {
		return fs.ErrNotExist
	}
	if err := f.check(remove); err != nil {
		return err
	}
	delete(f.contents, name)
	return nil
}

func (f *fullDiskFiles) Sync() error {
	if err := f.check(syncFolder); err != nil {
		return err
	}
	f.synced = maps.Clone(f.contents)
	return nil
}

// loseUnsynced keeps or loses each name that is not synced, and a part of the bytes at the end of each file that are not.
func (f *fullDiskFiles) loseUnsynced(rnd *rand.Rand) {
	names := slices.Collect(maps.Keys(f.contents))
	for name := range f.synced {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if rnd.IntN(2) == 0 {
			continue
		}
		delete(f.contents, name)
		if f.synced[name] != nil {
			f.contents[name] = f.synced[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.contents)) {
		file := f.contents[name]
		kept := len(file.synced)
		if len(file.data) > kept {
			kept += rnd.IntN(len(file.data) - kept + 1)
		}
		file.data = file.data[:min(kept, len(file.data))]
		file.synced = bytes.Clone(file.data)
	}
	f.synced = maps.Clone(f.contents)
}

func (f *fullDiskFile) Write(b []byte) (int, error) {
	n := len(b)
	if f.files.full {
		n = min(n, f.files.room)
		f.files.room -= n
	}
	f.data = append(f.data, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (f *fullDiskFile) Sync() error {
	if err := f.files.check(syncFile); err != nil {
		return err
	}
	f.synced = bytes.Clone(f.data)
	if f.files.contents[f.created] == f && f.files.synced[f.created] == nil {
		f.files.synced[f.created] = f
	}
	return nil
}

func (f *fullDiskFile) Truncate(size int64) error {
	if err := f.files.check(truncate); err != nil {
		return err
	}
	f.data = f.data[:size]
	return nil
}

func (f *fullDiskFile) Close() error { return nil }

// simulatedVoter is a voter with its disk; quorum is nil until startAt while its process does not run.
type simulatedVoter struct {
	cfg     Config
	files   *fullDiskFiles
	quorum  *quorum
	startAt time.Time
	ends    int
	// term and commit are those after the last actions that the disk took.
	term, commit int64
}

type simulatedMessage struct {
	at time.Time
	m  *wiregen.ConsensusMessage
	to string
}

// simulatedOrder is an order that an operator repeats until it is acknowledged.
type simulatedOrder struct {
	number   int64
	repeatAt time.Time
	results  chan changeResult
	reads    chan error
}

// fullDiskSimulation runs the quorums of voters whose disks fill up, in simulated time and from one source of random numbers.
type fullDiskSimulation struct {
	t       *testing.T
	seed    uint64
	rnd     *rand.Rand
	now     time.Time
	voters  []*simulatedVoter
	network []simulatedMessage
	order   *simulatedOrder
	// acknowledged are the numbers of the acknowledged orders.
	acknowledged []int64
	nextOrderAt  time.Time
	lastOrder    int64
}

func newFullDiskSimulation(t *testing.T, voters int, seed uint64) *fullDiskSimulation {
	s := &fullDiskSimulation{t: t, seed: seed, rnd: rand.New(rand.NewPCG(seed, uint64(voters))), now: time.Unix(1_000_000, 0)}
	var all []string
	for i := range voters {
		all = append(all, fmt.Sprintf("%c=%c", 'a'+i, 'a'+i))
	}
	for i := range voters {
		name := string(rune('a' + i))
		s.voters = append(s.voters, &simulatedVoter{
			files: &fullDiskFiles{contents: map[string]*fullDiskFile{}, synced: map[string]*fullDiskFile{}},
			cfg: Config{
				Name: name, PeerAddress: name, Voters: all, SnapshotEntries: 8, Heartbeat: 100 * time.Millisecond, ElectionTimeout: 500 * time.Millisecond,
			},
			startAt: s.now,
		})
	}
	s.nextOrderAt = s.now.Add(3 * time.Second)
	return s
}

func (s *fullDiskSimulation) fatalf(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("%d voters, seed %d: %s", len(s.voters), s.seed, fmt.Sprintf(format, args...))
}

// between returns a random time between low and high.
func (s *fullDiskSimulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rnd.Int64N(int64(high-low)))
}

// start starts the process of a voter, which ends if its disk refuses what a start requires.
func (s *fullDiskSimulation) start(v *simulatedVoter) {
	d, restored, err := openDisk(v.files)
	if err != nil {
		s.end(v, err)
		return
	}
	if term, last := restored.HardState.Term, lastIndex(restored); term < v.term || last < v.commit {
		s.fatalf("voter %s restored term %d and index %d; it had term %d and %d entries committed", v.cfg.Name, term, last, v.term, v.commit)
	}
	l := &links{queues: map[string]*ring.Queue[*wiregen.ConsensusMessage]{}}
	for _, other := range s.voters {
		l.queues[other.cfg.PeerAddress] = ring.New[*wiregen.ConsensusMessage](linkQueueLength)
	}
	clock := func() time.Time { return s.now }
	q, err := newQuorum(v.cfg, d, restored, l, func(int64, []byte) {}, func([]fleet.LoggedDeparture) {}, zerolog.Nop(), clock, s.rnd)
	var refused *journal.WriteError
	if errors.As(err, &refused) {
		s.end(v, err)
		return
	}
	if err != nil {
		s.fatalf("voter %s does not start: %v", v.cfg.Name, err)
	}
	v.quorum = q
}

func lastIndex(r consensus.Restored) int64 {
	last := int64(0)
	if r.Snapshot != nil {
		last = r.Snapshot.Index
	}
	if n := len(r.Entries); n > 0 {
		last = r.Entries[n-1].Index
	}
	return last
}

// end ends the process of a voter, which is started again after a delay.
func (s *fullDiskSimulation) end(v *simulatedVoter, err error) {
	if !errors.As(err, new(*journal.WriteError)) {
		s.fatalf("voter %s ended: %v", v.cfg.Name, err)
	}
	v.quorum, v.startAt = nil, s.now.Add(s.between(100*time.Millisecond, 700*time.Millisecond))
	v.ends++
}

// losePower ends the process of a voter, and loses what is not synced of its disk.
func (s *fullDiskSimulation) losePower(v *simulatedVoter) {
	v.quorum, v.startAt = nil, s.now.Add(s.between(100*time.Millisecond, 700*time.Millisecond))
	v.files.loseUnsynced(s.rnd)
}

// step passes an input to a voter and performs its actions.
func (s *fullDiskSimulation) step(v *simulatedVoter, input func(q *quorum)) {
	q := v.quorum
	if q == nil {
		return
	}
	input(q)
	if err := q.processActions(); err != nil {
		s.end(v, err)
		return
	}
	v.term, v.commit = q.node.HardState().Term, q.node.Status(s.now).Commit
	queues := q.links.(*links).queues
	for _, other := range s.voters {
		for m, ok := queues[other.cfg.PeerAddress].Poll(); ok; m, ok = queues[other.cfg.PeerAddress].Poll() {
			s.network = append(s.network, simulatedMessage{at: s.now.Add(s.between(time.Millisecond, 90*time.Millisecond)), m: m, to: other.cfg.Name})
		}
	}
}

const simulationStep = 5 * time.Millisecond

// run advances the simulated time by d.
func (s *fullDiskSimulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simulationStep)
		s.deliver()
		for i, v := range s.voters {
			if v.quorum == nil && !s.now.Before(v.startAt) {
				s.start(v)
			}
			if (s.now.UnixNano()/int64(simulationStep)+int64(i))%5 == 0 {
				s.step(v, func(q *quorum) { q.node.Tick(s.now) })
			}
		}
		s.operate()
	}
}

func (s *fullDiskSimulation) deliver() {
	due := s.network
	s.network = nil
	for _, d := range due {
		if d.at.After(s.now) {
			s.network = append(s.network, d)
			continue
		}
		m, err := decodeMessage(d.m)
		if err != nil {
			s.fatalf("%v", err)
		}
		s.step(s.find(d.to), func(q *quorum) { q.node.Receive(s.now, m) })
	}
}

func (s *fullDiskSimulation) find(name string) *simulatedVoter {
	return s.voters[slices.IndexFunc(s.voters, func(v *simulatedVoter) bool { return v.cfg.Name == name })]
}

// operate sends orders, one after the other; an order without an acknowledgement is sent again, to another voter.
func (s *fullDiskSimulation) operate() {
	if s.order == nil {
		if s.now.Before(s.nextOrderAt) {
			return
		}
		s.lastOrder++
		s.order = &simulatedOrder{number: s.lastOrder, repeatAt: s.now}
	}
	o := s.order
	accepted, refused := false, false
	select {
	case r := <-o.results:
		accepted, refused = r.err == nil, r.err != nil
	case err := <-o.reads:
		accepted, refused = err == nil, err != nil
	default:
	}
	switch {
	case accepted:
		s.acknowledged = append(s.acknowledged, o.number)
		s.order, s.nextOrderAt = nil, s.now.Add(s.between(simulationStep, time.Second))
	case refused:
		o.results, o.reads, o.repeatAt = nil, nil, s.now.Add(200*time.Millisecond)
	case !s.now.Before(o.repeatAt):
		s.send(o)
	}
}

func evacuatedDomain(number int64) string { return fmt.Sprint("domain-", number) }

// send sends an order to a random voter, which forwards it to the leader that it knows.
func (s *fullDiskSimulation) send(o *simulatedOrder) {
	o.results, o.reads, o.repeatAt = nil, nil, s.now.Add(200*time.Millisecond)
	v := s.voters[s.rnd.IntN(len(s.voters))]
	if v.quorum == nil || v.quorum.Status().Leader.Name == "" {
		return
	}
	leader := s.find(v.quorum.Status().Leader.Name)
	o.repeatAt = s.now.Add(950 * time.Millisecond)
	s.step(leader, func(q *quorum) {
		if slices.Contains(q.Orders().Evacuations().Domains, evacuatedDomain(o.number)) {
			o.reads = make(chan error, 1)
			q.lastReadToken++
			q.pendingReads[q.lastReadToken] = o.reads
			if q.node.Read(s.now, q.lastReadToken) != nil {
				delete(q.pendingReads, q.lastReadToken)
				o.reads = nil
			}
			return
		}
		command := marshal(&wiregen.ChangeCommand{Fleet: &wiregen.FleetOrder{
			Document:   &wiregen.RouteDocument{Version: o.number, Content: make([]byte, s.rnd.IntN(2000))},
			Evacuation: &wiregen.EvacuationOrder{FailureDomain: evacuatedDomain(o.number)},
		}})
		if index, term, err := q.node.Propose(s.now, command); err == nil {
			o.results = make(chan changeResult, 1)
			q.pendingChanges[index] = pendingChange{term: term, result: o.results}
		}
	})
}

// fill fills the disk of a voter, with or without room for a part of the next record.
func (s *fullDiskSimulation) fill(v *simulatedVoter) {
	v.files.full, v.files.room = true, s.rnd.IntN(2)*s.rnd.IntN(12_000)
	v.files.refused = operations(s.rnd.IntN(int(allOperations)+1)) * operations(s.rnd.IntN(2))
}

// victim returns the leader or any voter whose disk is not full.
func (s *fullDiskSimulation) victim() *simulatedVoter {
	var free []*simulatedVoter
	for _, v := range s.voters {
		if v.files.full {
			continue
		}
		if v.quorum != nil && v.quorum.Status().IsLeader && s.rnd.IntN(2) == 0 {
			return v
		}
		free = append(free, v)
	}
	return free[s.rnd.IntN(len(free))]
}

// awaitAcknowledgement runs until another order that began after since is acknowledged, for at most limit.
func (s *fullDiskSimulation) awaitAcknowledgement(limit time.Duration) {
	s.t.Helper()
	last := s.lastOrder
	for end := s.now.Add(limit); len(s.acknowledged) == 0 || s.acknowledged[len(s.acknowledged)-1] <= last; s.run(simulationStep) {
		if s.now.After(end) {
			s.fatalf("no order was acknowledged within %v", limit)
		}
	}
}

// checkVoters checks that all voters run, have all acknowledged orders and are members with a vote.
func (s *fullDiskSimulation) checkVoters() {
	s.t.Helper()
	for _, v := range s.voters {
		if v.quorum == nil {
			s.fatalf("voter %s does not run", v.cfg.Name)
		}
		if n := len(v.quorum.Status().Members.Voters()); n != len(s.voters) {
			s.fatalf("voter %s knows %d voters", v.cfg.Name, n)
		}
		domains := v.quorum.Orders().Evacuations().Domains
		for _, number := range s.acknowledged {
			if !slices.Contains(domains, evacuatedDomain(number)) {
				s.fatalf("voter %s does not have order %d", v.cfg.Name, number)
			}
		}
		if got, want := v.quorum.Orders().Document().Version, s.acknowledged[len(s.acknowledged)-1]; got < want {
			s.fatalf("voter %s has document %d, not %d", v.cfg.Name, got, want)
		}
	}
}

// TestChangesRefusedAfterFullDisks has the disks of up to the tolerated number of voters at a time be full for some seconds, in
// series, and some of them lose power. Once all have room, orders are acknowledged again and all voters have every acknowledged
// order, also after a power failure of all of them.
func TestChangesRefusedAfterFullDisks(t *testing.T) {
	const (
		ackLimit     = 8 * time.Second
		catchUpLimit = 4 * time.Second
	)
	for _, size := range []struct{ voters, tolerated int }{{3, 1}, {5, 1}, {9, 2}} {
		t.Run(fmt.Sprint(size.voters, "voters"), func(t *testing.T) {
			ends, orders := 0, 0
			for i := range *fullDiskSchedules {
				s := newFullDiskSimulation(t, size.voters, *fullDiskSeed+uint64(i))
				s.run(3 * time.Second)
				for range 1 + s.rnd.IntN(2*size.voters) {
					s.run(s.between(simulationStep, 3*time.Second))
					filled := []*simulatedVoter{s.victim()}
					s.fill(filled[0])
					s.run(s.between(simulationStep, 4*time.Second))
					if size.tolerated > 1 && s.rnd.IntN(2) == 0 {
						filled = append(filled, s.victim())
						s.fill(filled[1])
						s.run(s.between(simulationStep, 4*time.Second))
					}
					for _, v := range filled {
						v.files.full = false
						if s.rnd.IntN(4) == 0 {
							s.losePower(v)
						}
					}
				}
				s.awaitAcknowledgement(ackLimit)
				s.awaitAcknowledgement(ackLimit)
				s.nextOrderAt = s.now.Add(time.Hour)
				s.run(catchUpLimit)
				s.checkVoters()
				for _, v := range s.voters {
					ends += v.ends
					s.losePower(v)
				}
				s.run(catchUpLimit)
				s.checkVoters()
				orders += len(s.acknowledged)
			}
			t.Logf("%d schedules: %d processes ended, %d orders acknowledged", *fullDiskSchedules, ends, orders)
		})
	}
}
