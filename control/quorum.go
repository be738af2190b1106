package control

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/configuration"
	"arbutusreel/consensus"
	"arbutusreel/fleet"
	"arbutusreel/ring"
)

const (
	// inputQueueLength is the capacity of the event loop's input queue.
	inputQueueLength = 1024
	// maxBatchInputs is the largest number of inputs that share one sync.
	maxBatchInputs = 128
	// ticksPerHeartbeat is the number of clock ticks per heartbeat interval.
	ticksPerHeartbeat = 4
	// retainedEntries is the number of entries before a snapshot that are retained for slow followers.
	retainedEntries = 200
	// maxJournalGrowth is the number of appended bytes after which a snapshot is taken, whatever the number of
	// entries.
	maxJournalGrowth = 16 << 20
	// retainedAcceptTimes is the number of revisions whose acceptance time is retained.
	retainedAcceptTimes = 4096
)

// pendingChange is a proposal whose entry is not applied yet.
type pendingChange struct {
	term   int64
	result chan<- changeResult
}

type changeResult struct {
	answer configuration.Answer
	err    error
}

// leaseState is the leader lease at the last iteration of the event loop.
type leaseState struct {
	term int64
	end  time.Time
	held bool
}

// sender sends messages to other voters; a message may be lost.
type sender interface {
	send(m consensus.Message)
}

// quorum runs this voter's consensus node. The node, the disk and the state machine are accessed by the event loop
// only.
type quorum struct {
	cfg    Config
	log    zerolog.Logger
	now    func() time.Time
	inputs *ring.Queue[func(time.Time)]
	links  sender
	// onAccepted is called with each accepted inventory, in order.
	onAccepted func(revision int64, encoded []byte)
	// onDeparted is called with the endpoints whose departure was accepted.
	onDeparted func([]fleet.LoggedDeparture)

	node    *consensus.Node
	disk    *disk
	machine *stateMachine
	// beginWrite begins a write, whose result is passed to finishWrite.
	beginWrite func(diskWrite)
	// failure is the error of the write that failed, or nil.
	failure error
	// journalGrowth is the number of bytes appended to the journal since its last compaction.
	journalGrowth  int64
	appliedIndex   int64
	compactedIndex int64
	pendingChanges map[int64]pendingChange
	pendingReads   map[int64]chan<- error
	lastReadToken  int64
	// ended ends with the event loop, which calls end.
	ended context.Context
	end   context.CancelFunc

	mu               sync.Mutex
	current          Current
	encodedInventory []byte
	changed          chan struct{}
	status           consensus.Status
	lease            leaseState
	// lastWrite and longestWrite are durations of writes of the journal.
	lastWrite, longestWrite time.Duration
	acceptTimes             map[int64]time.Time
	orders                  configuration.Orders
	// ordersIndex is the index of the last log entry applied to orders.
	ordersIndex int64
	departures  fleet.DepartureLog
	// electionLoggedAt is the time of the last log of an election.
	electionLoggedAt time.Time
	// joinedAt holds when this voter learned of the members that may still replace failed ones.
	joinedAt joinTimes
}

var _ Store = (*quorum)(nil)

