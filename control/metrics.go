package control

import "expvar"

// quorumVar is the expvar name of the quorum's metrics.
const quorumVar = "quorum"

// metrics is the expvar representation of a voter's metrics.
type metrics struct {
	Term            int64 `json:"term"`
	Leads           bool  `json:"leads"`
	CommitIndex     int64 `json:"commitIndex"`
	Revision        int64 `json:"revision"`
	Voters          int   `json:"voters"`
	Members         int   `json:"members"`
	LeaderAgeMillis int64 `json:"leaderAgeMillis"`
	WaitingInputs   int   `json:"waitingInputs"`
	VotesNeeded     int   `json:"votesNeeded"`
	LastWriteMillis int64 `json:"lastWriteMillis"`
	MaxWriteMillis  int64 `json:"maxWriteMillis"`
}

// publishMetrics publishes the voter's metrics. In a process with several voters, only the first one's are published.
func (c *Control) publishMetrics() {
	if expvar.Get(quorumVar) != nil {
		return
	}
	expvar.Publish(quorumVar, expvar.Func(func() any {
		s := c.store.Status()
		last, longest := c.quorum.writeTimes()
		return metrics{
			Term:            s.Term,
			Leads:           s.IsLeader,
			CommitIndex:     s.Commit,
			Revision:        c.store.Current().Revision,
			Voters:          len(s.Members.Voters()),
			Members:         len(s.Members),
			LeaderAgeMillis: c.hub.LeaderAge().Milliseconds(),
			WaitingInputs:   c.quorum.inputs.Len(),
			VotesNeeded:     s.VotesNeeded,
			LastWriteMillis: last.Milliseconds(),
			MaxWriteMillis:  longest.Milliseconds(),
		}
	}))
}
