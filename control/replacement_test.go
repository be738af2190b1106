package control

import (
	"slices"
	"testing"
	"time"

	"arbutusreel/consensus"
)

// newSettledSimulation returns a deployment of five voters some seconds after its start.
func newSettledSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	s := newSimulation(seed, 5, 1)
	s.grow(5)
	s.run(s.now + 8*time.Second)
	if s.failure != "" {
		t.Fatal(s.failure)
	}
	return s
}

// waitFor runs until cond holds and reports whether it did in time.
func (s *simulation) waitFor(limit time.Duration, cond func() bool) bool {
	for end := s.now + limit; s.failure == "" && !cond(); s.run(s.now + 10*time.Millisecond) {
		if s.now >= end {
			return false
		}
	}
	return s.failure == ""
}

// currentLeader waits for a leader.
func (s *simulation) currentLeader(t *testing.T) *simDaemon {
	t.Helper()
	if !s.waitFor(5*time.Second, func() bool { return s.leader() != nil }) {
		t.Fatalf("no leader at %v: %s %s", s.now, s.describe(), s.failure)
	}
	return s.leader()
}

// votes reports whether the leader counts a daemon among the voters.
func (s *simulation) votes(d *simDaemon) bool {
	l := s.leader()
	if l == nil {
		return false
	}
	m, ok := l.quorum.Status().Members.Find(d.name)
	return ok && m.Voter
}

// lose removes a daemon for good and returns the one that is started in its place after a delay, with seeds that run.
func (s *simulation) lose(d *simDaemon, delay time.Duration) *simDaemon {
	d.stop()
	d.removed = true
	s.seeds = nil
	for _, seed := range s.running()[:3] {
		s.seeds = append(s.seeds, seed.name)
	}
	next := &simDaemon{sim: s, name: "successor of " + d.name, region: d.region, disk: newPowerDisk(s.rnd), join: true}
	s.daemons = append(s.daemons, next)
	s.after(delay, next.start)
	return next
}

func (s *simulation) follower(t *testing.T, other *simDaemon) *simDaemon {
	t.Helper()
	l := s.currentLeader(t)
	for _, d := range s.running() {
		if d != l && d != other && d.quorum != nil && s.votes(d) {
			return d
		}
	}
	t.Fatal("no follower")
	return nil
}

func (d *simDaemon) freeze(length time.Duration) {
	d.frozenUntil = d.sim.now + length
	boot := d.boot
	d.sim.after(length, func() { d.thaw(boot) })
}

// TestLeadersReplacedInSeries guards against failed voters that stay members after a change of the leader, until the
// voters that run are no majority any more.
func TestLeadersReplacedInSeries(t *testing.T) {
	for seed := range uint64(10) {
		s := newSettledSimulation(t, seed)
		delay := time.Second
		if seed%2 == 1 {
			delay = 100 * time.Millisecond
		}
		for i := range 10 {
			lost := s.currentLeader(t)
			next := s.lose(lost, delay)
			s.run(s.now + delay + simCatchUp)
			s.currentLeader(t)
			if s.votes(lost) || !s.votes(next) || s.failure != "" {
				t.Fatalf("seed %d, replacement %d: the lost voter votes: %v, its successor: %v; %s %s", seed, i, s.votes(lost), s.votes(next), s.describe(), s.failure)
			}
			s.run(s.now + 100*time.Millisecond)
		}
	}
}

// TestReplacementSurvivesLeader guards against a new leader that does not know of a join, or measures the silence of a
// failed voter anew.
func TestReplacementSurvivesLeader(t *testing.T) {
	for seed := range uint64(10) {
		s := newSettledSimulation(t, seed)
		lost := s.follower(t, nil)
		next := s.lose(lost, 500*time.Millisecond)
		started := s.now + 500*time.Millisecond
		if !s.waitFor(simCatchUp, func() bool { return s.votes(next) }) || !s.votes(lost) {
			t.Fatalf("seed %d: %s did not join before the removal: %s %s", seed, next.name, s.describe(), s.failure)
		}
		leader := s.leader()
		leader.stop()
		s.after(3*time.Second, leader.start)
		s.run(started + simCatchUp)
		// The loss of two voters at once is more than is tolerated, so that the election may take longer.
		s.currentLeader(t)
		if !s.waitFor(time.Second, func() bool { return s.leader() != nil && !s.votes(lost) }) {
			t.Errorf("seed %d: the lost voter is a member %v after the start of its successor: %s", seed, simCatchUp, s.describe())
		}
	}
}

