package control

import (
	"container/heap"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/consensus"
	"arbutusreel/fleet"
	"arbutusreel/wiregen"
)

// Times of the simulated deployment. They are those of the deployments in use.
const (
	simHeartbeat       = 100 * time.Millisecond
	simElectionTimeout = 500 * time.Millisecond
	simTick            = simHeartbeat / ticksPerHeartbeat
	simRegionDelay     = 40 * time.Millisecond
	simOrderTimeout    = 950 * time.Millisecond
	// simCatchUp is the time after its start for which a daemon with an empty disk counts as lost.
	simCatchUp = 4 * time.Second
	// simCheckedDepartures is the number of departures that are checked, fewer than are kept.
	simCheckedDepartures = 200
	// simRecovery is the time after the final fault within which the survivors must answer.
	simRecovery = 12 * time.Second
)

// simEvent is a scheduled step of the simulation.
type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simDaemon is a control daemon without its network: the voter, its disk and its part in the changes of members.
type simDaemon struct {
	sim    *simulation
	name   string
	region int
	join   bool
	disk   *powerDisk

	// quorum is nil while the daemon does not run; boot counts its starts.
	quorum *quorum
	boot   int
	// started is the time of the last start.
	started time.Duration
	// removed daemons never start again.
	removed     bool
	frozenUntil time.Duration
	held        []func()
	// emptyUntil is the time until which the disk counts as lost.
	emptyUntil time.Duration
	waiting    []*simAttempt
	attempts   int
	// syncTime returns how long the next write takes; nil means no time.
	syncTime func() time.Duration
}

// simOrder is an operator's order.
type simOrder struct {
	command *wiregen.FleetOrder
	acked   bool
}

// simAttempt is one call with an order, which the operator gives up after simOrderTimeout.
type simAttempt struct {
	order  *simOrder
	until  time.Duration
	result chan changeResult
	read   chan error
}

// simulation runs control daemons on one clock with one random source.
type simulation struct {
	failure   string
	rnd       *rand.Rand
	tolerated int
	now       time.Duration
	events    simEvents
	order     int
	daemons   []*simDaemon
	seeds     []string
	// disturbedUntil is the end of the last disturbance.
	disturbedUntil time.Duration
	cuts           map[[2]string]time.Duration
	loss           float64

	version, departures int64
	acked               []*simOrder
	// evacuation is the last evacuation that was ordered or withdrawn.
	evacuation *simOrder
	onAck      func()
	// ending is set when no further disturbance starts, and finished at the final fault.
	ending, finished bool
	counts           map[string]int
}

func newSimulation(seed uint64, daemons, tolerated int) *simulation {
	s := &simulation{
		rnd: rand.New(rand.NewPCG(seed, 1)), tolerated: tolerated,
		cuts: map[[2]string]time.Duration{}, counts: map[string]int{},
	}
	for i := range daemons {
		s.daemons = append(s.daemons, &simDaemon{sim: s, name: fmt.Sprint("d", i), region: i % 3, disk: newPowerDisk(s.rnd), join: i > 2})
	}
	for _, d := range s.daemons[:3] {
		s.seeds = append(s.seeds, d.name)
	}
	for _, d := range s.daemons {
		s.after(time.Duration(s.rnd.IntN(300))*time.Millisecond, d.start)
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, simEvent{at: s.now + d, order: s.order, run: run})
}

// fail records the first failure, which ends the run.
func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until && s.failure == "" {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = until
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rnd.Int64N(int64(high-low)))
}

func (s *simulation) find(name string) *simDaemon {
	i := slices.IndexFunc(s.daemons, func(d *simDaemon) bool { return d.name == name && !d.removed })
	if i < 0 {
		return nil
	}
	return s.daemons[i]
}

func (s *simulation) clock() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

// deliver runs f at a daemon after the delay of the network, unless the message is lost.
func (s *simulation) deliver(from *simDaemon, to string, f func(*simDaemon)) {
	d := s.find(to)
	if d == nil || s.rnd.Float64() < s.loss {
		return
	}
	delay := s.between(100*time.Microsecond, 4*time.Millisecond)
	if from.region != d.region {
		delay += simRegionDelay
	}
	if until := s.cuts[[2]string{from.name, to}]; until > s.now {
		// A partition delays messages or drops them.
		if s.rnd.IntN(2) == 0 {
			return
		}
		delay += until - s.now
	}
	if s.rnd.IntN(500) == 0 {
		delay += s.between(0, 3*time.Second)
	}
	s.after(delay, func() { d.receive(func() { f(d) }) })
}

