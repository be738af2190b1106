package consensus

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	testHeartbeat       = 20 * time.Millisecond
	testElectionTimeout = 100 * time.Millisecond
	// snapshotEvery is the number of applied entries between two snapshots.
	snapshotEvery = 15
)

// testingT is the part of *rapid.T and *testing.T that the cluster uses.
type testingT interface {
	Fatalf(format string, args ...any)
}

// pendingOp is an operation whose entry is not applied yet.
type pendingOp struct {
	term int64
	op   *op
}

// server is one instance with its disk, its clock and its network state; rate is its clock's rate relative to the
// simulated time, and disks the number of disks that it has had.
type server struct {
	name    string
	id      ID
	disks   int
	rate    float64
	node    *Node
	stored  Restored
	state   register
	applied int64
	// compacted is the index of the last snapshot.
	compacted int64
	paused    bool
	isolated  bool
	// crashOnPersist makes the server crash before or after it next persists its state.
	crashOnPersist bool
	inbox          []Message
	// writing is what the server persists until writtenAt, or nil.
	writing   *Actions
	writtenAt time.Duration
	// syncTime returns how long the next write takes; nil means no time.
	syncTime func() time.Duration
	pending  map[int64]pendingOp
	reads    map[int64]*op
}

type delivery struct {
	at time.Duration
	m  Message
}

// cluster simulates servers in memory with one seeded random source.
type cluster struct {
	t               testingT
	rnd             *rand.Rand
	now             time.Duration
	epoch           time.Time
	servers         []*server
	initialVoters   []InitialVoter
	network         []delivery
	loss            float64
	electionTimeout time.Duration
	// cutLinks holds the links that drop every message, keyed by the names of sender and receiver.
	cutLinks map[string]bool
	// leaders is keyed by the term; history and revisions, which hold the applied entry and the revision after it, are
	// keyed by the index.
	leaders   map[int64]ID
	history   map[int64]Entry
	revisions map[int64]int64
	ops       []*op
	tokens    int64
	wiped     int
	swaps     int
}

func newCluster(t testingT, count int, seed uint64, rates []float64) *cluster {
	c := &cluster{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), epoch: time.Unix(1_000_000, 0), loss: 0.05, electionTimeout: testElectionTimeout, cutLinks: map[string]bool{},
		leaders: map[int64]ID{}, history: map[int64]Entry{}, revisions: map[int64]int64{},
	}
	for i := range count {
		name := string(rune('a' + i))
		c.initialVoters = append(c.initialVoters, InitialVoter{Name: name, Address: name})
	}
	for i := range count {
		s := &server{name: c.initialVoters[i].Name, rate: rates[i%len(rates)]}
		c.servers = append(c.servers, s)
		c.wipe(s)
		c.start(s)
	}
	return c
}

// addSpare starts a server that is not one of the initial voters.
func (c *cluster) addSpare() *server {
	s := &server{name: string(rune('a' + len(c.servers))), rate: 1}
	c.servers = append(c.servers, s)
	c.wipe(s)
	c.start(s)
	return s
}

// clock returns the time of the server's clock, which runs at its own rate.
func (c *cluster) clock(s *server) time.Time {
	return c.epoch.Add(time.Duration(float64(c.now) * s.rate))
}

func (c *cluster) start(s *server) {
	if s.node != nil {
		return
	}
	cfg := Config{Self: s.id, Address: s.name, Heartbeat: testHeartbeat, ElectionTimeout: c.electionTimeout, RetainedEntries: 5}
	if slices.ContainsFunc(c.initialVoters, func(v InitialVoter) bool { return v.Name == s.name }) {
		cfg.InitialVoters = c.initialVoters
	}
	s.state, s.applied, s.compacted = register{Answers: map[int]casAnswer{}}, 0, 0
	if s.stored.Snapshot != nil {
		s.restore(s.stored.Snapshot)
	}
	if err := s.stored.Check(); err != nil {
		c.t.Fatalf("%s persisted a state that Check rejects: %v", s.id, err)
	}
	s.pending, s.reads = map[int64]pendingOp{}, map[int64]*op{}
	s.node = New(cfg, s.stored, c.clock(s), c.rnd)
}

