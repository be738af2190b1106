package control

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/fencing"
	"arbutusreel/inventory"
	"arbutusreel/placement"
	"arbutusreel/wiregen"
)

// marginPart is the part of the election timeout that must be left of the lease when an order is sent.
const marginPart = 5

// placer decides placement and orders engines while this voter holds the leader lease.
type placer struct {
	log       zerolog.Logger
	now       func() time.Time
	lead      Leadership
	inventory func() (*inventory.Inventory, int64)
	// regions returns what the entries know; those that gave no answer are left out.
	regions func(context.Context) []*wiregen.RegionReply
	sender  *orderSender
	planner *placement.Planner
	config  placement.Config
	demand  *demandLog
	term    int64
	// size is the most models that each endpoint was seen to hold or load.
	size map[string]int
	// mu guards the issuer, which is also asked while an order is being sent.
	mu     sync.Mutex
	issuer *fencing.Issuer
}

// newPlacer returns a placer that acts when its tick is called.
func newPlacer(cfg Config, lead Leadership, inv func() (*inventory.Inventory, int64), regions func(context.Context) []*wiregen.RegionReply, log zerolog.Logger, now func() time.Time) *placer {
	fence := fencing.Config{LeaseTime: cfg.ElectionTimeout, Deadline: orderDeadline, Margin: cfg.ElectionTimeout / marginPart}
	config := placement.DefaultConfig(cfg.PlacementPeriod)
	return &placer{
		log:       log,
		now:       now,
		lead:      lead,
		inventory: inv,
		regions:   regions,
		sender:    newOrderSender(),
		planner:   placement.New(config),
		config:    config,
		demand:    newDemandLog(),
		size:      map[string]int{},
		issuer:    fencing.NewIssuer(fence),
	}
}

// run acts at the period until ctx ends.
func (p *placer) run(ctx context.Context, period time.Duration) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.tick(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// lease returns the leader lease at this moment.
func (p *placer) lease(now time.Time) fencing.Lease {
	term, end, held := p.lead.Lease(now)
	return fencing.Lease{Term: term, End: end, Held: held}
}

// tick decides once and sends the orders; without the lease it does nothing.
func (p *placer) tick(ctx context.Context) {
	now := p.now()
	lease := p.lease(now)
	if !lease.Held {
		return
	}
	if lease.Term != p.term {
		p.term = lease.Term
		p.planner = placement.New(p.config)
		p.demand = newDemandLog()
	}
	p.mu.Lock()
	p.issuer.Lead(now, lease)
	p.mu.Unlock()
	inv, revision := p.inventory()
	if inv == nil {
		return
	}
	replies := p.regions(ctx)
	now = p.now()
	endpoints := endpointsOf(now, replies)
	p.demand.observe(now, replies)
	view := placement.View{Inventory: inv, Endpoints: p.known(endpoints), Demands: p.demand.forecast(now)}
	changes := p.planner.Decide(now, view)
	for _, e := range p.planner.Learned() {
		p.explainLearned(e)
	}
	for _, c := range changes {
		service, _ := inv.Service(c.Service)
		p.order(ctx, c, endpoints[c.Endpoint].Address, service.ChecksFencing, revision)
	}
}

// order sends one change to its engine.
func (p *placer) order(ctx context.Context, c placement.Change, address string, checks bool, revision int64) {
	n, err := p.issue(checks)
	p.explain(c, n, checks, revision, err)
	if err == nil {
		m := &wiregen.EngineOrder{
			Endpoint:       c.Endpoint,
			Models:         c.Models,
			Term:           n.Term,
			Sequence:       n.Sequence,
			DeadlineMillis: orderDeadline.Milliseconds(),
		}
		err = p.sender.send(ctx, address, m, func() error { return p.check(n, checks) })
	}
	if err == nil {
		return
	}
	p.planner.Failed(p.now(), c.Endpoint)
	p.log.Warn().Str("placement", c.Endpoint).Int64("term", n.Term).Int64("sequence", n.Sequence).Err(err).Msg("orderFailed")
}

func (p *placer) issue(checks bool) (fencing.Number, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	return p.issuer.Issue(now, p.lease(now), checks)
}

// check reads the clock and the lease again; it is called directly before an order is sent.
func (p *placer) check(n fencing.Number, checks bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	return p.issuer.Check(now, p.lease(now), n, checks)
}

// explain logs the decision with its reasons.
func (p *placer) explain(c placement.Change, n fencing.Number, checks bool, revision int64, err error) {
	event := p.log.Info()
	if err != nil {
		event = event.Str("heldBack", err.Error())
	}
	event.
		Str("placement", c.Endpoint).
		Str("endpointRegion", c.Region).
		Str("service", c.Service).
		Str("load", c.Load).
		Strs("unload", c.Unload).
		Strs("models", c.Models).
		Str("reason", string(c.Reason)).
		Float64("need", c.Need).
		Float64("supply", c.Supply).
		Float64("gain", c.Gain).
		Int("copies", c.Copies).
		Dur("loadTime", c.LoadTime).
		Int64("revision", revision).
		Int64("term", n.Term).
		Int64("sequence", n.Sequence).
		Bool("checksFencing", checks).
		Msg("placed")
}

// explainLearned logs that the load of an earlier leader is waited for.
func (p *placer) explainLearned(e placement.Endpoint) {
	p.log.Info().
		Str("placement", e.Name).
		Str("endpointRegion", e.Region).
		Str("service", e.Service).
		Strs("models", e.Models).
		Strs("loading", e.Loading).
		Int64("term", e.Order.Term).
		Int64("sequence", e.Order.Sequence).
		Msg("loadLearned")
}
