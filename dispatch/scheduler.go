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

// scheduler holds what the decisions of an instance share; it is safe for concurrent use.
type scheduler struct {
	mu             sync.Mutex
	self           Hop
	view           View
	now            func() time.Time
	log            zerolog.Logger
	rng            *rand.Rand
	chooser        Chooser
	regions        *routing.Regions
	uses           *admission.Uses
	lanes          *lanes
	breakers       *retry.Breakers[string]
	regionBreakers *retry.Breakers[string]
	budget         *retry.Budget[budgetKey]
	resumes        *retry.Resumes
	counts         Counts
	// preferred is the number of requests that may leave although the region could serve them.
	preferred float64
	refreshed time.Time
	born      time.Time
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
		uses:           admission.NewUses(),
		lanes:          newLanes(),
		breakers:       retry.NewBreakers[string](source),
		regionBreakers: retry.NewBreakers[string](source),
		budget:         retry.NewBudget[budgetKey](),
		resumes:        retry.NewResumes(now()),
		born:           now(),
	}
}

// begin estimates what a new request will use.
func (s *scheduler) begin(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := j.request.MaxTokens
	j.query.ExpectedTokens = s.uses.Mean(j.useKey(), asked)
	j.likely = s.uses.Likely(j.useKey(), patienceQuantile, asked)
	j.query.ReserveTokens = j.request.PromptTokens + s.uses.Quantile(j.useKey(), j.inventory.Rules().ReservationQuantile, asked)
	s.counts.Requests++
	s.preferred = min(s.preferred+preferredShare, maxPreferred)
	j.query.PrefillPerSecond = s.chooser.Capacity(s.now(), j.query.Service, j.query.Model).PrefillTokensPerSecond
	s.counts.AskedTokens += int64(asked)
	s.counts.ReservedTokens += int64(j.query.ReserveTokens - j.request.PromptTokens)
	s.budget.First(s.budgetKey(j), j.inventory.Rules().RetryBudget)
}

// refresh reads the known endpoints and regions again if they are old, and starts what has room then.
func (s *scheduler) refresh(now time.Time) {
	if !s.refreshed.IsZero() && now.Sub(s.refreshed) < refreshPeriod {
		return
	}
	s.refreshed = now
	endpoints := s.view.Endpoints()
	s.chooser.Observe(now, endpoints)
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
	s.pump(now, nil)
}

// start counts an attempt as sent to the decision's endpoint.
func (s *scheduler) start(now time.Time, j *job, d routing.Decision) *placement {
	ticket := s.chooser.Start(now, d, &j.query)
	return &placement{endpoint: d.Candidate.Endpoint(), ticket: ticket, terms: d.Terms, informed: d.Informed, prompt: j.request.PromptTokens}
}

// used trues the reservation of an attempt up; the first piece says that the prompt has been read, or that the region
// answers.
func (s *scheduler) used(p *placement, pieces int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.region != "" {
		s.regionBreakers.Answered(s.now(), p.region, p.probe)
		return
	}
	s.chooser.FirstToken(s.now(), p.ticket)
	p.ticket.Use(p.prompt + pieces)
}

// finish ends an attempt, gives back what it held, and starts what waits for it.
func (s *scheduler) finish(j *job, p *placement, err error, failure retry.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if p.region != "" {
		s.regions.Done(now, p.away, err == nil)
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
			s.uses.Record(j.useKey(), j.pieces)
		}
	}
	s.pump(now, p.models())
}
