package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"arbutusreel/wiregen"
)

// slowDisks returns the time of a write, by the kind of the disk's fault.
var slowDisks = map[string]func(rnd *rand.Rand) time.Duration{
	"200 ms": func(*rand.Rand) time.Duration { return 200 * time.Millisecond },
	"400 ms": func(*rand.Rand) time.Duration { return 400 * time.Millisecond },
	"800 ms": func(*rand.Rand) time.Duration { return 800 * time.Millisecond },
	"uneven": func(rnd *rand.Rand) time.Duration { return time.Duration(rnd.Int64N(int64(800 * time.Millisecond))) },
	"busy": func(rnd *rand.Rand) time.Duration {
		return time.Duration((0.05 + 0.2*rnd.ExpFloat64()) * float64(time.Second))
	},
	"stalls": func(rnd *rand.Rand) time.Duration {
		if rnd.IntN(10) == 0 {
			return 2 * time.Second
		}
		return 5 * time.Millisecond
	},
}

// slowDisk has the writes of a daemon take the given times.
func (d *simDaemon) slowDisk(f func(rnd *rand.Rand) time.Duration) {
	d.syncTime = func() time.Duration { return f(d.sim.rnd) }
}

// orderDocument submits a new document and reports whether it is acknowledged in time.
func (s *simulation) orderDocument(limit time.Duration) bool {
	s.version++
	return s.acknowledged(&simOrder{command: &wiregen.FleetOrder{Document: &wiregen.RouteDocument{Version: s.version, Content: fmt.Append(nil, s.version)}}}, limit)
}

// acknowledged submits an order to one running daemon after the other and reports whether it is acknowledged in time.
func (s *simulation) acknowledged(o *simOrder, limit time.Duration) bool {
	for end := s.now + limit; s.now < end && !o.acked; {
		running := s.running()
		a := &simAttempt{order: o, until: s.now + simOrderTimeout}
		d := running[s.rnd.IntN(len(running))]
		d.receive(func() { d.decide(a, true) })
		s.waitFor(simOrderTimeout, func() bool { return o.acked })
	}
	return o.acked
}

// isMember reports whether the leader counts a daemon among the members.
func (s *simulation) isMember(d *simDaemon) bool {
	l := s.leader()
	if l == nil {
		return false
	}
	_, ok := l.quorum.Status().Members.Find(d.name)
	return ok
}

// TestLeadersReplacedBesideSlowDisks guards against a quorum that loses its majority for ever because writes are slow: elections
// that fail while a voter persists its vote, and failed voters that are not removed before the next loss. The next machine is lost
// when the loss before no longer counts. Writes of 800 ms, or hangs of 2 s, at a majority of the voters are longer losses of more
// machines than are tolerated; the next one is lost there once the one before has been replaced, which must come about in time.
func TestLeadersReplacedBesideSlowDisks(t *testing.T) {
	for kind, syncTime := range slowDisks {
		for _, slow := range []int{1, 3, 5} {
			waits := slow > 1 && (kind == "800 ms" || kind == "stalls") || slow == 5 && kind == "uneven"
			for _, delay := range []time.Duration{100 * time.Millisecond, time.Second} {
				t.Run(fmt.Sprint(kind, " at ", slow, " of 5, successors after ", delay), func(t *testing.T) {
					for seed := range uint64(6) {
						replaceBesideSlowDisks(t, seed, slow, syncTime, delay, waits)
					}
				})
			}
		}
	}
}

func replaceBesideSlowDisks(t *testing.T, seed uint64, slow int, syncTime func(rnd *rand.Rand) time.Duration, delay time.Duration, waits bool) {
	t.Helper()
	s := newSettledSimulation(t, seed)
	if !s.orderDocument(simOrderTimeout) {
		t.Fatalf("seed %d: no order is acknowledged", seed)
	}
	for _, d := range s.daemons[:slow] {
		d.slowDisk(syncTime)
	}
	for i := range 10 {
		if !s.waitFor(simRecovery, func() bool { return s.leader() != nil }) {
			t.Fatalf("seed %d, replacement %d: no leader: %s %s", seed, i, s.describe(), s.failure)
		}
		lost := s.leader()
		next := s.lose(lost, delay)
		next.syncTime = lost.syncTime
		s.run(s.now + delay + simCatchUp + 100*time.Millisecond)
		if waits && !s.waitFor(simRecovery, func() bool { return s.votes(next) && !s.isMember(lost) }) {
			t.Fatalf("seed %d: replacement %d is not finished: %s %s", seed, i, s.describe(), s.failure)
		}
	}
	if !s.orderDocument(simRecovery) {
		t.Fatalf("seed %d: no order is acknowledged: %s %s", seed, s.describe(), s.failure)
	}
	s.run(s.now + simRecovery)
	if s.check(); s.failure != "" {
		t.Fatalf("seed %d: %s", seed, s.failure)
	}
}

// TestFoundedBesideSlowDisks guards against a quorum that is not founded, or does not grow, because writes are slow.
func TestFoundedBesideSlowDisks(t *testing.T) {
	for kind, syncTime := range slowDisks {
		t.Run(kind, func(t *testing.T) {
			for seed := range uint64(20) {
				s := newSimulation(seed, 5, 1)
				for _, d := range s.daemons {
					d.slowDisk(syncTime)
				}
				s.grow(5)
				if s.failure != "" || !s.orderDocument(simRecovery) {
					t.Fatalf("seed %d: %s %s", seed, s.failure, s.describe())
				}
			}
		})
	}
}