// receive runs f at the daemon, or when it is thawed.
func (d *simDaemon) receive(f func()) {
	switch {
	case d.quorum == nil:
	case d.frozenUntil > d.sim.now:
		d.held = append(d.held, f)
	default:
		f()
		d.process()
	}
}

// send delivers a message in its encoding.
func (d *simDaemon) send(m consensus.Message) {
	encoded := encodeMessage(m)
	d.sim.deliver(d, m.ToAddress, func(to *simDaemon) {
		decoded, err := decodeMessage(encoded)
		if err != nil {
			d.sim.fail("%s sent a message that %s refuses: %v", d.name, to.name, err)
			return
		}
		to.quorum.node.Receive(d.sim.clock(), decoded)
	})
}

// start starts the daemon, which opens its journal with two syncs.
func (d *simDaemon) start() {
	if d.quorum != nil || d.removed {
		return
	}
	d.started = d.sim.now
	if d.syncTime == nil {
		d.open()
		return
	}
	d.boot++
	boot := d.boot
	d.sim.after(d.syncTime()+d.syncTime(), func() {
		if d.boot == boot && !d.removed {
			d.open()
		}
	})
}

func (d *simDaemon) open() {
	s := d.sim
	cfg := Config{
		Name: d.name, PeerAddress: d.name, Join: d.join, Seeds: s.seeds, ToleratedDisks: s.tolerated, CatchUpTime: simCatchUp,
		Heartbeat: simHeartbeat, ElectionTimeout: simElectionTimeout, SnapshotEntries: 16,
	}
	for _, name := range s.seeds {
		cfg.Voters = append(cfg.Voters, name+"="+name)
	}
	opened, restored, err := openDisk(d.disk)
	if err == nil {
		d.quorum, err = newQuorum(cfg, opened, restored, d, func(int64, []byte) {}, func([]fleet.LoggedDeparture) {}, zerolog.Nop(), s.clock, s.rnd)
	}
	if err != nil {
		d.end(err)
		return
	}
	d.boot++
	d.quorum.beginWrite = d.beginWrite
	d.repeat(simTick, func() { d.quorum.node.Tick(s.clock()) })
	d.repeat(joinPeriod, d.maintainMembership)
	d.repeat(replacementPeriod, d.replaceFailed)
}

// beginWrite performs a write. If it takes time, a loss of power meanwhile may come before or after it reached the disk.
func (d *simDaemon) beginWrite(w diskWrite) {
	s, q := d.sim, d.quorum
	if d.syncTime == nil || !w.durable() {
		q.finishWrite(s.clock(), q.disk.perform(w, s.clock))
		return
	}
	var r writeResult
	early := s.rnd.IntN(2) == 0
	if early {
		r = q.disk.perform(w, s.clock)
	}
	s.after(d.syncTime(), func() {
		if d.quorum != q {
			return
		}
		if !early {
			r = q.disk.perform(w, s.clock)
		}
		d.receive(func() { q.finishWrite(s.clock(), r) })
	})
}

// repeat runs f periodically until the daemon ends.
func (d *simDaemon) repeat(period time.Duration, f func()) {
	boot := d.boot
	var next func()
	next = func() {
		if d.quorum == nil || d.boot != boot {
			return
		}
		if d.frozenUntil <= d.sim.now {
			f()
			d.process()
		}
		d.sim.after(period, next)
	}
	d.sim.after(period, next)
}

// end handles the end of the process after an error of the disk: a loss of power, or a restart.
func (d *simDaemon) end(err error) {
	d.stop()
	d.join = true
	if errors.Is(err, errPowerLost) {
		d.losePower(false)
	} else if !errors.Is(err, syscall.ENOSPC) {
		d.sim.fail("%s ended at %v: %v", d.name, d.sim.now, err)
	}
	d.sim.after(d.sim.between(200*time.Millisecond, 2*time.Second), d.start)
}

