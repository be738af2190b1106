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
	"arbutusreel/ring"
)

const (
	// quorumInputs is the number of inputs that wait for the voter's loop.
	quorumInputs = 1024
	// batchInputs is the number of inputs that share one sync.
	batchInputs = 128
	// ticksPerHeartbeat is the number of times that the clock is looked at in each heartbeat.
	ticksPerHeartbeat = 4
	// retainedEntries is the number of entries before a snapshot that are kept for slow followers.
	retainedEntries = 200
	// maxJournalGrowth is the number of bytes after which a snapshot is taken, whatever the number of entries.
	maxJournalGrowth = 16 << 20
	// rememberedRevisions is the number of revisions whose time of acceptance is kept.
	rememberedRevisions = 4096
)

// change is a proposal that waits for its entry to be applied.
type change struct {
	term   int64
	result chan<- changeResult
}

type changeResult struct {
	answer configuration.Answer
	err    error
}

// leaseState is the lease as the loop saw it last.
type leaseState struct {
	term int64
	end  time.Time
	held bool
}

// quorum runs this voter's consensus node; the loop alone touches the node, the disk and the machine.
type quorum struct {
	cfg    Config
	log    zerolog.Logger
	now    func() time.Time
	inputs *ring.Ring[func(time.Time)]
	links  *links
	// accepted is called with each inventory that is accepted, in order.
	accepted func(revision int64, whole []byte)

	node    *consensus.Node
	disk    *disk
	machine *machine
	applied int64
	compact int64
	changes map[int64]change
	reads   map[int64]chan<- error
	tokens  int64

	mu      sync.Mutex
	current Current
	whole   []byte
	changed chan struct{}
	status  consensus.Status
	lease   leaseState
	accepts map[int64]time.Time
	orders  configuration.Orders
	// silences are the times since each other member answered this voter as the leader.
	silences map[consensus.ID]time.Duration
}

var _ Store = (*quorum)(nil)

// newQuorum returns the voter that the disk remembers, or a new one; a snapshot that cannot be read returns *RecordError.
func newQuorum(cfg Config, d *disk, r consensus.Restored, l *links, accepted func(int64, []byte), log zerolog.Logger, now func() time.Time) (*quorum, error) {
	q := &quorum{
		cfg: cfg, log: log, now: now, links: l, accepted: accepted, disk: d,
		inputs:  ring.New[func(time.Time)](quorumInputs),
		machine: newMachine(),
		changes: map[int64]change{},
		reads:   map[int64]chan<- error{},
		changed: make(chan struct{}),
		accepts: map[int64]time.Time{},
	}
	if err := q.install(r.Snapshot); err != nil {
		return nil, err
	}
	q.node = consensus.New(consensus.Config{
		Self:            consensus.ID{Name: cfg.Name, Disk: d.identity},
		Address:         cfg.PeerAddress,
		Founders:        founders(cfg),
		Heartbeat:       cfg.Heartbeat,
		ElectionTimeout: cfg.ElectionTimeout,
		RetainedEntries: retainedEntries,
	}, r, now(), rand.New(rand.NewPCG(uint64(now().UnixNano()), rand.Uint64())))
	q.accept()
	q.publish(now())
	return q, nil
}

func founders(cfg Config) []consensus.Founder {
	if cfg.Join {
		return nil
	}
	var all []consensus.Founder
	for _, voter := range cfg.Voters {
		name, address, _ := strings.Cut(voter, "=")
		all = append(all, consensus.Founder{Name: name, Address: address})
	}
	return all
}

// input gives the loop something to do.
func (q *quorum) input(ctx context.Context, f func(now time.Time)) error {
	return q.inputs.Put(ctx, f)
}

