package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"arbutusreel/membership"
)

// tableKey identifies a table of candidates; the table with an empty model holds all endpoints of the service.
type tableKey struct {
	service string
	model   string
}

// table holds the available candidates of a service and model.
type table struct {
	candidates []*Candidate
	// meanOthers is the mean number of others' requests at a candidate.
	meanOthers float64
	// meanReservation is the moving average of the reservations of this chooser's requests, in tokens.
	meanReservation float64
	// instances is the number of instances in the region.
	instances int
	// order is a permutation of the indexes of candidates, from which samples are drawn.
	order []int32
}

// Chooser chooses among the endpoints of one region by the policy P.
type Chooser[P Policy] struct {
	policy P
	origin time.Time
	rng    *rand.Rand
	byName map[string]*Candidate
	byID   map[uint32]*Candidate
	tables map[tableKey]*table
	index  index
	lastID uint32
	// observations counts the calls of Observe.
	observations uint64
	// instances is the number of instances in the region, or zero if it is not known.
	instances int
}

// New returns a chooser without candidates. All times passed to it later must not lie before origin.
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

// Observe replaces the set of known endpoints. An endpoint that was not known before begins a slow start, except on the
// first call.
func (c *Chooser[P]) Observe(now time.Time, endpoints []membership.Endpoint) {
	at := now.Sub(c.origin)
	c.observations++
	changed := false
	for _, e := range endpoints {
		changed = c.observeEndpoint(at, e) || changed
	}
	for name, candidate := range c.byName {
		if candidate.lastObservation != c.observations {
			delete(c.byName, name)
			delete(c.byID, candidate.id)
			changed = true
		}
	}
	if changed {
		c.rebuildTables()
	}
	for k, t := range c.tables {
		t.updateMeanOthers()
		t.instances = c.instances
		if k.model == "" {
			t.extrapolateOthers()
		}
	}
}

// SetInstances sets the number of instances in the region that share its endpoints.
func (c *Chooser[P]) SetInstances(n int) { c.instances = n }

// observeEndpoint updates one candidate and reports whether the tables must be rebuilt.
func (c *Chooser[P]) observeEndpoint(at time.Duration, e membership.Endpoint) bool {
	old := c.byName[e.Name]
	if old != nil && old.endpoint.Incarnation == e.Incarnation {
		old.lastObservation = c.observations
		if old.endpoint.Sequence == e.Sequence {
			return false
		}
		changed := old.endpoint.Leaving != e.Leaving || old.endpoint.Service != e.Service ||
			!slices.Equal(old.endpoint.Models, e.Models)
		old.observe(at, c.reportTime(at, e), e, &c.index)
		return changed
	}
	c.lastID++
	candidate := &Candidate{
		id: c.lastID, lastObservation: c.observations, nextEvent: e.CacheSequence,
		load: load{reportedAt: at - maxReportAge},
	}
	if c.observations > 1 {
		candidate.slowStart = NewSlowStart()
	}
	if old != nil {
		candidate.tripped = old.tripped
		delete(c.byID, old.id)
	}
	candidate.observe(at, c.reportTime(at, e), e, &c.index)
	c.byName[e.Name] = candidate
	c.byID[candidate.id] = candidate
	return true
}

// reportTime returns the time at which the endpoint measured its load, at most maxReportAge ago and not in the future.
func (c *Chooser[P]) reportTime(at time.Duration, e membership.Endpoint) time.Duration {
	return min(max(e.Load.At.Sub(c.origin), at-maxReportAge), at)
}

// SetTripped stops new requests to the endpoint while its circuit breaker is open, and admits them again with a slow
// start.
func (c *Chooser[P]) SetTripped(name string, tripped bool) {
	candidate := c.byName[name]
	if candidate == nil || candidate.tripped == tripped {
		return
	}
	candidate.tripped = tripped
	if !tripped {
		candidate.slowStart = NewSlowStart()
	}
	c.rebuildTables()
}

// SetProbing admits one request at a time to an endpoint whose circuit breaker is half open.
func (c *Chooser[P]) SetProbing(name string) {
	candidate := c.byName[name]
	if candidate == nil || !candidate.tripped {
		return
	}
	c.SetTripped(name, false)
	candidate.slowStart = newProbe()
}

// Capacity is the total capacity and load of the available candidates of a service and model.
type Capacity struct {
	Endpoints int
	Slots     float64
	// Outstanding is the expected number of requests at the candidates.
	Outstanding float64
	// TokensPerSecond is the rate at which all slots together generate.
	TokensPerSecond float64
	// PrefillTokensPerSecond is the mean prefill rate of a candidate.
	PrefillTokensPerSecond float64
}

// Capacity returns the capacity and load of the available candidates of a service and model; it is zero if there are
// none.
func (c *Chooser[P]) Capacity(now time.Time, service, model string) Capacity {
	t := c.tables[tableKey{service: service, model: model}]
	if t == nil {
		return Capacity{}
	}
	var sum Capacity
	for _, candidate := range t.candidates {
		sum.Endpoints++
		sum.Slots += candidate.slots()
		sum.Outstanding += candidate.load.outstanding(now.Sub(c.origin), candidate.ownRequests, t.meanOthers)
		sum.TokensPerSecond += candidate.endpoint.Load.TokensPerSecond
		sum.PrefillTokensPerSecond += candidate.endpoint.Load.PrefillTokensPerSecond
	}
	sum.PrefillTokensPerSecond /= float64(max(sum.Endpoints, 1))
	return sum
}