// stop ends the process; its files stay as they are.
func (d *simDaemon) stop() {
	d.quorum, d.waiting, d.held, d.frozenUntil = nil, nil, nil, 0
	d.boot++
}

func (d *simDaemon) losePower(synced bool) {
	d.stop()
	d.disk = d.disk.afterPowerLoss(synced)
	d.join = true
}

// wipe stops the daemon and empties its disk, which counts as lost until it has been back for simCatchUp.
func (d *simDaemon) wipe(down time.Duration) {
	d.stop()
	d.disk, d.join = newPowerDisk(d.sim.rnd), true
	d.emptyUntil = d.sim.now + down + simCatchUp
	d.sim.after(down, d.start)
}

// process performs the voter's actions and continues what waits for them.
func (d *simDaemon) process() {
	if d.quorum == nil {
		return
	}
	if err := d.quorum.processActions(); err != nil {
		d.end(err)
		return
	}
	for _, a := range d.waiting {
		if !a.order.acked && a.decided() && a.until > d.sim.now {
			d.sim.acknowledge(a.order)
		}
		if d.quorum == nil {
			return
		}
	}
}

// maintainMembership requests membership as Control.maintainMembership does.
func (d *simDaemon) maintainMembership() {
	s := d.quorum.Status()
	since := d.sim.clock().Sub(s.LastLeaderContact)
	if s.IsLeader || s.Leader.Name != "" && since < 2*simElectionTimeout || !d.join && since < 4*simElectionTimeout {
		return
	}
	var addresses []string
	for _, m := range s.Members {
		addresses = append(addresses, m.Address)
	}
	addresses = slices.DeleteFunc(append(addresses, d.sim.seeds...), func(a string) bool { return a == d.name })
	d.attempts++
	r := joinRequest{
		id: consensus.ID{Name: d.name, Disk: d.quorum.disk.identity}, address: d.name,
		uptime: d.sim.now - d.started, returning: s.Admitted,
	}
	d.sim.deliver(d, addresses[d.attempts%len(addresses)], func(to *simDaemon) { to.requestAdmission(r, true) })
}

// requestAdmission admits a daemon on the leader, and otherwise forwards the request to it.
func (d *simDaemon) requestAdmission(r joinRequest, forward bool) {
	status := d.quorum.Status()
	if !status.IsLeader {
		if leader, ok := status.Members.Find(status.Leader.Name); ok && forward {
			d.sim.deliver(d, leader.Address, func(to *simDaemon) { to.requestAdmission(r, false) })
		}
		return
	}
	if member, known := status.Members.Find(r.id.Name); known && member.ID == r.id {
		return
	}
	d.propose(func(now time.Time) (int64, int64, error) {
		return d.quorum.node.Join(now, r.id, r.address, r.uptime, r.returning)
	})
}

func (d *simDaemon) propose(f func(now time.Time) (index, term int64, err error)) chan changeResult {
	result := make(chan changeResult, 1)
	index, term, err := f(d.sim.clock())
	if err != nil {
		result <- changeResult{err: err}
		return result
	}
	d.quorum.pendingChanges[index] = pendingChange{term: term, result: result}
	return result
}

func (d *simDaemon) replaceFailed() {
	step, _, ok := d.quorum.replacementStep(d.sim.clock())
	if !ok {
		return
	}
	if _, _, err := step.propose(d.sim.clock(), d.quorum.node); err == nil && step.failed != (consensus.ID{}) {
		d.sim.counts["replaced"]++
	}
}

// acknowledge has the operator learn that an order was accepted.
func (s *simulation) acknowledge(o *simOrder) {
	o.acked = true
	s.counts["acknowledged"]++
	s.acked = append(s.acked, o)
	if s.onAck != nil {
		s.onAck()
	}
}

// decided reports whether the order was accepted or confirmed.
func (a *simAttempt) decided() bool {
	select {
	case r := <-a.result:
		return r.err == nil
	case err := <-a.read:
		return err == nil
	default:
		return false
	}
}