// TestUnreachableVoterKept guards against the removal of a voter that is paused or partitioned for a while when another
// daemon joins.
func TestUnreachableVoterKept(t *testing.T) {
	const pause = 8 * time.Second
	cases := map[string]struct {
		disturb func(t *testing.T, s *simulation) (kept, lost *simDaemon)
		// inTime is set if the lost voter must be replaced while the other one is still unreachable.
		inTime bool
	}{
		"paused beside a loss": {disturb: func(t *testing.T, s *simulation) (kept, lost *simDaemon) {
			kept = s.follower(t, nil)
			kept.freeze(pause)
			lost = s.follower(t, kept)
			s.lose(lost, time.Second)
			return kept, lost
		}},
		"paused after a loss": {disturb: func(t *testing.T, s *simulation) (kept, lost *simDaemon) {
			lost = s.follower(t, nil)
			s.lose(lost, time.Second)
			s.run(s.now + 1500*time.Millisecond)
			kept = s.follower(t, lost)
			kept.freeze(pause)
			return kept, lost
		}, inTime: true},
		"paused after an addition": {disturb: func(t *testing.T, s *simulation) (kept, lost *simDaemon) {
			added := &simDaemon{sim: s, name: "added", disk: newPowerDisk(s.rnd), join: true}
			s.daemons = append(s.daemons, added)
			added.start()
			s.run(s.now + 3*time.Second)
			kept = s.follower(t, added)
			kept.freeze(pause)
			return kept, nil
		}},
		"cut off from the leader alone": {disturb: func(t *testing.T, s *simulation) (kept, lost *simDaemon) {
			kept, l := s.follower(t, nil), s.currentLeader(t)
			s.cuts[[2]string{kept.name, l.name}] = s.now + pause
			s.cuts[[2]string{l.name, kept.name}] = s.now + pause
			lost = s.follower(t, kept)
			s.lose(lost, time.Second)
			return kept, lost
		}, inTime: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newSettledSimulation(t, seed)
				kept, lost := c.disturb(t, s)
				began := s.now
				for s.now < began+pause+2*time.Second {
					s.run(s.now + 50*time.Millisecond)
					if s.leader() != nil && !s.votes(kept) {
						t.Fatalf("seed %d: the unreachable voter was removed after %v: %s", seed, s.now-began, s.describe())
					}
					if c.inTime && s.now >= began+time.Second+simCatchUp && s.leader() != nil && s.votes(lost) {
						t.Fatalf("seed %d: the lost voter is a member after %v: %s", seed, s.now-began, s.describe())
					}
				}
				if lost != nil && s.votes(lost) {
					t.Errorf("seed %d: the lost voter is still a member: %s", seed, s.describe())
				}
				if s.failure != "" {
					t.Errorf("seed %d: %s", seed, s.failure)
				}
			}
		})
	}
}

