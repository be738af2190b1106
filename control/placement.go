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

// leaseMarginDivisor divides the election timeout into the part of the lease that must remain when an order is sent.
const leaseMarginDivisor = 5

// placer decides placement and sends orders to engines while this voter holds the leader lease.
type placer struct {
	log        zerolog.Logger
	now        func() time.Time
	leadership Leadership
	inventory  func() (*inventory.Inventory, int64)
	// regions queries the entries; entries without a reply are left out.
	regions func(context.Context) []*wiregen.RegionReply
	sender  *orderSender
	planner *placement.Planner
	config  placement.Config
	demand  *demandForecaster
	term    int64
	// observedCapacity is the largest number of models that each endpoint was observed to hold or load at once.
	observedCapacity map[string]int
	// mu guards issuer, which is also used while an order is being sent.
	mu     sync.Mutex
	issuer *fencing.Issuer
}

// newPlacer returns a placer that acts on each call of tick.
func newPlacer(cfg Config, leadership Leadership, inv func() (*inventory.Inventory, int64), regions func(context.Context) []*wiregen.RegionReply, log zerolog.Logger, now func() time.Time) *placer {
	fence := fencing.Config{LeaseTime: cfg.ElectionTimeout, Deadline: orderDeadline, Margin: cfg.ElectionTimeout / leaseMarginDivisor}
	config := placement.DefaultConfig(cfg.PlacementPeriod)
	return &placer{
		log:              log,
		now:              now,
		leadership:       leadership,
		inventory:        inv,
		regions:          regions,
		sender:           newOrderSender(),
		planner:          placement.New(config),
		config:           config,
		demand:           newDemandForecaster(),
		observedCapacity: map[string]int{},
		issuer:           fencing.NewIssuer(fence),
	}
}

// run calls tick every period until ctx ends.
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

// lease returns the leader lease at now.
func (p *placer) lease(now time.Time) fencing.Lease {
	term, end, held := p.leadership.Lease(now)
	return fencing.Lease{Term: term, End: end, Held: held}
}

// tick decides placement once and sends the orders; without the leader lease it does nothing.
func (p *placer) tick(ctx context.Context) {
	now := p.now()
	lease := p.lease(now)
	if !lease.Held {
		return
	}
	if lease.Term != p.term {
		p.term = lease.Term
		p.planner = placement.New(p.config)
		p.demand = newDemandForecaster()
	}
	p.mu.Lock()
	p.issuer.ObserveLease(now, lease)
	p.mu.Unlock()
	inv, revision := p.inventory()
	if inv == nil {
		return
	}
	replies := p.regions(ctx)
	now = p.now()
	endpoints := newestEndpoints(now, replies)
	p.demand.observe(now, replies)
	view := placement.View{Inventory: inv, Endpoints: p.placementEndpoints(endpoints), Demands: p.demand.forecast(now)}
	changes := p.planner.Decide(now, view)
	for _, e := range p.planner.AdoptedLoads() {
		p.logAdoptedLoad(e)
	}
	for _, c := range changes {
		service, _ := inv.Service(c.Service)
		p.sendOrder(ctx, c, endpoints[c.Endpoint].Address, service.ChecksFencing, revision)
	}
}

// sendOrder sends one change to its engine.
func (p *placer) sendOrder(ctx context.Context, c placement.Change, address string, checksFencing bool, revision int64) {
	n, err := p.issueNumber(checksFencing)
	p.logPlacement(c, n, checksFencing, revision, err)
	if err == nil {
		m := &wiregen.EngineOrder{
			Endpoint:       c.Endpoint,
			Models:         c.Models,
			Term:           n.Term,
			Sequence:       n.Sequence,
			DeadlineMillis: orderDeadline.Milliseconds(),
		}
		err = p.sender.send(ctx, address, m, func() error { return p.checkOrderNumber(n, checksFencing) })
	}
	if err == nil {
		return
	}
	p.planner.Failed(p.now(), c.Endpoint)
	p.log.Warn().Str("placement", c.Endpoint).Int64("term", n.Term).Int64("sequence", n.Sequence).Err(err).Msg("orderFailed")
}

func (p *placer) issueNumber(checksFencing bool) (fencing.Number, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	return p.issuer.Issue(now, p.lease(now), checksFencing)
}

// checkOrderNumber checks the order's number against the current time and lease; it is called directly before an order
// is sent.
func (p *placer) checkOrderNumber(n fencing.Number, checksFencing bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	return p.issuer.Check(now, p.lease(now), n, checksFencing)
}

// logPlacement logs a placement decision with its reasons.
func (p *placer) logPlacement(c placement.Change, n fencing.Number, checksFencing bool, revision int64, err error) {
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
		Bool("checksFencing", checksFencing).
		Msg("placed")
}

// logAdoptedLoad logs that a load ordered by an earlier leader is still in progress and awaited.
func (p *placer) logAdoptedLoad(e placement.Endpoint) {
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