// submit sends an order to a random daemon, and again to others until one acknowledges it or the attempts are used up.
func (s *simulation) submit(o *simOrder, attempts int) {
	if s.finished || o.acked || attempts == 0 {
		return
	}
	a := &simAttempt{order: o, until: s.now + simOrderTimeout}
	d := s.daemons[s.rnd.IntN(len(s.daemons))]
	d.receive(func() { d.decide(a, true) })
	s.after(simOrderTimeout, func() { s.submit(o, attempts-1) })
}

// decide proposes an order on the leader as Control.proposeOrder does, and otherwise forwards it to the leader.
func (d *simDaemon) decide(a *simAttempt, forward bool) {
	s := d.sim
	if s.now > a.until {
		return
	}
	status := d.quorum.Status()
	if !status.IsLeader {
		if leader, ok := status.Members.Find(status.Leader.Name); ok && forward && leader.Address != d.name {
			s.deliver(d, leader.Address, func(to *simDaemon) { to.decide(a, false) })
		}
		return
	}
	d.waiting = append(slices.DeleteFunc(d.waiting, func(a *simAttempt) bool { return a.order.acked || a.until < s.now }), a)
	m := a.order.command
	if doc := m.GetDocument(); doc != nil && doc.GetVersion() <= d.quorum.Orders().Document().Version ||
		m.GetDeparture() != nil && d.quorum.departed(decodeDeparture(m.GetDeparture())) {
		a.read = make(chan error, 1)
		d.quorum.lastReadToken++
		d.quorum.pendingReads[d.quorum.lastReadToken] = a.read
		if err := d.quorum.node.Read(s.clock(), d.quorum.lastReadToken); err != nil {
			delete(d.quorum.pendingReads, d.quorum.lastReadToken)
		}
		return
	}
	command := marshal(&wiregen.ChangeCommand{Fleet: m, UnixMillis: s.clock().UnixMilli()})
	a.result = d.propose(func(now time.Time) (int64, int64, error) { return d.quorum.node.Propose(now, command) })
}

// operate submits orders until the end of the day: documents, departures, and evacuations of one failure domain in turn.
func (s *simulation) operate(period time.Duration) {
	evacuated := false
	var next func()
	next = func() {
		if s.finished {
			return
		}
		o := &simOrder{}
		switch n := s.rnd.IntN(10); {
		case n < 6:
			s.version++
			o.command = &wiregen.FleetOrder{Document: &wiregen.RouteDocument{Version: s.version, Content: fmt.Append(nil, s.version)}}
		case n < 8 && (s.evacuation == nil || s.evacuation.acked):
			o.command = &wiregen.FleetOrder{Evacuation: &wiregen.EvacuationOrder{FailureDomain: "z", Withdrawn: evacuated}}
			evacuated, s.evacuation = !evacuated, o
		default:
			s.departures++
			o.command = &wiregen.FleetOrder{Departure: &wiregen.LoggedDeparture{Endpoint: "e", Born: s.departures}}
		}
		attempts := 8
		if o == s.evacuation {
			attempts = 1 << 20
		}
		s.submit(o, attempts)
		s.after(s.between(0, 2*period), next)
	}
	s.after(time.Second, next)
}

// lostDisks returns the number of disks that count as lost. An emptied disk whose daemon is not a voter yet does so
// until simRecovery after the last disturbance.
func (s *simulation) lostDisks() int {
	n := 0
	leader := s.leader()
	for _, d := range s.daemons {
		switch {
		case d.emptyUntil == 0 || d.removed:
		case d.emptyUntil > s.now:
			n++
		case leader != nil && d.quorum != nil && leader.quorum.Status().Members.Voter(d.quorum.node.Status(s.clock()).Self):
			d.emptyUntil = 0
		case s.now < s.disturbedUntil+simRecovery:
			n++
		}
	}
	return n
}

func (s *simulation) running() []*simDaemon {
	return slices.DeleteFunc(slices.Clone(s.daemons), func(d *simDaemon) bool { return d.removed })
}

func (s *simulation) leader() *simDaemon {
	for _, d := range s.daemons {
		if d.quorum != nil && d.quorum.Status().IsLeader {
			return d
		}
	}
	return nil
}

