package control

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/consensus"
)

// TestBehindDaemonCurrent guards against gateways that follow a control daemon which is in contact with the leader and still lacks
// what was decided.
func TestBehindDaemonCurrent(t *testing.T) {
	now := time.Unix(100, 0)
	c := New(Config{Name: "a"}, zerolog.Nop(), func() time.Time { return now })
	c.quorum = &quorum{}
	for _, s := range []struct {
		name              string
		contact, caughtUp time.Duration
		without, want     bool
	}{
		{"in contact and caught up", 0, 0, false, true},
		{"in contact and behind", 0, leaderMaxAge, false, false},
		{"without contact", leaderMaxAge, leaderMaxAge, false, false},
		{"without a leader", 0, 0, true, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			status := consensus.Status{Leader: consensus.ID{Name: "b"}, LastLeaderContact: now.Add(-s.contact), CaughtUpAt: now.Add(-s.caughtUp)}
			if s.without {
				status.Leader = consensus.ID{}
			}
			c.quorum.status = status
			if got := c.Current(); got != s.want {
				t.Errorf("current is %v, want %v", got, s.want)
			}
		})
	}
}