// TestSlowVoterKept guards against the removal of a voter whose disk is slow or hangs, beside the loss of another one or the
// addition of a daemon, while a lost voter must be removed in time.
func TestSlowVoterKept(t *testing.T) {
	hangs := func(*rand.Rand) time.Duration { return 6 * time.Second }
	for name, syncTime := range map[string]func(*rand.Rand) time.Duration{"slow": slowDisks["800 ms"], "hangs": hangs} {
		for _, lose := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", beside a loss: ", lose), func(t *testing.T) {
				for seed := range uint64(10) {
					s := newSettledSimulation(t, seed)
					kept := s.follower(t, nil)
					kept.slowDisk(syncTime)
					s.orderDocument(simOrderTimeout)
					lost := kept
					if lose {
						lost = s.follower(t, kept)
						s.lose(lost, time.Second)
					} else {
						added := &simDaemon{sim: s, name: "added", disk: newPowerDisk(s.rnd), join: true}
						s.daemons = append(s.daemons, added)
						added.start()
					}
					for began := s.now; s.now < began+25*time.Second; {
						s.run(s.now + 50*time.Millisecond)
						if s.leader() != nil && !s.votes(kept) {
							t.Fatalf("seed %d: the slow voter was removed after %v: %s", seed, s.now-began, s.describe())
						}
						if lose && s.now >= began+time.Second+simCatchUp && s.leader() != nil && s.votes(lost) {
							t.Fatalf("seed %d: the lost voter is a member after %v: %s", seed, s.now-began, s.describe())
						}
					}
				}
			})
		}
	}
}

// TestOrdersBesideSlowDisks guards against orders that are not acknowledged in time, or leaders that change, because the disks of
// some voters are slow or hang: a document, a departure and an evacuation in turn.
func TestOrdersBesideSlowDisks(t *testing.T) {
	const acknowledgementLimit = 8 * time.Second
	for kind, syncTime := range slowDisks {
		for _, slow := range []int{1, 2, 5} {
			t.Run(fmt.Sprint(kind, " at ", slow), func(t *testing.T) {
				for seed := range uint64(5) {
					s := newSettledSimulation(t, seed)
					term := s.currentLeader(t).quorum.Status().Term
					for _, d := range s.daemons[:slow] {
						d.slowDisk(syncTime)
					}
					for i := range int64(12) {
						o := &simOrder{command: &wiregen.FleetOrder{Evacuation: &wiregen.EvacuationOrder{FailureDomain: "z", Withdrawn: i%2 == 1}}}
						s.evacuation = o
						departure := &simOrder{command: &wiregen.FleetOrder{Departure: &wiregen.LoggedDeparture{Endpoint: "e", Born: i + 1}}}
						s.departures = i + 1
						if !s.acknowledged(departure, acknowledgementLimit) || !s.acknowledged(o, acknowledgementLimit) || !s.orderDocument(acknowledgementLimit) {
							t.Fatalf("seed %d: no acknowledgement: %s %s", seed, s.describe(), s.failure)
						}
					}
					if l := s.currentLeader(t); l.quorum.Status().Term != term {
						t.Errorf("seed %d: the leader changed: term %d, was %d", seed, l.quorum.Status().Term, term)
					}
					if s.check(); s.failure != "" {
						t.Errorf("seed %d: %s", seed, s.failure)
					}
				}
			})
		}
	}
}

// TestUncommittedJoinRepeated guards against a daemon that is taken for one that returns, and so replaces nobody, because it
// learned of its admission from a leader that was lost before that was committed.
func TestUncommittedJoinRepeated(t *testing.T) {
	for seed := range uint64(20) {
		s := newSettledSimulation(t, seed)
		lost := s.follower(t, nil)
		next := s.lose(lost, 500*time.Millisecond)
		for _, d := range s.running() {
			if d != next {
				d.slowDisk(func(*rand.Rand) time.Duration { return 3 * time.Second })
			}
		}
		if !s.waitFor(simCatchUp, func() bool { return next.quorum != nil && len(next.quorum.Status().Members) > 0 }) {
			t.Fatalf("seed %d: the successor received no log: %s", seed, s.describe())
		}
		// The join is lost with the leader and with all writes in progress.
		for _, d := range s.running() {
			d.syncTime = nil
			if d != next {
				d.losePower(true)
				s.after(300*time.Millisecond, d.start)
			}
		}
		if !s.waitFor(simRecovery, func() bool { return s.votes(next) }) || !s.waitFor(simRecovery, func() bool { return s.leader() != nil && !s.isMember(lost) }) {
			t.Errorf("seed %d: the lost voter is still a member: %s", seed, s.describe())
		}
	}
}

// TestAcknowledgedChangeLostBesideSlowDisks plays the days of TestAcknowledgedChangeLostWithDisks with slow disks: a write that takes
// time has reached the disk or not when the power fails.
func TestAcknowledgedChangeLostBesideSlowDisks(t *testing.T) {
	var kinds []string
	for kind := range slowDisks {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, c := range []struct{ daemons, tolerated int }{{5, 1}, {9, 2}} {
		t.Run(fmt.Sprint(c.daemons, " daemons"), func(t *testing.T) {
			for i := range *diskLossDays {
				seed := *diskLossSeed + uint64(i)
				s := newSimulation(seed, c.daemons, c.tolerated)
				slow := s.rnd.IntN(c.daemons) + 1
				for _, d := range s.daemons[:slow] {
					d.slowDisk(slowDisks[kinds[s.rnd.IntN(len(kinds))]])
				}
				if s.playDay(); s.failure != "" {
					t.Errorf("seed %d: %s", seed, s.failure)
				}
			}
		})
	}
}
