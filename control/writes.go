package control

import (
	"time"

	"arbutusreel/consensus"
)

const (
	// slowWrite is the duration from which a write of the journal is logged.
	slowWrite = 100 * time.Millisecond
	// electionLogPeriod is the time between two logs of elections without a result.
	electionLogPeriod = time.Second
)

// recordWrite records the duration of a write in the metrics, and logs a slow one.
func (q *quorum) recordWrite(r writeResult) {
	q.mu.Lock()
	q.lastWrite, q.longestWrite = r.took, max(q.longestWrite, r.took)
	q.mu.Unlock()
	if r.took < slowWrite {
		return
	}
	q.log.Warn().Dur("took", r.took).Bool("synced", r.write.durable()).Bool("compaction", r.write.snapshot != nil).
		Int("entries", len(r.write.entries)).Msg("slow write of the journal")
}

// writeTimes returns the durations of the last and of the longest write of the journal.
func (q *quorum) writeTimes() (last, longest time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lastWrite, q.longestWrite
}

// logElection logs the votes that this voter has and needs: at the start of its election, and now and then while it requests
// votes. Only the event loop may call it.
func (q *quorum) logElection(now time.Time, before, status consensus.Status) {
	started := status.Votes > 0 && status.Term != before.Term
	if status.Votes == 0 || !started && now.Sub(q.electionLoggedAt) < electionLogPeriod {
		return
	}
	q.electionLoggedAt = now
	q.log.Info().Int64("term", status.Term).Int("votes", status.Votes).Int("needed", status.VotesNeeded).Int("voters", len(status.Members.Voters())).
		Bool("writing", status.Writing).Dur("sinceLeader", now.Sub(status.LastLeaderContact)).Msg("votes requested")
}
