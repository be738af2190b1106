package control

import "expvar"

// quorumVar is the name of the quorum's metrics.
const quorumVar = "quorum"

// metrics are the counts of a voter as expvar shows them.
type metrics struct {
	Term            int64 `json:"term"`
	Leads           bool  `json:"leads"`
	CommitIndex     int64 `json:"commitIndex"`
	Revision        int64 `json:"revision"`
	Voters          int   `json:"voters"`
	Members         int   `json:"members"`
	LeaderAgeMillis int64 `json:"leaderAgeMillis"`
	WaitingInputs   int   `json:"waitingInputs"`
}

// publishMetrics makes the voter's metrics visible; in a process with several voters only those of the first.
func (c *Control) publishMetrics() {
	if expvar.Get(quorumVar) != nil {
		return
	}
	expvar.Publish(quorumVar, expvar.Func(func() any {
		s := c.store.Status()
		return metrics{
			Term:            s.Term,
			Leads:           s.Leads,
			CommitIndex:     s.Commit,
			Revision:        c.store.Current().Revision,
			Voters:          len(s.Members.Voters()),
			Members:         len(s.Members),
			LeaderAgeMillis: c.hub.LeaderAge().Milliseconds(),
			WaitingInputs:   c.quorum.inputs.Len(),
		}
	}))
}