func (s *server) restore(snapshot *Snapshot) {
	s.state = register{Answers: map[int]casAnswer{}}
	if err := json.Unmarshal(snapshot.Data, &s.state); err != nil {
		panic(err)
	}
	s.applied, s.compacted = snapshot.Index, snapshot.Index
}

func (c *cluster) crash(s *server) {
	// A write in progress has reached the disk or not.
	if s.writing != nil && c.rnd.IntN(2) == 0 {
		s.persist(*s.writing)
	}
	s.node, s.paused, s.crashOnPersist, s.inbox, s.writing = nil, false, false, nil, nil
}

// wipe crashes the server and replaces its disk with an empty one.
func (c *cluster) wipe(s *server) {
	c.crash(s)
	s.disks++
	s.id = ID{Name: s.name, Disk: fmt.Sprint("disk", s.disks)}
	s.stored = Restored{}
}

// run advances the simulated time by d in steps of one millisecond.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += time.Millisecond
		c.deliver()
		for _, s := range c.servers {
			if s.writing != nil && !s.paused && s.writtenAt <= c.now {
				c.finishWrite(s)
			}
			if s.node != nil && !s.paused && c.rnd.IntN(4) == 0 {
				s.node.Tick(c.clock(s))
				c.processActions(s)
			}
		}
		c.checkLeaders()
	}
}

func (c *cluster) deliver() {
	var later []delivery
	due := c.network
	c.network = nil
	for _, d := range due {
		if d.at > c.now {
			later = append(later, d)
			continue
		}
		s := c.find(d.m.ToAddress)
		if s.node == nil || s.isolated {
			continue
		}
		if s.paused {
			s.inbox = append(s.inbox, d.m)
			continue
		}
		c.receive(s, d.m)
	}
	c.network = append(c.network, later...)
}

func (c *cluster) receive(s *server, m Message) {
	if s.node == nil {
		return
	}
	if err := m.Check(); err != nil {
		c.t.Fatalf("%s rejects message %+v: %v", s.id, m, err)
	}
	s.node.Receive(c.clock(s), m)
	c.processActions(s)
}

// cutLink cuts the link between two servers in both directions.
func (c *cluster) cutLink(a, b *server) {
	c.cutLinks[a.name+b.name], c.cutLinks[b.name+a.name] = true, true
}

func (c *cluster) find(name string) *server {
	return c.servers[slices.IndexFunc(c.servers, func(s *server) bool { return s.name == name })]
}

// send passes a message to the network, which drops, duplicates, delays and reorders messages.
func (c *cluster) send(s *server, m Message) {
	if s.isolated || c.cutLinks[s.name+m.ToAddress] || c.rnd.Float64() < c.loss {
		return
	}
	for range 1 + c.rnd.IntN(20)/19 {
		delay := time.Duration(1+c.rnd.IntN(10)) * time.Millisecond
		if c.rnd.IntN(30) == 0 {
			delay += time.Duration(c.rnd.IntN(300)) * time.Millisecond
		}
		c.network = append(c.network, delivery{at: c.now + delay, m: m})
	}
}

// processActions performs the node's Actions. A server without a syncTime persists them at once.
func (c *cluster) processActions(s *server) {
	a := s.node.Actions()
	if a.Persists() && s.writing != nil {
		c.t.Fatalf("%s persists two sets of actions at once", s.id)
	}
	if a.Persists() {
		s.writing, s.writtenAt = &a, c.now
		if s.syncTime != nil {
			s.writtenAt += s.syncTime()
		}
	}
	c.performActions(s, a)
	if s.node != nil && s.writing != nil && s.writtenAt <= c.now {
		c.finishWrite(s)
	}
}

// finishWrite ends the write in progress; a server with crashOnPersist set crashes instead.
func (c *cluster) finishWrite(s *server) {
	if s.crashOnPersist {
		c.crash(s)
		return
	}
	s.persist(*s.writing)
	s.writing = nil
	s.node.Persisted(c.clock(s))
	c.processActions(s)
}

// performActions performs the Actions that do not wait for the disk.
func (c *cluster) performActions(s *server, a Actions) {
	for _, m := range a.Messages {
		c.send(s, m)
	}
	if a.Install != nil {
		s.restore(a.Install)
		c.checkState(s)
	}
	for _, e := range a.Committed {
		c.apply(s, e)
	}
	for _, r := range a.Reads {
		c.answerRead(s, r)
	}
	if n := s.applied; n >= s.compacted+snapshotEvery {
		s.compacted = n
		data, err := json.Marshal(s.state)
		if err != nil {
			panic(err)
		}
		s.node.Compact(n, data)
	}
}