// rebuildTables builds the tables from the candidates, in the order of their names.
func (c *Chooser[P]) rebuildTables() {
	for _, t := range c.tables {
		t.candidates = t.candidates[:0]
		t.order = t.order[:0]
	}
	names := make([]string, 0, len(c.byName))
	for name := range c.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		candidate := c.byName[name]
		if !candidate.available() {
			continue
		}
		c.addToTable(candidate, "")
		for _, model := range candidate.endpoint.Models {
			if candidate.servesModel(model) {
				c.addToTable(candidate, model)
			}
		}
	}
	for k, t := range c.tables {
		if len(t.candidates) == 0 {
			delete(c.tables, k)
		}
	}
}

func (c *Chooser[P]) addToTable(candidate *Candidate, model string) {
	k := tableKey{service: candidate.endpoint.Service, model: model}
	t := c.tables[k]
	if t == nil {
		t = &table{}
		c.tables[k] = t
	}
	t.candidates = append(t.candidates, candidate)
	t.order = append(t.order, int32(len(t.order)))
}

// updateMeanOthers recalculates the mean number of others' requests at a candidate.
func (t *table) updateMeanOthers() {
	var sum float64
	for _, candidate := range t.candidates {
		sum += candidate.load.others(candidate.ownRequests)
	}
	t.meanOthers = sum / float64(max(len(t.candidates), 1))
}

// extrapolateOthers assumes that others' requests have changed since the reports in the same ratio as this instance's,
// as callers spread over the instances. Without this, each instance would fill the same free slots after a burst,
// until the next reports.
func (t *table) extrapolateOthers() {
	own, since, others := 0, 0, 0.0
	for _, candidate := range t.candidates {
		own += candidate.ownRequests
		since += candidate.load.requestsSinceReport
		others += candidate.load.others(candidate.ownRequests)
	}
	ratio := min(others/float64(max(own-since, 1)), float64(max(t.instances-1, 0)))
	for _, candidate := range t.candidates {
		candidate.load.othersChange = ratio * float64(since) / float64(len(t.candidates))
	}
}

// Choose returns the best of a sample of the available candidates; ok is false if there is none. If the sample has no
// candidate with capacity, all candidates with capacity are scored. If there are none either, the best scored candidate
// is returned with HasCapacity false.
func (c *Chooser[P]) Choose(now time.Time, q *Query) (d Decision, ok bool) {
	t := c.tables[tableKey{service: q.Service, model: q.Model}]
	if t == nil {
		return Decision{}, false
	}
	at := now.Sub(c.origin)
	d.Available = len(t.candidates)
	d.Informed = c.policy.Informed()
	if d.Informed {
		c.scoreCacheHolders(at, t, q, &d)
	}
	c.scoreSample(at, t, q, &d)
	if !d.HasCapacity {
		c.scoreRemaining(at, t, q, &d)
	}
	return d, d.Candidate != nil
}

// scoreSample scores candidates drawn at random without replacement.
func (c *Chooser[P]) scoreSample(at time.Duration, t *table, q *Query, d *Decision) {
	n := len(t.candidates)
	for i := range c.policy.Samples(n) {
		j := i + c.rng.IntN(n-i)
		t.order[i], t.order[j] = t.order[j], t.order[i]
		candidate := t.candidates[t.order[i]]
		if candidate == d.Candidate || candidate == d.RunnerUp {
			continue
		}
		c.scoreCandidate(at, t, candidate, 0, q, d)
	}
}

// scoreRemaining scores every candidate that has capacity, and while none has been chosen, any candidate.
func (c *Chooser[P]) scoreRemaining(at time.Duration, t *table, q *Query, d *Decision) {
	for _, candidate := range t.candidates {
		if candidate == d.Candidate || candidate == d.RunnerUp {
			continue
		}
		if d.Candidate == nil || candidate.hasCapacity(at, t, q.PromptTokens, q.ReserveTokens) {
			c.scoreCandidate(at, t, candidate, 0, q, d)
		}
	}
}

func (c *Chooser[P]) scoreCandidate(
	at time.Duration, t *table, candidate *Candidate, cached float64, q *Query, d *Decision,
) {
	if q.excludes(candidate) {
		return
	}
	hasCapacity := !q.mustYield(candidate) &&
		(!d.Informed || candidate.hasCapacity(at, t, q.PromptTokens-int(cached), q.ReserveTokens))
	d.consider(candidate, c.policy.Score(at, candidate, t.meanOthers, cached, q), hasCapacity)
}

// scoreCacheHolders scores the candidates that probably hold the longest cached prefixes.
func (c *Chooser[P]) scoreCacheHolders(at time.Duration, t *table, q *Query, d *Decision) {
	if len(q.Prefixes) == 0 {
		return
	}
	longest := c.index.longestPrefix(q.Prefixes)
	var scored [maxScoredHolders]*Candidate
	n := 0
	for blocks := longest; blocks > max(longest-scoredPrefixLengths, 0) && n < maxScoredHolders; blocks-- {
		s, _ := c.index.get(q.Prefixes[blocks-1])
		for i := range int(s.n) {
			candidate := c.byID[s.list[i].id]
			if candidate == nil || n >= maxScoredHolders || slices.Contains(scored[:n], candidate) || !candidate.serves(q) {
				continue
			}
			scored[n] = candidate
			n++
			cached := float64(blocks*BlockTokens) * s.list[i].probability(at, candidate.lostEvents)
			c.scoreCandidate(at, t, candidate, min(cached, float64(q.PromptTokens)), q, d)
		}
	}
}

// serves reports whether the candidate is available and serves the query's model.
func (c *Candidate) serves(q *Query) bool {
	return c.available() && c.endpoint.Service == q.Service && (q.Model == "" || c.servesModel(q.Model))
}