// replace removes a daemon for good and starts a new one with another name.
func (s *simulation) replace(d *simDaemon) {
	s.counts["machines replaced"]++
	d.stop()
	d.removed = true
	next := &simDaemon{sim: s, name: fmt.Sprint("d", len(s.daemons)), region: d.region, disk: newPowerDisk(s.rnd), join: true}
	down := s.between(0, 3*time.Second)
	next.emptyUntil = s.now + down + simCatchUp
	s.daemons = append(s.daemons, next)
	s.after(down, next.start)
}

// disturb starts a random disturbance that the deployment must tolerate without losing what was acknowledged.
func (s *simulation) disturb() {
	running := s.running()
	d := running[s.rnd.IntN(len(running))]
	down := s.between(200*time.Millisecond, 8*time.Second)
	kind := s.rnd.IntN(10)
	names := []string{"kill", "power", "power", "wipe", "wipe", "replace", "freeze", "cut", "all lose power", "full disk"}
	if (kind == 3 || kind == 4 || kind == 5) && s.lostDisks() >= s.tolerated {
		return
	}
	s.counts[names[kind]]++
	d.prolongLoss(down)
	s.disturbedUntil = max(s.disturbedUntil, s.now+down)
	switch kind {
	case 0:
		if d.quorum != nil && s.rnd.IntN(2) == 0 {
			d.quorum.node.Transfer(s.clock())
			d.process()
		}
		d.stop()
		d.join = true
		s.after(down, d.start)
	case 1:
		d.losePower(s.rnd.IntN(2) == 0)
		s.after(down, d.start)
	case 2:
		d.disk.operations = s.rnd.IntN(6)
	case 3, 4:
		d.wipe(down)
	case 5:
		s.replace(d)
	case 6:
		d.frozenUntil = s.now + down
		boot := d.boot
		s.after(down, func() { d.thaw(boot) })
	case 7:
		s.cut(d, down)
	case 8:
		share := s.between(0, 2)
		for _, d := range running {
			if share == 0 && s.rnd.IntN(2) == 0 {
				continue
			}
			d.losePower(s.rnd.IntN(2) == 0)
			d.prolongLoss(2 * time.Second)
			s.after(s.between(200*time.Millisecond, 2*time.Second), d.start)
		}
	case 9:
		d.disk.full = true
		s.after(down, func() { d.disk.full = false })
	}
}

// prolongLoss has a disk that counts as lost do so until simCatchUp after a disturbance of its daemon.
func (d *simDaemon) prolongLoss(disturbance time.Duration) {
	if d.emptyUntil > d.sim.now {
		d.emptyUntil = max(d.emptyUntil, d.sim.now+disturbance+simCatchUp)
	}
}

func (d *simDaemon) thaw(boot int) {
	if d.boot != boot {
		return
	}
	held := d.held
	d.held = nil
	d.frozenUntil = 0
	for _, f := range held {
		d.receive(f)
	}
}

// cut cuts a daemon from some of the others, in one direction or both.
func (s *simulation) cut(d *simDaemon, length time.Duration) {
	direction := s.rnd.IntN(3)
	for _, other := range s.daemons {
		if s.rnd.IntN(4) == 0 {
			continue
		}
		if direction != 0 {
			s.cuts[[2]string{d.name, other.name}] = s.now + length
		}
		if direction != 1 {
			s.cuts[[2]string{other.name, d.name}] = s.now + length
		}
	}
}

// endDay has all daemons lose power right after the next acknowledgement, and as many disks emptied as may be lost.
func (s *simulation) endDay() {
	s.onAck = func() {
		s.onAck, s.finished = nil, true
		synced := s.rnd.IntN(2) == 0
		running := s.running()
		index := int64(0)
		for _, d := range running {
			if d.quorum != nil {
				index = max(index, d.quorum.appliedIndex)
			}
		}
		for _, d := range running {
			d.losePower(synced || s.rnd.IntN(2) == 0)
			d.disk.full, d.syncTime = false, nil
		}
		s.emptyHolders(running, index)
		clear(s.cuts)
		s.loss = 0
		for _, d := range running {
			s.after(s.between(0, 1500*time.Millisecond), d.start)
		}
	}
}

