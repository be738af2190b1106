package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"arbutusreel/membership"
)

// tableKey names a table of candidates; an empty model holds all endpoints of the service.
type tableKey struct {
	service string
	model   string
}

// table holds the candidates of a service and model that may get work.
type table struct {
	open []*Candidate
	// mean is the mean number of others' requests at a candidate.
	mean float64
	// meanReserve is the mean reservation of own requests.
	meanReserve float64
	// instances is the number of instances of the region.
	instances int
	// order is a permutation of the indexes of open, from which samples are drawn.
	order []int32
}

// Chooser chooses endpoints of one region by the policy P.
type Chooser[P Policy] struct {
	policy  P
	origin  time.Time
	rng     *rand.Rand
	byName  map[string]*Candidate
	byID    map[uint32]*Candidate
	tables  map[tableKey]*table
	index   index
	lastID  uint32
	refresh uint64
	// instances is the number of instances of the region, or zero if it is not known.
	instances int
}

// New returns a chooser without candidates; all times that it is given lie after origin.
func New[P Policy](policy P, origin time.Time, source rand.Source) *Chooser[P] {
	return &Chooser[P]{
		policy: policy,
		origin: origin,
		rng:    rand.New(source),
		byName: map[string]*Candidate{},
		byID:   map[uint32]*Candidate{},
		tables: map[tableKey]*table{},
		index:  newIndex(),
	}
}

// Observe takes the endpoints that are known now. One that was not known before begins a slow start, but for those
// of the first call.
func (c *Chooser[P]) Observe(now time.Time, endpoints []membership.Endpoint) {
	at := now.Sub(c.origin)
	c.refresh++
	changed := false
	for _, e := range endpoints {
		changed = c.observeOne(at, e) || changed
	}
	for name, candidate := range c.byName {
		if candidate.seen != c.refresh {
			delete(c.byName, name)
			delete(c.byID, candidate.id)
			changed = true
		}
	}
	if changed {
		c.rebuild()
	}
	for k, t := range c.tables {
		t.average()
		t.instances = c.instances
		if k.model == "" {
			t.drift()
		}
	}
}

// SetInstances tells the number of instances in the region that share its endpoints.
func (c *Chooser[P]) SetInstances(n int) { c.instances = n }

// observeOne takes one endpoint and reports whether the tables must be built again.
func (c *Chooser[P]) observeOne(at time.Duration, e membership.Endpoint) bool {
	old := c.byName[e.Name]
	if old != nil && old.endpoint.Incarnation == e.Incarnation {
		old.seen = c.refresh
		if old.endpoint.Sequence == e.Sequence {
			return false
		}
		changed := old.endpoint.Leaving != e.Leaving || old.endpoint.Service != e.Service || !slices.Equal(old.endpoint.Models, e.Models)
		old.observe(at, c.reported(at, e), e, &c.index)
		return changed
	}
	c.lastID++
	candidate := &Candidate{id: c.lastID, seen: c.refresh, nextEvent: e.CacheSequence, load: load{reportedAt: at - maxReportAge}}
	if c.refresh > 1 {
		candidate.slow = NewSlowStart()
	}
	if old != nil {
		candidate.tripped = old.tripped
		delete(c.byID, old.id)
	}
	candidate.observe(at, c.reported(at, e), e, &c.index)
	c.byName[e.Name] = candidate
	c.byID[candidate.id] = candidate
	return true
}

// reported returns when an endpoint's report was true.
func (c *Chooser[P]) reported(at time.Duration, e membership.Endpoint) time.Duration {
	return min(max(e.Load.At.Sub(c.origin), at-maxReportAge), at)
}

// SetTripped closes the endpoint for work, or opens it again with a slow start.
func (c *Chooser[P]) SetTripped(name string, tripped bool) {
	candidate := c.byName[name]
	if candidate == nil || candidate.tripped == tripped {
		return
	}
	candidate.tripped = tripped
	if !tripped {
		candidate.slow = NewSlowStart()
	}
	c.rebuild()
}

// SetProbing opens a closed endpoint for one request at a time.
func (c *Chooser[P]) SetProbing(name string) {
	candidate := c.byName[name]
	if candidate == nil || !candidate.tripped {
		return
	}
	c.SetTripped(name, false)
	candidate.slow = newProbe()
}

// Capacity is what the open candidates of a service and model can do.
type Capacity struct {
	Endpoints int
	Slots     float64
	// Outstanding is the expected number of requests at the candidates.
	Outstanding float64
	// TokensPerSecond is the rate at which all slots together generate.
	TokensPerSecond float64
	// PrefillTokensPerSecond is the mean rate at which a candidate reads a prompt.
	PrefillTokensPerSecond float64
}

// Capacity returns what the open candidates can do.
func (c *Chooser[P]) Capacity(now time.Time, service, model string) Capacity {
	t := c.tables[tableKey{service: service, model: model}]
	if t == nil {
		return Capacity{}
	}
	var sum Capacity
	for _, candidate := range t.open {
		sum.Endpoints++
		sum.Slots += candidate.slots()
		sum.Outstanding += candidate.load.outstanding(now.Sub(c.origin), candidate.own, t.mean)
		sum.TokensPerSecond += candidate.endpoint.Load.TokensPerSecond
		sum.PrefillTokensPerSecond += candidate.endpoint.Load.PrefillTokensPerSecond
	}
	sum.PrefillTokensPerSecond /= float64(max(sum.Endpoints, 1))
	return sum
}

