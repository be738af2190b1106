package consensus

import (
	"cmp"
	"slices"
	"time"
)

// The drift margin is the fraction of the election timeout by which a lease is
// shorter than the timeout. The clock rates of two voters must differ by less
// than this fraction.
const (
	driftMarginNumerator   = 1
	driftMarginDenominator = 10
)

// pendingRead is a read that is answered once a majority has acknowledged its round.
type pendingRead struct {
	token int64
	index int64
	round int64
}

// quorumAckTime returns the latest time t such that a majority of the voters has acknowledged a request sent at t or
// later.
func (n *Node) quorumAckTime(now time.Time) time.Time {
	return agreed(n, time.Time.Compare, func(id ID) time.Time {
		if id == n.cfg.Self {
			return now
		}
		return n.replica(id).ackedAt
	})
}

// Lease returns the term and the end of the leader's lease; ok is false if the
// node is not the leader, if the lease has expired, or if no entry of the term
// is committed yet. No other voter can be elected before the end, because a
// majority withholds its votes for one election timeout after each request of
// the leader.
func (n *Node) Lease(now time.Time) (term int64, end time.Time, ok bool) {
	if n.role != leader {
		return n.hardState.Term, time.Time{}, false
	}
	timeout := n.cfg.ElectionTimeout
	end = n.quorumAckTime(now).Add(timeout - timeout*driftMarginNumerator/driftMarginDenominator)
	return n.hardState.Term, end, now.Before(end) && n.commit >= n.termStartIndex
}

// Read requests an index that is current at some time after the call. The
// result is returned in Actions under the token: at once while the lease is
// valid, or else after a majority has acknowledged a later heartbeat. A node
// that is not the leader returns *NotLeaderError; a leader that has not
// committed an entry of its term returns *NotReadyError.
func (n *Node) Read(now time.Time, token int64) error {
	if n.role != leader {
		return &NotLeaderError{Self: n.cfg.Self, Leader: n.leader}
	}
	if n.commit < n.termStartIndex {
		return &NotReadyError{Term: n.hardState.Term}
	}
	if _, _, ok := n.Lease(now); ok {
		n.out.Reads = append(n.out.Reads, ReadResult{Token: token, Index: n.commit, OK: true})
		return nil
	}
	n.pendingReads = append(n.pendingReads, pendingRead{token: token, index: n.commit, round: n.round + 1})
	n.heartbeat(now)
	return nil
}

// confirmReads answers the reads whose round a majority has acknowledged.
func (n *Node) confirmReads() {
	confirmed := n.quorumAckRound()
	n.pendingReads = slices.DeleteFunc(n.pendingReads, func(r pendingRead) bool {
		if r.round > confirmed {
			return false
		}
		n.out.Reads = append(n.out.Reads, ReadResult{Token: r.token, Index: r.index, OK: true})
		return true
	})
}

func (n *Node) quorumAckRound() int64 {
	return agreed(n, cmp.Compare, func(id ID) int64 {
		if id == n.cfg.Self {
			return n.round
		}
		return n.replica(id).ackedRound
	})
}

// failReads answers the pending reads of a leader that steps down with OK unset.
func (n *Node) failReads() {
	for _, r := range n.pendingReads {
		n.out.Reads = append(n.out.Reads, ReadResult{Token: r.token})
	}
	n.pendingReads = nil
}
