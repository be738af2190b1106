package control

import (
	"context"
	"time"

	"arbutusreel/clock"
	"arbutusreel/fleet"
	"arbutusreel/wiregen"
)

const (
	// departureTimeout bounds the wait for the quorum's decision on a departure. Endpoints wait a second for the answer, which may
	// take 80 ms to another region and back each way. Within this time the departure reaches all daemons and gateways that are
	// connected, so that it is answered even without a decision.
	departureTimeout = 700 * time.Millisecond
	// departureRetryPeriod is the interval between attempts while there is no leader.
	departureRetryPeriod = 50 * time.Millisecond
	// undecidedTime is how long a departure that was acknowledged without a decision is submitted further, and
	// maxUndecidedDepartures bounds their number. Control daemons keep the record of an endpoint that has gone for as long.
	undecidedTime          = time.Minute
	maxUndecidedDepartures = 256
)

// RemoveEndpoint marks an endpoint as gone after it announced its departure, and returns when the quorum has accepted the
// departure, or after departureTimeout: an endpoint announces it once, and the daemon that acknowledged it may end right after.
// A born of zero means the incarnation that is known, here or elsewhere.
func (c *Control) RemoveEndpoint(ctx context.Context, id string, born int64) {
	began := c.now()
	c.fleet.mu.Lock()
	applied := c.fleet.endpoints.Leave(began, id, born)
	if applied {
		c.fleet.localEndpoints[id] = true
	}
	known, _ := c.fleet.endpoints.Get(id)
	c.fleet.mu.Unlock()
	d := fleet.LoggedDeparture{Departure: fleet.Departure{ID: id, Born: born}, At: began.UnixMilli()}
	if born == 0 {
		d.Born = known.Born
	}
	decided := c.decideDeparture(ctx, d, departureTimeout)
	if !decided {
		c.undecided.Offer(d)
	}
	c.log.Info().Str("endpoint", id).Int64("born", d.Born).Bool("known", applied && known.Described()).Bool("decided", decided).
		Dur("took", c.now().Sub(began)).Msg("endpoint left")
}

// decideLater submits the departures that were acknowledged without a decision until ctx ends.
func (c *Control) decideLater(ctx context.Context) {
	for {
		d, err := c.undecided.Take(ctx)
		if err != nil {
			return
		}
		decided := false
		for began := c.now(); !decided && ctx.Err() == nil && c.now().Sub(began) < undecidedTime; {
			decided = c.decideDeparture(ctx, d, time.Second)
		}
		c.log.Info().Str("endpoint", d.ID).Int64("born", d.Born).Bool("decided", decided).Msg("departure submitted later")
	}
}

// decideDeparture submits a departure to the leader until it is accepted, and reports whether it was in time.
func (c *Control) decideDeparture(ctx context.Context, d fleet.LoggedDeparture, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for ctx.Err() == nil {
		if c.decideOrder(ctx, &wiregen.FleetOrder{Departure: encodeDeparture(d)}) == nil {
			return true
		}
		clock.Sleep(ctx, departureRetryPeriod)
	}
	return false
}

// removeDeparted marks endpoints as gone whose departure the quorum has accepted. The clocks of control daemons differ, so that
// the time of a departure may lie in the future.
func (c *Control) removeDeparted(departed []fleet.LoggedDeparture) {
	now := c.now()
	for _, d := range departed {
		at := time.UnixMilli(d.At)
		if at.After(now) {
			at = now
		}
		c.fleet.mu.Lock()
		applied := c.fleet.endpoints.Leave(at, d.ID, d.Born)
		c.fleet.mu.Unlock()
		if applied {
			c.log.Info().Str("endpoint", d.ID).Int64("born", d.Born).Dur("age", now.Sub(at)).Msg("departure applied")
		}
	}
}