// rebuild builds the tables from the candidates, in the order of names.
func (c *Chooser[P]) rebuild() {
	for _, t := range c.tables {
		t.open = t.open[:0]
		t.order = t.order[:0]
	}
	names := make([]string, 0, len(c.byName))
	for name := range c.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		candidate := c.byName[name]
		if !candidate.open() {
			continue
		}
		c.enter(candidate, "")
		for _, model := range candidate.endpoint.Models {
			if candidate.holds(model) {
				c.enter(candidate, model)
			}
		}
	}
	for k, t := range c.tables {
		if len(t.open) == 0 {
			delete(c.tables, k)
		}
	}
}

func (c *Chooser[P]) enter(candidate *Candidate, model string) {
	k := tableKey{service: candidate.endpoint.Service, model: model}
	t := c.tables[k]
	if t == nil {
		t = &table{}
		c.tables[k] = t
	}
	t.open = append(t.open, candidate)
	t.order = append(t.order, int32(len(t.order)))
}

// average renews the mean number of others' requests at a candidate.
func (t *table) average() {
	var sum float64
	for _, candidate := range t.open {
		sum += candidate.load.others(candidate.own)
	}
	t.mean = sum / float64(max(len(t.open), 1))
}

// drift expects the requests of others to have changed since the reports in the same ratio as the own ones, as callers
// spread over the instances: each would otherwise fill the same slots until the next reports after a burst.
func (t *table) drift() {
	own, since, others := 0, 0, 0.0
	for _, candidate := range t.open {
		own += candidate.own
		since += candidate.load.sinceRequests
		others += candidate.load.others(candidate.own)
	}
	ratio := min(others/float64(max(own-since, 1)), float64(max(t.instances-1, 0)))
	for _, candidate := range t.open {
		candidate.load.drift = ratio * float64(since) / float64(len(t.open))
	}
}

// Choose returns the best of a sample of the open candidates; ok is false if there is none. The best of all is
// returned without room if no candidate has room.
func (c *Chooser[P]) Choose(now time.Time, q *Query) (d Decision, ok bool) {
	t := c.tables[tableKey{service: q.Service, model: q.Model}]
	if t == nil {
		return Decision{}, false
	}
	at := now.Sub(c.origin)
	d.Open = len(t.open)
	d.Informed = c.policy.Informed()
	if d.Informed {
		c.nominate(at, t, q, &d)
	}
	c.sample(at, t, q, &d)
	if !d.Room {
		c.scan(at, t, q, &d)
	}
	return d, d.Candidate != nil
}

// sample scores candidates drawn without replacement.
func (c *Chooser[P]) sample(at time.Duration, t *table, q *Query, d *Decision) {
	n := len(t.open)
	for i := range c.policy.Samples(n) {
		j := i + c.rng.IntN(n-i)
		t.order[i], t.order[j] = t.order[j], t.order[i]
		candidate := t.open[t.order[i]]
		if candidate == d.Candidate || candidate == d.RunnerUp {
			continue
		}
		c.score(at, t, candidate, 0, q, d)
	}
}

// scan scores every candidate with room if the sample had none, and any candidate if the sample was empty.
func (c *Chooser[P]) scan(at time.Duration, t *table, q *Query, d *Decision) {
	for _, candidate := range t.open {
		if candidate == d.Candidate || candidate == d.RunnerUp {
			continue
		}
		if d.Candidate == nil || candidate.room(at, t, q.PromptTokens, q.ReserveTokens) {
			c.score(at, t, candidate, 0, q, d)
		}
	}
}

func (c *Chooser[P]) score(at time.Duration, t *table, candidate *Candidate, cached float64, q *Query, d *Decision) {
	if q.excludes(candidate.endpoint.Name) {
		return
	}
	room := !q.yields(candidate) && (!d.Informed || candidate.room(at, t, q.PromptTokens-int(cached), q.ReserveTokens))
	d.offer(candidate, c.policy.Score(at, candidate, t.mean, cached, q), room)
}

// nominate scores the candidates that probably hold the longest cached prefixes.
func (c *Chooser[P]) nominate(at time.Duration, t *table, q *Query, d *Decision) {
	if len(q.Prefixes) == 0 {
		return
	}
	longest := c.index.longest(q.Prefixes)
	var nominated [maxNominees]*Candidate
	n := 0
	for blocks := longest; blocks > max(longest-prefixSteps, 0) && n < maxNominees; blocks-- {
		s, _ := c.index.get(q.Prefixes[blocks-1])
		for i := range int(s.n) {
			candidate := c.byID[s.list[i].id]
			if candidate == nil || n >= maxNominees || slices.Contains(nominated[:n], candidate) || !candidate.serves(q) {
				continue
			}
			nominated[n] = candidate
			n++
			cached := float64(blocks*BlockTokens) * s.list[i].certainty(at, candidate.lost)
			c.score(at, t, candidate, min(cached, float64(q.PromptTokens)), q, d)
		}
	}
}

// serves reports whether the candidate is open and serves the query's model.
func (c *Candidate) serves(q *Query) bool {
	return c.open() && c.endpoint.Service == q.Service && (q.Model == "" || c.holds(q.Model))
}
