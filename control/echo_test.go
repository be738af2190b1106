package control

import (
	"testing"
	"time"

	"arbutusreel/fleet"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// TestEndedGatewayKeptByEchoes has a gateway report to two control daemons in turn, as one does that changes its session, and
// end: neither lists it longer than a lease and one transit.
func TestEndedGatewayKeptByEchoes(t *testing.T) {
	const transit = 100 * time.Millisecond
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	var daemons [2]*Control
	var senders [2]*peerSendState
	for i := range daemons {
		daemons[i] = &Control{now: clock, fleet: newFleetState(clock)}
		senders[i] = &peerSendState{control: daemons[i], sentCapacities: map[string]time.Time{}}
	}
	type message struct {
		due time.Time
		to  int
		u   *wiregen.FleetUpdate
	}
	var sent []message
	report := func(d *Control, sequence int64) {
		d.updateGateway(wire.EncodeGateway(fleet.Gateway{Name: "north-1", Region: "north", Ready: true, Born: 1, Sequence: sequence}))
	}
	report(daemons[0], 1)
	var end time.Time
	for step := range 400 {
		now = now.Add(fleetPeriod)
		if step < 100 && step%10 == 0 {
			report(daemons[1], int64(step+2))
			end = now
		}
		var waiting []message
		for _, m := range sent {
			if m.due.After(now) {
				waiting = append(waiting, m)
				continue
			}
			daemons[m.to].fleet.merge(now, m.u)
		}
		sent = waiting
		for i, d := range daemons {
			if step%10 == 5*i {
				d.fleet.gateways.Expire(now)
			}
			if u := senders[i].next(now); u != nil {
				sent = append(sent, message{due: now.Add(transit), to: 1 - i, u: u})
			}
			if len(d.fleet.gateways.Live()) > 0 && now.Sub(end) > gatewayLease+fleetHeartbeat+transit {
				t.Fatalf("daemon %d lists the gateway %v after its last report", i, now.Sub(end))
			}
		}
	}
}