// newQuorum returns a voter with the restored state, or a new one if there is none. A snapshot that cannot be decoded
// returns *RecordError, and a disk that cannot be written *journal.WriteError.
func newQuorum(cfg Config, d *disk, r consensus.Restored, l sender, onAccepted func(int64, []byte), onDeparted func([]fleet.LoggedDeparture), log zerolog.Logger, now func() time.Time, rnd *rand.Rand) (*quorum, error) {
	q := &quorum{
		cfg: cfg, log: log, now: now, links: l, onAccepted: onAccepted, onDeparted: onDeparted, disk: d,
		inputs:         ring.New[func(time.Time)](inputQueueLength),
		machine:        newStateMachine(),
		pendingChanges: map[int64]pendingChange{},
		pendingReads:   map[int64]chan<- error{},
		changed:        make(chan struct{}),
		acceptTimes:    map[int64]time.Time{},
		joinedAt:       joinTimes{},
	}
	q.beginWrite = func(w diskWrite) { q.finishWrite(now(), d.perform(w, now)) }
	q.ended, q.end = context.WithCancel(context.Background())
	if err := q.install(r.Snapshot); err != nil {
		return nil, err
	}
	if empty := r.Snapshot == nil && len(r.Entries) == 0; empty && !cfg.Join {
		if err := d.saveFounders(initialVoters(cfg)); err != nil {
			return nil, err
		}
	}
	q.node = consensus.New(consensus.Config{
		Self:            consensus.ID{Name: cfg.Name, Disk: d.identity},
		Address:         cfg.PeerAddress,
		InitialVoters:   d.founders,
		Heartbeat:       cfg.Heartbeat,
		ElectionTimeout: cfg.ElectionTimeout,
		RetainedEntries: retainedEntries,
	}, r, now(), rnd)
	q.publishInventory()
	q.publish(now())
	q.log.Info().Int64("index", q.appliedIndex).Int64("version", q.Orders().Document().Version).Strs("evacuated", q.Orders().Evacuations().Domains).Msg("orders restored")
	return q, nil
}

func initialVoters(cfg Config) []consensus.InitialVoter {
	var all []consensus.InitialVoter
	for _, voter := range cfg.Voters {
		name, address, _ := strings.Cut(voter, "=")
		all = append(all, consensus.InitialVoter{Name: name, Address: address})
	}
	return all
}

// enqueue queues a function for the event loop.
func (q *quorum) enqueue(ctx context.Context, f func(now time.Time)) error {
	return q.inputs.Put(ctx, f)
}

// run runs the event loop until ctx ends. It returns an error if the disk fails, after which the process must stop.
func (q *quorum) run(ctx context.Context) error {
	defer q.end()
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { q.tick(ctx) })
	writes := make(chan diskWrite, 1)
	defer close(writes)
	q.beginWrite = func(w diskWrite) { writes <- w }
	wg.Go(func() {
		for w := range writes {
			r := q.disk.perform(w, q.now)
			_ = q.enqueue(ctx, func(now time.Time) { q.finishWrite(now, r) })
		}
	})
	for {
		f, err := q.inputs.Take(ctx)
		if err != nil {
			return nil
		}
		f(q.now())
		for n := q.inputs.Len(); n > 0 && n < maxBatchInputs; n-- {
			if f, err = q.inputs.Take(ctx); err != nil {
				return nil
			}
			f(q.now())
		}
		if err := q.processActions(); err != nil {
			return err
		}
	}
}

func (q *quorum) tick(ctx context.Context) {
	t := time.NewTicker(max(q.cfg.Heartbeat/ticksPerHeartbeat, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-t.C:
			q.inputs.Offer(func(now time.Time) { q.node.Tick(now) })
		case <-ctx.Done():
			return
		}
	}
}

// processActions sends, applies and begins to persist what the node requires. It returns the error of a write that failed, or of a
// snapshot that cannot be decoded.
func (q *quorum) processActions() error {
	for q.failure == nil {
		a := q.node.Actions()
		if err := q.install(a.Install); err != nil {
			return err
		}
		for _, m := range a.Messages {
			q.links.send(m)
		}
		q.publishInventory()
		for _, e := range a.Committed {
			if err := q.apply(e); err != nil {
				return err
			}
		}
		q.answerReads(a.Reads)
		q.publish(q.now())
		if q.appliedIndex-q.compactedIndex >= int64(q.cfg.SnapshotEntries) || q.journalGrowth >= maxJournalGrowth {
			q.compactedIndex, q.journalGrowth = q.appliedIndex, 0
			q.node.Compact(q.appliedIndex, q.machine.snapshot())
		}
		if !a.Persists() {
			return nil
		}
		q.beginWrite(diskWrite{hardState: a.HardState, snapshot: a.Snapshot, entries: a.Entries, commit: a.Commit})
	}
	return q.failure
}

