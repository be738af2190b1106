package gateway

import (
	"testing"
	"time"

	"arbutusreel/fleet"
	"arbutusreel/wiregen"
)

// TestSilentPeersMemory guards against a gateway that is cut off from others and fills the memory that their requests
// hold, and against memory that stays counted for gateways that have ended.
func TestSilentPeersMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPeerLoads()
	report := &wiregen.OutstandingReport{
		Gateway: "b", Born: 1, Sequence: 1, Whole: true, Outstanding: []*wiregen.EndpointOutstanding{{Endpoint: "e", Requests: 3, HeldTokens: 40_000}},
	}
	p.update(now, report)
	listed := []fleet.Gateway{{Name: "b"}}
	for _, c := range []struct {
		name     string
		after    time.Duration
		listed   []fleet.Gateway
		requests int
		held     int64
	}{
		{"fresh", time.Second, listed, 3, 40_000},
		{"silent", peerLoadTTL + time.Second, listed, 0, 40_000},
		{"silent for long", silentPeerTTL + time.Second, listed, 0, 0},
	} {
		p.expire(now.Add(c.after), c.listed)
		if got := p.sum("e").outstanding; got.Requests != c.requests || got.HeldTokens != c.held {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	p.update(now, report)
	p.expire(now.Add(time.Second), nil)
	if got := p.sum("e").outstanding; got.HeldTokens != 0 {
		t.Errorf("no longer listed: %+v", got)
	}
}