// TestStoppedVoterReplaced guards against the loss of a replacement for a voter that stops after its successor joined.
func TestStoppedVoterReplaced(t *testing.T) {
	for seed := range uint64(5) {
		s := newSettledSimulation(t, seed)
		lost := s.follower(t, nil)
		next := &simDaemon{sim: s, name: "successor", disk: newPowerDisk(s.rnd), join: true}
		s.daemons = append(s.daemons, next)
		next.start()
		s.run(s.now + 2*time.Second)
		lost.quorum.announceStop(t.Context())
		f, err := lost.quorum.inputs.Take(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		f(s.clock())
		s.run(s.now + 2*simHeartbeat)
		lost.stop()
		lost.removed = true
		s.run(s.now + simCatchUp/2)
		if s.currentLeader(t); s.votes(lost) || !s.votes(next) {
			t.Errorf("seed %d: %v after its stop the voter is a member: %s", seed, simCatchUp/2, s.describe())
		}
	}
}

// testGroup is a group in which the named learners can be promoted and, unless noSwap is set, swapped.
type testGroup struct {
	caughtUp []string
	noSwap   bool
}

func (g testGroup) CaughtUp(_ time.Time, id consensus.ID) bool {
	return slices.Contains(g.caughtUp, id.Name)
}

func (g testGroup) CanSwap(now time.Time, _, joined consensus.ID) bool {
	return !g.noSwap && g.CaughtUp(now, joined)
}

// TestReplacementChoice checks which member is removed, and when.
func TestReplacementChoice(t *testing.T) {
	id := func(name string) consensus.ID { return consensus.ID{Name: name, Disk: "d"} }
	times := Config{CatchUpTime: 4 * time.Second, ElectionTimeout: 500 * time.Millisecond}.replacementTimes()
	members := func(joined ...consensus.Member) consensus.Members {
		var all consensus.Members
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			all = all.With(consensus.Member{ID: id(name), Voter: true})
		}
		for _, m := range joined {
			m.Voter = true
			all = all.With(m)
		}
		return all
	}
	joined := func(name string, suspects ...consensus.ID) consensus.Member {
		return consensus.Member{ID: id(name), Replacement: &consensus.Replacement{Suspects: suspects, Uptime: time.Second}}
	}
	silent := func(name string, age time.Duration) consensus.Contact {
		return consensus.Contact{Member: id(name), Age: age, Known: true}
	}
	stopped := func(name string, age time.Duration) consensus.Contact {
		return consensus.Contact{Member: id(name), Age: age, Known: true, Stopping: true}
	}
	cases := map[string]struct {
		members  consensus.Members
		silences []consensus.Contact
		age      time.Duration
		ok       bool
		failed   string
		suspects []string
		learner  bool
		group    testGroup
		promoted bool
		reasons  int
	}{
		"no join":                  {members: members(), silences: []consensus.Contact{silent("b", time.Hour)}},
		"suspect too early":        {members: members(joined("x", id("b"))), silences: []consensus.Contact{silent("b", 3*time.Second)}, age: 1900 * time.Millisecond, reasons: 1},
		"suspect":                  {members: members(joined("x", id("b"))), silences: []consensus.Contact{silent("b", 4*time.Second)}, age: 2 * time.Second, ok: true, failed: "b"},
		"suspect heard":            {members: members(joined("x", id("b"), id("c"))), silences: []consensus.Contact{silent("b", 100*time.Millisecond), silent("c", 4*time.Second)}, age: 2 * time.Second, ok: true, suspects: []string{"c"}},
		"suspect heard before":     {members: members(joined("x", id("b"))), silences: []consensus.Contact{silent("b", 3*time.Second)}, age: 8 * time.Second, ok: true, suspects: []string{}},
		"suspect lost just before": {members: members(joined("x", id("b"))), silences: []consensus.Contact{silent("b", 1200*time.Millisecond)}, age: 100 * time.Millisecond},
		"suspect unknown":          {members: members(joined("x", id("b"))), silences: []consensus.Contact{{Member: id("b"), Age: 100 * time.Millisecond}}, age: time.Second},
		"two suspects, one join":   {members: members(joined("x", id("b"), id("c"))), silences: []consensus.Contact{silent("b", 9*time.Second), silent("c", 10*time.Second)}, age: 5 * time.Second},
		"two suspects, two joins": {
			members:  members(joined("x", id("b")), joined("y", id("b"), id("c"))),
			silences: []consensus.Contact{silent("b", 9*time.Second), silent("c", 10*time.Second)}, age: 5 * time.Second, ok: true, failed: "c",
		},
		"two suspects for long":                {members: members(joined("x", id("b"), id("c"))), silences: []consensus.Contact{silent("b", 15*time.Second), silent("c", 16*time.Second)}, age: 13 * time.Second, ok: true, failed: "c"},
		"silent after the join":                {members: members(joined("x")), silences: []consensus.Contact{silent("b", 14*time.Second)}, age: 15 * time.Second},
		"silent for long":                      {members: members(joined("x")), silences: []consensus.Contact{silent("b", 15*time.Second)}, age: 16 * time.Second, ok: true, failed: "b"},
		"stopped too early":                    {members: members(joined("x")), silences: []consensus.Contact{stopped("b", time.Second)}, age: 2 * time.Second},
		"stopped":                              {members: members(joined("x")), silences: []consensus.Contact{stopped("b", 1500*time.Millisecond)}, age: 2 * time.Second, ok: true, failed: "b"},
		"stopped beside suspects":              {members: members(joined("x", id("c"))), silences: []consensus.Contact{stopped("b", 2*time.Second), silent("c", 3*time.Second)}, age: time.Second},
		"expired":                              {members: members(joined("x")), silences: []consensus.Contact{silent("b", 100*time.Millisecond)}, age: 21 * time.Second, ok: true},
		"not expired while a member is silent": {members: members(joined("x")), silences: []consensus.Contact{silent("b", 5*time.Second)}, age: 21 * time.Second},
		"learner that has caught up": {
			members: members(joined("x", id("b"))), silences: []consensus.Contact{silent("b", 2*time.Second)}, age: 500 * time.Millisecond, learner: true,
			group: testGroup{caughtUp: []string{"x"}}, ok: true, promoted: true,
		},
		"learner that waits for the removal": {
			members: members(joined("x", id("b"))), silences: []consensus.Contact{silent("b", 3*time.Second)}, age: 1500 * time.Millisecond, learner: true,
			group: testGroup{caughtUp: []string{"x"}}, reasons: 1,
		},
		"learner that takes the place": {
			members: members(joined("x", id("b"))), silences: []consensus.Contact{silent("b", 4*time.Second)}, age: 2 * time.Second, learner: true,
			group: testGroup{caughtUp: []string{"x"}}, ok: true, failed: "b",
		},
		"learner that is behind": {
			members: members(joined("x", id("b"))), silences: []consensus.Contact{silent("b", 4*time.Second), silent("x", 0)}, age: 2 * time.Second, learner: true, reasons: 1,
		},
		"learner that does not respond": {
			members: members(joined("x", id("b"))), silences: []consensus.Contact{silent("b", 4*time.Second), silent("x", 2*time.Second)}, age: 2 * time.Second, learner: true,
			ok: true, failed: "b",
		},
		"learner of several suspects": {
			members: members(joined("x", id("b"), id("c"))), silences: []consensus.Contact{silent("b", 5*time.Second), silent("c", 5*time.Second)}, age: 3 * time.Second, learner: true,
			group: testGroup{caughtUp: []string{"x"}}, ok: true, promoted: true,
		},
		"swap among few voters": {
			members: consensus.Members{
				{ID: id("a"), Voter: true}, {ID: id("b"), Voter: true}, {ID: id("c"), Voter: true},
				{ID: id("x"), Replacement: &consensus.Replacement{Suspects: []consensus.ID{id("b")}}},
			},
			silences: []consensus.Contact{silent("b", 4*time.Second)}, age: 3 * time.Second, group: testGroup{caughtUp: []string{"x"}}, ok: true, failed: "b",
		},
		"no swap among few voters": {
			members: consensus.Members{
				{ID: id("a"), Voter: true}, {ID: id("b"), Voter: true}, {ID: id("c"), Voter: true},
				{ID: id("x"), Replacement: &consensus.Replacement{Suspects: []consensus.ID{id("b")}}},
			},
			silences: []consensus.Contact{silent("b", 4*time.Second)}, age: 3 * time.Second, group: testGroup{caughtUp: []string{"x"}, noSwap: true}, reasons: 1,
		},
		"too few voters": {
			members:  consensus.Members{{ID: id("a"), Voter: true}, {ID: id("b"), Voter: true}, {ID: id("x"), Voter: true, Replacement: &consensus.Replacement{Suspects: []consensus.ID{id("b")}}}},
			silences: []consensus.Contact{silent("b", time.Hour)}, age: time.Hour,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ages := map[consensus.ID]time.Duration{id("x"): c.age, id("y"): c.age}
			if m, ok := c.members.Find("x"); ok && c.learner {
				m.Voter = false
				c.members = c.members.With(m)
			}
			step, reasons, ok := nextReplacementStep(time.Time{}, c.group, c.members, c.silences, ages, times, 1)
			if ok != c.ok || step.failed.Name != c.failed || step.promoted != c.promoted {
				t.Fatalf("step %+v, %v", step, ok)
			}
			if c.reasons > 0 && len(reasons) != c.reasons {
				t.Errorf("reasons %q, want %d", reasons, c.reasons)
			}
			if c.suspects != nil && len(step.suspects()) != len(c.suspects) || len(c.suspects) == 1 && step.suspects()[0] != c.suspects[0] {
				t.Errorf("suspects %v, want %v", step.suspects(), c.suspects)
			}
		})
	}
}