// finishWrite handles the result of a write, after which the node may send what waited for it.
func (q *quorum) finishWrite(now time.Time, r writeResult) {
	if r.err != nil {
		q.failure = r.err
		return
	}
	q.journalGrowth = r.growth
	q.recordWrite(r)
	q.node.Persisted(now)
}

// install replaces the replicated state by a snapshot, if there is one; publishInventory makes it visible. A snapshot
// that cannot be decoded returns *RecordError, after which this voter cannot continue.
func (q *quorum) install(s *consensus.Snapshot) error {
	if s == nil {
		return nil
	}
	m, err := restoreStateMachine(s.Index, s.Data)
	if err := q.tolerateRefusedInventory(err, s.Index); err != nil {
		return err
	}
	q.machine = m
	q.appliedIndex, q.compactedIndex = s.Index, s.Index
	return nil
}

// tolerateRefusedInventory logs an *InventoryRefusedError, as the quorum has already accepted the inventory, and
// returns any other error.
func (q *quorum) tolerateRefusedInventory(err error, index int64) error {
	var refused *InventoryRefusedError
	if !errors.As(err, &refused) {
		return err
	}
	q.log.Error().Err(err).Int64("index", index).Msg("accepted inventory is not valid for this version")
	return nil
}

// apply applies a committed entry and completes the pending change at its index. After an error this voter cannot
// continue.
func (q *quorum) apply(e consensus.Entry) error {
	q.appliedIndex = e.Index
	result := changeResult{}
	if e.Kind == consensus.CommandEntry {
		var err error
		result.answer, err = q.machine.apply(e.Index, e.Data)
		if err := q.tolerateRefusedInventory(err, e.Index); err != nil {
			return err
		}
		q.publishInventory()
	}
	if e.Kind == consensus.MembersEntry {
		q.log.Info().Int64("index", e.Index).Int64("term", e.Term).Strs("members", describeMembers(e.Members)).
			Msg("members changed")
	}
	pending, ok := q.pendingChanges[e.Index]
	delete(q.pendingChanges, e.Index)
	switch {
	case !ok:
	case pending.term != e.Term:
		pending.result <- changeResult{err: q.notLeader()}
	default:
		pending.result <- result
	}
	return nil
}

func describeMembers(members consensus.Members) []string {
	var all []string
	for _, m := range members {
		role := "learner"
		if m.Voter {
			role = "voter"
		}
		all = append(all, m.ID.Name+" "+m.ID.Disk+" "+role)
	}
	return all
}

// publishInventory publishes the operators' orders, the departures of endpoints, and the inventory in force if its revision
// changed.
func (q *quorum) publishInventory() {
	if departed := q.machine.departures.Since(q.departures); len(departed) > 0 {
		q.onDeparted(departed)
	}
	revision := q.machine.state.Revision()
	q.mu.Lock()
	q.departures = q.machine.departures
	if e := q.machine.orders.Evacuations(); !e.Equal(q.orders.Evacuations()) {
		q.log.Info().Int64("index", e.Index).Strs("evacuated", e.Domains).Msg("evacuated failure domains applied")
	}
	q.orders, q.ordersIndex = q.machine.orders, q.appliedIndex
	if revision == q.current.Revision {
		q.mu.Unlock()
		return
	}
	q.current = Current{Inventory: q.machine.state.Inventory(), Revision: revision}
	q.encodedInventory = q.machine.encodedInventory
	q.acceptTimes[revision] = q.now()
	delete(q.acceptTimes, revision-retainedAcceptTimes)
	close(q.changed)
	q.changed = make(chan struct{})
	q.mu.Unlock()
	q.onAccepted(revision, q.machine.encodedInventory)
}

// answerReads completes reads whose index is applied. It must run after the committed entries are applied.
func (q *quorum) answerReads(reads []consensus.ReadResult) {
	for _, r := range reads {
		result := q.pendingReads[r.Token]
		delete(q.pendingReads, r.Token)
		if result == nil {
			continue
		}
		if r.OK {
			result <- nil
			continue
		}
		result <- q.notLeader()
	}
}

