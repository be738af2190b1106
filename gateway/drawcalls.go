package gateway

import (
	"context"
	"expvar"
	"sync"
	"time"

	"google.golang.org/grpc"

	"arbutusreel/keys"
	"arbutusreel/limits"
	"arbutusreel/metrics"
	"arbutusreel/wiregen"
)

const (
	// maxDrawCalls bounds the calls in progress to one owner. Further draws wait for the end of one, and are sent in one call.
	maxDrawCalls = 2
	// drawConnIdleTime is how long a connection to an owner is kept without calls.
	drawConnIdleTime = time.Minute
	// maxDrawBytes bounds the size of an answer.
	maxDrawBytes = 1 << 20
)

// drawResult is the answer to a draw, or why there is none.
type drawResult struct {
	drawn limits.Drawn
	err   error
}

// waitingDraw is a draw that has not been sent.
type waitingDraw struct {
	draw    limits.Draw
	timeout time.Duration
	done    func(drawResult)
}

// drawConn is the connection to one owner.
type drawConn struct {
	conn     *grpc.ClientConn
	waiting  []waitingDraw
	inFlight int
	usedAt   time.Time
}

// drawCalls combines the draws from each owner into calls. It is safe for concurrent use.
type drawCalls struct {
	ctx  context.Context
	keys *keys.Source

	mu    sync.Mutex
	conns map[string]*drawConn
}

func newDrawCalls(ctx context.Context, source *keys.Source) *drawCalls {
	return &drawCalls{ctx: ctx, keys: source, conns: map[string]*drawConn{}}
}

// start sends a draw to the gateway at a load address, and calls done once from another goroutine.
func (d *drawCalls) start(now time.Time, address string, timeout time.Duration, draw limits.Draw, done func(drawResult)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.conns[address]
	if c == nil {
		conn, err := d.keys.Dial(address, maxDrawBytes)
		if err != nil {
			go done(drawResult{err: err})
			return
		}
		c = &drawConn{conn: conn}
		d.conns[address] = c
	}
	c.usedAt = now
	c.waiting = append(c.waiting, waitingDraw{draw: draw, timeout: timeout, done: done})
	if c.inFlight < maxDrawCalls {
		d.send(c)
	}
}

// send sends the waiting draws in one call. d.mu is locked.
func (d *drawCalls) send(c *drawConn) {
	all := c.waiting
	c.waiting = nil
	c.inFlight++
	go func() {
		d.call(c, all)
		d.mu.Lock()
		defer d.mu.Unlock()
		c.inFlight--
		if len(c.waiting) > 0 {
			d.send(c)
		}
	}()
}

// call makes one call and passes on the answers.
func (d *drawCalls) call(c *drawConn, all []waitingDraw) {
	timeout := all[0].timeout
	m := &wiregen.DrawRequest{Gateway: all[0].draw.Gateway, Region: all[0].draw.Region}
	for _, w := range all {
		timeout = max(timeout, w.timeout)
		m.Draws = append(m.Draws, encodeDraw(w.draw))
	}
	ctx, cancel := context.WithTimeout(d.ctx, timeout)
	defer cancel()
	reply, err := wiregen.NewOutstandingClient(c.conn).Draw(ctx, m)
	for i, w := range all {
		switch {
		case err != nil:
			w.done(drawResult{err: err})
		case i >= len(reply.GetGrants()):
			w.done(drawResult{drawn: limits.Drawn{Team: w.draw.Team, NotOwner: true}})
		default:
			w.done(drawResult{drawn: decodeDrawn(reply.GetGrants()[i])})
		}
	}
}

// closeIdle closes the connections without recent calls.
func (d *drawCalls) closeIdle(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, c := range d.conns {
		if c.inFlight == 0 && now.Sub(c.usedAt) > drawConnIdleTime {
			_ = c.conn.Close()
			delete(d.conns, address)
		}
	}
}

func (d *drawCalls) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		_ = c.conn.Close()
	}
}

func encodeDraw(d limits.Draw) *wiregen.AllotmentDraw {
	return &wiregen.AllotmentDraw{Team: d.Team, Needed: d.Needed, Wanted: d.Wanted, DemandPerSecond: d.Demand}
}

func decodeDraws(m *wiregen.DrawRequest) []limits.Draw {
	all := make([]limits.Draw, 0, len(m.GetDraws()))
	for _, d := range m.GetDraws() {
		all = append(all, limits.Draw{
			Team: d.GetTeam(), Gateway: m.GetGateway(), Region: m.GetRegion(), Needed: d.GetNeeded(), Wanted: d.GetWanted(), Demand: d.GetDemandPerSecond(),
		})
	}
	return all
}

func encodeDrawn(all []limits.Drawn) *wiregen.DrawReply {
	m := &wiregen.DrawReply{}
	for _, d := range all {
		m.Grants = append(m.Grants, &wiregen.AllotmentGrant{Team: d.Team, Amount: d.Amount, WaitMillis: d.Wait.Milliseconds(), NotOwner: d.NotOwner})
	}
	return m
}

func decodeDrawn(m *wiregen.AllotmentGrant) limits.Drawn {
	return limits.Drawn{
		Team: m.GetTeam(), Amount: m.GetAmount(), Wait: time.Duration(m.GetWaitMillis()) * time.Millisecond, NotOwner: m.GetNotOwner(),
	}
}

// maxTeamMetrics bounds the teams that metrics name; the others are counted as otherTeams.
const (
	maxTeamMetrics = 64
	otherTeams     = "other"
)

// allotmentCounts are the metrics of allotments by team: units drawn, returned and lapsed, and requests refused.
type allotmentCounts struct {
	drawn, returned, lapsed, refused *expvar.Map
	ownerChanges                     *expvar.Int

	mu    sync.Mutex
	teams map[string]bool
}

func newAllotmentCounts(set *metrics.Set) *allotmentCounts {
	c := &allotmentCounts{
		drawn: new(expvar.Map), returned: new(expvar.Map), lapsed: new(expvar.Map), refused: new(expvar.Map), ownerChanges: new(expvar.Int),
		teams: map[string]bool{},
	}
	set.Publish("allotmentDrawn", c.drawn)
	set.Publish("allotmentReturned", c.returned)
	set.Publish("allotmentLapsed", c.lapsed)
	set.Publish("allotmentRefused", c.refused)
	set.Publish("allotmentOwnerChanges", c.ownerChanges)
	return c
}

// add adds an amount to a team's count.
func (c *allotmentCounts) add(m *expvar.Map, team string, amount float64) {
	if amount <= 0 {
		return
	}
	c.mu.Lock()
	if !c.teams[team] && len(c.teams) >= maxTeamMetrics {
		team = otherTeams
	} else {
		c.teams[team] = true
	}
	c.mu.Unlock()
	m.AddFloat(team, amount)
}