func (s *server) persist(a Actions) {
	if a.HardState != nil {
		s.stored.HardState = *a.HardState
	}
	if a.Snapshot != nil {
		s.stored.Snapshot, s.stored.Entries = a.Snapshot, nil
	}
	if len(a.Entries) == 0 {
		return
	}
	first := a.Entries[0].Index
	kept := slices.DeleteFunc(slices.Clone(s.stored.Entries), func(e Entry) bool { return e.Index >= first })
	kept = append(kept, a.Entries...)
	s.stored.Entries = kept
}

func (c *cluster) apply(s *server, e Entry) {
	if e.Index != s.applied+1 {
		c.t.Fatalf("%s applied index %d after %d", s.id, e.Index, s.applied)
	}
	s.applied = e.Index
	if known, ok := c.history[e.Index]; ok && (known.Term != e.Term || string(known.Data) != string(e.Data)) {
		c.t.Fatalf("%s applied %+v at an index that has %+v", s.id, e, known)
	}
	c.history[e.Index] = e
	var answer casAnswer
	if e.Kind == CommandEntry {
		_, answer = s.state.apply(e.Data)
	}
	c.checkState(s)
	if w, ok := s.pending[e.Index]; ok {
		delete(s.pending, e.Index)
		if w.term == e.Term {
			c.answer(w.op, answer)
		}
	}
}

// checkState checks that all servers have the same revision at the same index.
func (c *cluster) checkState(s *server) {
	if known, ok := c.revisions[s.applied]; ok && known != s.state.Revision {
		c.t.Fatalf("%s has revision %d at index %d, others %d", s.id, s.state.Revision, s.applied, known)
	}
	c.revisions[s.applied] = s.state.Revision
}

func (c *cluster) answer(o *op, a casAnswer) {
	if !o.answered {
		o.answered, o.answer, o.returned = true, a, c.now
	}
}

func (c *cluster) answerRead(s *server, r ReadResult) {
	if o := s.reads[r.Token]; r.OK {
		if s.applied < r.Index {
			c.t.Fatalf("%s answers a read at index %d with only %d applied", s.id, r.Index, s.applied)
		}
		c.answer(o, casAnswer{Revision: s.state.Revision})
	}
	delete(s.reads, r.Token)
}

// callServer sends an operation to a server, which may reject it.
func (c *cluster) callServer(s *server, o *op) {
	if s.node == nil || s.paused {
		return
	}
	if o.read {
		c.tokens++
		s.reads[c.tokens] = o
		if s.node.Read(c.clock(s), c.tokens) != nil {
			delete(s.reads, c.tokens)
		}
		c.processActions(s)
		return
	}
	data, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	if index, term, err := s.node.Propose(c.clock(s), data); err == nil {
		s.pending[index] = pendingOp{term: term, op: o}
	}
	c.processActions(s)
}

// callAsClient sends a new operation, or resends an unanswered one, to a random server.
func (c *cluster) callAsClient() {
	s := c.servers[c.rnd.IntN(len(c.servers))]
	if n := len(c.ops); n > 0 && c.rnd.IntN(4) == 0 {
		if o := c.ops[c.rnd.IntN(n)]; !o.read && !o.answered {
			c.callServer(s, o)
			return
		}
	}
	o := &op{ID: len(c.ops) + 1, read: c.rnd.IntN(2) == 0, invoked: c.now, Expected: s.state.Revision}
	c.ops = append(c.ops, o)
	c.callServer(s, o)
}

// resume lets a paused server continue. It handles a client's read first and then the messages received while paused.
func (c *cluster) resume(s *server) {
	if !s.paused {
		return
	}
	s.paused = false
	o := &op{ID: len(c.ops) + 1, read: true, invoked: c.now}
	c.ops = append(c.ops, o)
	c.callServer(s, o)
	c.checkLeaders()
	inbox := s.inbox
	s.inbox = nil
	for _, m := range inbox {
		c.receive(s, m)
	}
}
