package consensus

import (
	"slices"
	"time"
)

// A lease is shorter than the election timeout by the drift margin, since the
// clocks of two voters may run at rates that differ by less than it.
const (
	driftMarginNumerator   = 1
	driftMarginDenominator = 10
)

// read waits until a majority has acknowledged a round.
type read struct {
	token int64
	index int64
	round int64
}

// quorumTime returns the latest time such that a majority of the voters has acknowledged a request sent at or after it.
func (n *Node) quorumTime(now time.Time) time.Time {
	var times []time.Time
	for _, id := range n.log.set().members.Voters() {
		if id == n.cfg.Self {
			times = append(times, now)
			continue
		}
		times = append(times, n.progress[id].ackedAt)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[majority(len(times))-1]
}

// Lease returns the term and the end of the leader's lease; ok is false if the
// node does not lead, if the lease has ended, or if no entry of the term is
// committed yet. Until the end no other voter can be elected, as a majority
// refuses to vote for one election timeout after each request of the leader.
func (n *Node) Lease(now time.Time) (term int64, end time.Time, ok bool) {
	if n.role != leader {
		return n.hard.Term, time.Time{}, false
	}
	timeout := n.cfg.ElectionTimeout
	end = n.quorumTime(now).Add(timeout - timeout*driftMarginNumerator/driftMarginDenominator)
	return n.hard.Term, end, now.Before(end) && n.commit >= n.termStart
}

// Read asks for an index that is current at some time after the call; the
// answer comes in Actions with the token, at once under the lease, or after a
// majority has acknowledged a later heartbeat.
func (n *Node) Read(now time.Time, token int64) error {
	if n.role != leader {
		return &NotLeaderError{Self: n.cfg.Self, Leader: n.leader}
	}
	if n.commit < n.termStart {
		return &NotReadyError{Term: n.hard.Term}
	}
	if _, _, ok := n.Lease(now); ok {
		n.out.Reads = append(n.out.Reads, ReadResult{Token: token, Index: n.commit, OK: true})
		return nil
	}
	n.reads = append(n.reads, read{token: token, index: n.commit, round: n.round + 1})
	n.heartbeat(now)
	return nil
}

// confirmReads answers the reads whose round a majority has acknowledged.
func (n *Node) confirmReads() {
	confirmed := n.quorumRound()
	n.reads = slices.DeleteFunc(n.reads, func(r read) bool {
		if r.round > confirmed {
			return false
		}
		n.out.Reads = append(n.out.Reads, ReadResult{Token: r.token, Index: r.index, OK: true})
		return true
	})
}

func (n *Node) quorumRound() int64 {
	var rounds []int64
	for _, id := range n.log.set().members.Voters() {
		if id == n.cfg.Self {
			rounds = append(rounds, n.round)
			continue
		}
		rounds = append(rounds, n.progress[id].ackedRound)
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-majority(len(rounds))]
}

// failReads answers the waiting reads of a leader that steps down.
func (n *Node) failReads() {
	for _, r := range n.reads {
		n.out.Reads = append(n.out.Reads, ReadResult{Token: r.token})
	}
	n.reads = nil
}