// emptyHolders empties disks that hold the entry at an index, as many as may be lost.
func (s *simulation) emptyHolders(daemons []*simDaemon, index int64) {
	left := s.tolerated - s.lostDisks()
	for _, i := range s.rnd.Perm(len(daemons)) {
		d := daemons[i]
		_, restored, err := openDisk(d.disk.afterPowerLoss(true))
		if err != nil || left <= 0 {
			continue
		}
		last := int64(0)
		if restored.Snapshot != nil {
			last = restored.Snapshot.Index
		}
		if n := len(restored.Entries); n > 0 {
			last = restored.Entries[n-1].Index
		}
		if last >= index {
			d.disk = newPowerDisk(s.rnd)
			left--
		}
	}
}

// check fails unless the leader elected after the final fault holds all that was acknowledged.
func (s *simulation) check() {
	leader := s.leader()
	if leader == nil {
		s.fail("no leader %v after the final fault: %s", simRecovery, s.describe())
		return
	}
	if _, _, ok := leader.quorum.Lease(s.clock()); !ok {
		s.fail("the leader holds no lease: %s", s.describe())
	}
	document := leader.quorum.Orders().Document()
	evacuated := len(leader.quorum.Orders().Evacuations().Domains) > 0
	var newest int64
	for _, o := range slices.Backward(s.acked) {
		m := o.command
		newest = max(newest, m.GetDocument().GetVersion())
		// The log of departures is bounded.
		if m.GetDeparture() != nil && m.GetDeparture().GetBorn() > s.departures-simCheckedDepartures && !leader.quorum.departed(decodeDeparture(m.GetDeparture())) {
			s.fail("an acknowledged departure is lost: %s", s.describe())
		}
	}
	if document.Version < newest || document.Version > 0 && string(document.Content) != fmt.Sprint(document.Version) {
		s.fail("version %d was acknowledged, %d with content %q is in force: %s", newest, document.Version, document.Content, s.describe())
	}
	if o := s.evacuation; o != nil && o.acked && evacuated == o.command.GetEvacuation().GetWithdrawn() {
		s.fail("an acknowledged evacuation or its end is lost: %s", s.describe())
	}
}

func (s *simulation) describe() string {
	text := fmt.Sprintf("at %v, %v", s.now, s.counts)
	for _, d := range s.running() {
		if d.quorum == nil {
			text += fmt.Sprintf("\n%s down", d.name)
			continue
		}
		status := d.quorum.Status()
		text += fmt.Sprintf("\n%s %s leader %q term %d commit %d version %d of %v", d.name, d.quorum.disk.identity, status.Leader.Name,
			status.Term, status.Commit, d.quorum.Orders().Document().Version, describeMembers(status.Members))
	}
	return text
}

// grow runs until the quorum has a number of voters.
func (s *simulation) grow(voters int) {
	for end := s.now + simRecovery; s.failure == ""; {
		if l := s.leader(); l != nil && len(l.quorum.Status().Members.Voters()) >= voters {
			return
		}
		s.run(s.now + 10*time.Millisecond)
		if s.now > end {
			s.fail("fewer than %d voters: %s", voters, s.describe())
		}
	}
}

// runDay plays a day and returns its simulation.
func runDay(seed uint64, daemons, tolerated int) *simulation {
	s := newSimulation(seed, daemons, tolerated)
	s.playDay()
	return s
}

// playDay plays a day of random disturbances and the final fault, and checks the survivors. Slow disks end with it.
func (s *simulation) playDay() {
	s.loss = []float64{0, 0.01, 0.05}[s.rnd.IntN(3)]
	s.operate(s.between(20*time.Millisecond, 400*time.Millisecond))
	length := s.between(0, 25*time.Second)
	period := s.between(300*time.Millisecond, 6*time.Second)
	var next func()
	next = func() {
		if !s.finished && !s.ending {
			s.disturb()
			s.after(s.between(0, 2*period), next)
		}
	}
	s.grow(2*s.tolerated + 1)
	s.after(s.between(0, 4*time.Second), next)
	s.run(s.now + length)
	length = s.now
	s.endDay()
	s.run(s.now + s.between(0, 3*time.Second))
	s.ending = true
	for s.failure == "" && !s.finished && s.now < max(length, s.disturbedUntil)+2*simRecovery {
		s.run(s.now + 10*time.Millisecond)
	}
	if !s.finished {
		s.fail("no acknowledgement %v after the last disturbance: %s", 2*simRecovery, s.describe())
		return
	}
	s.run(s.now + simRecovery + 1500*time.Millisecond)
	s.check()
}