// publish makes the status and the lease visible to other goroutines.
func (q *quorum) publish(now time.Time) {
	status := q.node.Status(now)
	term, end, held := q.node.Lease(now)
	q.mu.Lock()
	before := q.status
	q.status = status
	q.joinedAt.update(now, status.Members)
	q.lease = leaseState{term: term, end: end, held: held}
	q.mu.Unlock()
	if before.Leader != status.Leader || before.IsLeader != status.IsLeader {
		q.log.Info().Int64("term", status.Term).Str("leader", status.Leader.Name).Bool("leads", status.IsLeader).Msg("leader changed")
	}
	q.logElection(now, before, status)
	if before.IsLeader && !status.IsLeader {
		q.failPendingChanges()
	}
}

// failPendingChanges completes all pending changes with an unknown outcome after the leader stepped down, as they may
// still be accepted.
func (q *quorum) failPendingChanges() {
	for index, pending := range q.pendingChanges {
		pending.result <- changeResult{err: changeUnknown("the leader stepped down before the change was decided")}
		delete(q.pendingChanges, index)
	}
}

// announceStop marks all later messages of this voter as sent by one that is about to stop.
func (q *quorum) announceStop(ctx context.Context) {
	_ = q.enqueue(ctx, func(time.Time) { q.node.AnnounceStop() })
}

// transfer transfers leadership to another voter before a planned stop.
func (q *quorum) transfer(ctx context.Context) {
	done := make(chan bool, 1)
	if q.enqueue(ctx, func(now time.Time) { done <- q.node.Transfer(now) }) != nil {
		return
	}
	select {
	case transferred := <-done:
		q.log.Info().Bool("transferred", transferred).Msg("leadership transfer finished")
	case <-ctx.Done():
	}
}

// Current returns the inventory in force at this voter.
func (q *quorum) Current() Current {
	q.mu.Lock()
	defer q.mu.Unlock()
	current := q.current
	current.Changed = q.changed
	return current
}

// currentEncoded returns the encoded inventory in force at this voter.
func (q *quorum) currentEncoded() (revision int64, encoded []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.current.Revision, q.encodedInventory
}

// Status returns this voter's view of the quorum.
func (q *quorum) Status() consensus.Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	status := q.status
	status.Members = slices.Clone(status.Members)
	return status
}

// Orders returns the operators' orders in force at this voter, which may be behind the leader's.
func (q *quorum) Orders() configuration.Orders {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.orders
}

// knownIndex returns the index of the last log entry that Orders includes.
func (q *quorum) knownIndex() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ordersIndex
}

// departed reports whether the departure of an endpoint has been accepted.
func (q *quorum) departed(d fleet.LoggedDeparture) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.departures.Contains(d)
}

// replacementStep returns, on the leader, the next change of the members that follows from a join, or why there is none. Only the
// event loop may call it.
func (q *quorum) replacementStep(now time.Time) (step replacementStep, reasons []string, ok bool) {
	status := q.node.Status(now)
	if !status.IsLeader {
		return replacementStep{}, nil, false
	}
	return nextReplacementStep(now, q.node, status.Members, q.node.Silences(now), q.joinedAt.ages(now), q.cfg.replacementTimes(), q.cfg.ToleratedDisks)
}

// Lease returns the leader lease; ok is false if it is not held or has ended at now.
func (q *quorum) Lease(now time.Time) (term int64, end time.Time, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lease.term, q.lease.end, q.lease.held && now.Before(q.lease.end)
}

// AcceptedAt returns when this voter learned that a revision, or the lowest retained higher one, was accepted.
func (q *quorum) AcceptedAt(revision int64) (at time.Time, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	lowest := int64(math.MaxInt64)
	for accepted, when := range q.acceptTimes {
		if accepted >= revision && accepted < lowest {
			lowest, at, ok = accepted, when, true
		}
	}
	return at, ok
}
