package dispatch

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/admission"
	"arbutusreel/membership"
	"arbutusreel/retry"
	"arbutusreel/routing"
)

// scheduler holds the state that the decisions of an instance share; it is safe for concurrent use.
type scheduler struct {
	mu             sync.Mutex
	self           Hop
	view           View
	now            func() time.Time
	log            zerolog.Logger
	rng            *rand.Rand
	chooser        Chooser
	regions        *routing.Regions
	usage          *admission.UsageEstimator
	queues         *modelQueues
	breakers       *retry.Breakers[string]
	regionBreakers *retry.Breakers[string]
	retryBudget    *retry.Budget[budgetKey]
	resumeBudget   *retry.Resumes
	counts         Counts
	crashes        *crashes
	// optionalForwards is the number of requests that may be forwarded now although the region could serve them. Each
	// new request adds optionalForwardShare, up to maxOptionalForwards, and each such forward takes one.
	optionalForwards float64
	// instances is the number of instances in the region.
	instances   int
	refreshedAt time.Time
	startedAt   time.Time
}

func newScheduler(self Hop, view View, chooser Chooser, now func() time.Time, source rand.Source, log zerolog.Logger) *scheduler {
	rng := rand.New(source)
	return &scheduler{
		self:           self,
		view:           view,
		now:            now,
		log:            log,
		rng:            rng,
		chooser:        chooser,
		regions:        routing.NewRegions(now(), source),
		usage:          admission.NewUsageEstimator(),
		queues:         newModelQueues(),
		breakers:       retry.NewBreakers[string](source),
		regionBreakers: retry.NewBreakers[string](source),
		retryBudget:    retry.NewBudget[budgetKey](),
		resumeBudget:   retry.NewResumes(now()),
		crashes:        newCrashes(),
		startedAt:      now(),
	}
}

// register counts a new request and estimates the tokens that it will use.
func (s *scheduler) register(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimateUse(s.now(), j)
	s.counts.Requests++
	s.optionalForwards = min(s.optionalForwards+optionalForwardShare, maxOptionalForwards)
	s.counts.AskedTokens += int64(j.request.MaxTokens)
	s.counts.ReservedTokens += int64(j.query.ReserveTokens - j.request.PromptTokens)
	s.retryBudget.First(s.budgetKey(j), j.inventory.Rules().RetryBudget)
}

// estimateUse estimates the tokens that a new request will use.
func (s *scheduler) estimateUse(now time.Time, j *job) {
	asked := j.request.MaxTokens
	j.query.ExpectedTokens = s.usage.Mean(j.usageKey(), asked)
	j.quantileTokens = s.usage.QuantileOrPrior(j.usageKey(), patienceQuantile, asked)
	j.query.ReserveTokens = j.request.PromptTokens + s.usage.Quantile(j.usageKey(), j.inventory.Rules().ReservationQuantile, asked)
	j.query.PrefillPerSecond = s.chooser.Capacity(now, j.query.Service, j.query.Model).PrefillTokensPerSecond
}

// refresh reads the known endpoints and regions again if they are older than refreshPeriod, and starts the waiting
// requests for which there is capacity then.
func (s *scheduler) refresh(now time.Time) {
	if !s.refreshedAt.IsZero() && now.Sub(s.refreshedAt) < refreshPeriod {
		return
	}
	s.refreshedAt = now
	endpoints := s.view.Endpoints()
	s.chooser.Observe(now, endpoints)
	s.crashes.observe(now, endpoints)
	s.regions.Observe(now, s.view.Summaries())
	var gone []string
	s.breakers.Keys(now, func(name string, state retry.State) {
		if !slices.ContainsFunc(endpoints, func(e membership.Endpoint) bool { return e.Name == name }) {
			gone = append(gone, name)
		} else if state == retry.HalfOpen {
			s.chooser.SetProbing(name)
		}
	})
	for _, name := range gone {
		s.breakers.Forget(name)
	}
	s.startWaiting(now, nil)
}

// sample returns at most n of the endpoints, drawn at random. It changes their order.
func (s *scheduler) sample(endpoints []membership.Endpoint, n int) []membership.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rng.Shuffle(len(endpoints), func(i, k int) { endpoints[i], endpoints[k] = endpoints[k], endpoints[i] })
	return endpoints[:min(n, len(endpoints))]
}

// start records an attempt as sent to the decision's endpoint.
func (s *scheduler) start(now time.Time, j *job, d routing.Decision) *placement {
	ticket := s.chooser.Start(now, d, &j.query)
	return &placement{endpoint: d.Candidate.Endpoint(), ticket: ticket, terms: d.Terms, predicted: d.Informed, promptTokens: j.request.PromptTokens}
}

// updateReservation updates the reservation of an attempt to its actual use; the first piece shows that the prompt
// has been processed, or that the region answers.
func (s *scheduler) updateReservation(p *placement, pieces int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.region != "" {
		s.regionBreakers.Answered(s.now(), p.region, p.probe)
		return
	}
	s.chooser.FirstToken(s.now(), p.ticket)
	p.ticket.Use(p.promptTokens + pieces)
}

// finish records the result of an attempt, releases its capacity, and starts requests that wait for this capacity.
func (s *scheduler) finish(j *job, p *placement, err error, failure retry.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if p.region != "" {
		s.regions.Done(now, p.forwardTicket, err == nil)
		s.regionBreakers.End(p.region, p.probe)
		s.record(now, s.regionBreakers, p.region, err, failure)
	} else {
		s.chooser.Done(now, p.ticket, err == nil)
		s.recordEndpoint(now, p.endpoint.Name, err, failure)
	}
	if err == nil {
		s.counts.Answered++
		s.counts.UsedTokens += int64(j.pieces)
		if j.request.Model != "" {
			s.usage.Record(j.usageKey(), j.pieces)
		}
	}
	s.startWaiting(now, p.models())
}