// run serves inputs until ctx ends; it returns an error if the disk fails, after which the process must stop.
func (q *quorum) run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { q.tick(ctx) })
	for {
		f, err := q.inputs.Take(ctx)
		if err != nil {
			return nil
		}
		f(q.now())
		for n := q.inputs.Len(); n > 0 && n < batchInputs; n-- {
			if f, err = q.inputs.Take(ctx); err != nil {
				return nil
			}
			f(q.now())
		}
		if err := q.carryOut(); err != nil {
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

// carryOut persists, sends and applies what the node asks for, in this order; a snapshot that cannot be read is not
// persisted.
func (q *quorum) carryOut() error {
	a := q.node.Actions()
	if err := q.install(a.Install); err != nil {
		return err
	}
	if err := q.disk.save(a, q.node.HardState(), q.node.Status(q.now()).Commit); err != nil {
		return err
	}
	for _, m := range a.Messages {
		q.links.send(m)
	}
	q.accept()
	for _, e := range a.Committed {
		if err := q.apply(e); err != nil {
			return err
		}
	}
	q.answerReads(a.Reads)
	q.publish(q.now())
	if q.applied-q.compact < int64(q.cfg.SnapshotEntries) && q.disk.grown() < maxJournalGrowth {
		return nil
	}
	q.compact = q.applied
	return q.disk.replace(q.node.Compact(q.applied, q.machine.snapshot()))
}

// install replaces the replicated state, which accept makes known; without a snapshot the state stays. A snapshot that
// cannot be read returns *RecordError, after which this voter cannot go on.
func (q *quorum) install(s *consensus.Snapshot) error {
	if s == nil {
		return nil
	}
	m, err := restoreMachine(s.Data)
	if err := q.outlive(err, s.Index); err != nil {
		return err
	}
	q.machine = m
	q.applied, q.compact = s.Index, s.Index
	return nil
}

// outlive logs the refusal of an inventory that the quorum accepted, and returns any other error.
func (q *quorum) outlive(err error, index int64) error {
	var refused *InventoryRefusedError
	if !errors.As(err, &refused) {
		return err
	}
	q.log.Error().Err(err).Int64("index", index).Msg("inventoryRefused")
	return nil
}

// apply applies an entry and answers who waits for it; an error says that this voter cannot go on.
func (q *quorum) apply(e consensus.Entry) error {
	q.applied = e.Index
	result := changeResult{}
	if e.Kind == consensus.CommandEntry {
		var err error
		result.answer, err = q.machine.apply(e.Data)
		if err := q.outlive(err, e.Index); err != nil {
			return err
		}
		q.accept()
	}
	if e.Kind == consensus.MembersEntry {
		q.log.Info().Int64("index", e.Index).Int64("term", e.Term).Strs("members", describe(e.Members)).Msg("membersChanged")
	}
	waiting, ok := q.changes[e.Index]
	delete(q.changes, e.Index)
	switch {
	case !ok:
	case waiting.term != e.Term:
		waiting.result <- changeResult{err: q.notLeader()}
	default:
		waiting.result <- result
	}
	return nil
}

func describe(members consensus.Members) []string {
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

// accept publishes the inventory in force if it is newer.
func (q *quorum) accept() {
	revision := q.machine.state.Revision()
	q.mu.Lock()
	q.orders = q.machine.orders
	if revision == q.current.Revision {
		q.mu.Unlock()
		return
	}
	q.current = Current{Inventory: q.machine.state.Inventory(), Revision: revision}
	q.whole = q.machine.whole
	q.accepts[revision] = q.now()
	delete(q.accepts, revision-rememberedRevisions)
	close(q.changed)
	q.changed = make(chan struct{})
	q.mu.Unlock()
	q.accepted(revision, q.machine.whole)
}

// answerReads answers the reads whose index is applied; Committed was applied before.
func (q *quorum) answerReads(reads []consensus.ReadResult) {
	for _, r := range reads {
		result := q.reads[r.Token]
		delete(q.reads, r.Token)
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

// publish makes the status and the lease known to other goroutines.
func (q *quorum) publish(now time.Time) {
	status := q.node.Status(now)
	term, end, held := q.node.Lease(now)
	q.mu.Lock()
	before := q.status
	q.status = status
	q.silences = q.node.Silences(now)
	q.lease = leaseState{term: term, end: end, held: held}
	q.mu.Unlock()
	if before.Leader != status.Leader || before.Leads != status.Leads {
		q.log.Info().Int64("term", status.Term).Str("leader", status.Leader.Name).Bool("leads", status.Leads).Msg("leaderChanged")
	}
	if before.Leads && !status.Leads {
		q.failChanges()
	}
}

// failChanges answers the changes of a leader that stepped down: they may still be accepted.
func (q *quorum) failChanges() {
	for index, waiting := range q.changes {
		waiting.result <- changeResult{err: changeUnknown("the leader stepped down before the change was decided")}
		delete(q.changes, index)
	}
}

// transfer hands leadership over before a planned stop.
func (q *quorum) transfer(ctx context.Context) {
	done := make(chan bool, 1)
	if q.input(ctx, func(now time.Time) { done <- q.node.Transfer(now) }) != nil {
		return
	}
	select {
	case transferred := <-done:
		q.log.Info().Bool("transferred", transferred).Msg("leadershipHandedOver")
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

// wholeInForce returns the encoded inventory in force at this voter.
func (q *quorum) wholeInForce() (revision int64, whole []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.current.Revision, q.whole
}

// Status returns what this voter knows of the quorum.
func (q *quorum) Status() consensus.Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	status := q.status
	status.Members = slices.Clone(status.Members)
	return status
}

// Orders returns the operators' orders in force at this voter, which may be behind.
func (q *quorum) Orders() configuration.Orders {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.orders
}

// silentVoter returns a voter that has not answered this leader for a time.
func (q *quorum) silentVoter(silence time.Duration) (consensus.ID, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range q.status.Members {
		if m.Voter && q.status.Leads && q.silences[m.ID] >= silence {
			return m.ID, true
		}
	}
	return consensus.ID{}, false
}

// Lease returns the leader lease.
func (q *quorum) Lease(now time.Time) (term int64, end time.Time, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lease.term, q.lease.end, q.lease.held && now.Before(q.lease.end)
}

// AcceptedAt returns when this voter learned that a revision, or the lowest higher one that it remembers, was accepted.
func (q *quorum) AcceptedAt(revision int64) (at time.Time, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	lowest := int64(math.MaxInt64)
	for accepted, when := range q.accepts {
		if accepted >= revision && accepted < lowest {
			lowest, at, ok = accepted, when, true
		}
	}
	return at, ok
}