var (
	diskLossDays = flag.Int("disklossdays", 15, "number of days of each kind that TestAcknowledgedChangeLostWithDisks plays")
	diskLossSeed = flag.Uint64("disklossseed", 1, "seed of the first day")
)

// TestAcknowledgedChangeLostWithDisks has all control daemons lose power right after an acknowledgement, and as many disks
// with it as may be lost.
func TestAcknowledgedChangeLostWithDisks(t *testing.T) {
	for _, c := range []struct{ daemons, tolerated int }{{5, 1}, {9, 2}} {
		t.Run(fmt.Sprint(c.daemons, " daemons"), func(t *testing.T) {
			counts := map[string]int{}
			for i := range *diskLossDays {
				seed := *diskLossSeed + uint64(i)
				s := runDay(seed, c.daemons, c.tolerated)
				for kind, n := range s.counts {
					counts[kind] += n
				}
				if s.failure != "" {
					t.Errorf("seed %d: %s", seed, s.failure)
				}
			}
			t.Logf("%d days: %v", *diskLossDays, counts)
		})
	}
}

// TestFounderEndedBeforeFounding has founders end, lose power or lose a disk before the quorum is founded. When they start
// again the system no longer starts for the first time.
func TestFounderEndedBeforeFounding(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(s *simulation)
	}{
		{"one killed", func(s *simulation) { s.restartSoon(s.daemons[s.rnd.IntN(3)], (*simDaemon).stop) }},
		{"all killed", func(s *simulation) {
			for _, d := range s.daemons {
				s.restartSoon(d, (*simDaemon).stop)
			}
		}},
		{"all lose power", func(s *simulation) {
			for _, d := range s.daemons {
				s.restartSoon(d, func(d *simDaemon) { d.losePower(s.rnd.IntN(2) == 0) })
			}
		}},
		{"disk full", func(s *simulation) {
			d := s.daemons[s.rnd.IntN(3)]
			d.disk.full = true
			s.after(s.between(0, 3*time.Second), func() { d.disk.full = false })
		}},
		{"second or third emptied", func(s *simulation) { s.daemons[1+s.rnd.IntN(2)].wipe(s.between(0, 2*time.Second)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(50) {
				s := newSimulation(seed, 9, 2)
				s.run(s.between(300*time.Millisecond, 2500*time.Millisecond))
				c.end(s)
				s.run(s.now + 3*time.Second)
				s.grow(5)
				if s.failure != "" {
					t.Fatalf("seed %d: %s", seed, s.failure)
				}
			}
		})
	}
}

// TestChangesRefusedAfterFullDisksFromStart has each disk be full for a few seconds, one after another, from the first seconds on.
func TestChangesRefusedAfterFullDisksFromStart(t *testing.T) {
	for _, c := range []struct{ daemons, tolerated int }{{5, 1}, {9, 2}} {
		t.Run(fmt.Sprint(c.daemons, " daemons"), func(t *testing.T) {
			for seed := range uint64(12) {
				s := newSimulation(seed, c.daemons, c.tolerated)
				s.operate(200 * time.Millisecond)
				s.run(s.between(300*time.Millisecond, 3*time.Second))
				for _, i := range s.rnd.Perm(c.daemons) {
					d := s.daemons[i]
					d.disk.full = true
					s.run(s.now + s.between(time.Second, 6*time.Second))
					d.disk.full = false
				}
				acknowledged := len(s.acked)
				s.run(s.now + simRecovery)
				if s.failure != "" || len(s.acked) == acknowledged {
					t.Errorf("seed %d: no acknowledgement: %s %s", seed, s.failure, s.describe())
				}
			}
		})
	}
}

// restartSoon ends a daemon and starts it again within two seconds.
func (s *simulation) restartSoon(d *simDaemon, end func(*simDaemon)) {
	end(d)
	d.join = true
	s.after(s.between(0, 2*time.Second), d.start)
}
