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

// budgetKey names the requests that share a budget of retries.
type budgetKey struct {
	region string
	class  string
}

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

func (s *scheduler) budgetKey(j *job) budgetKey {
	return budgetKey{region: s.self.Region, class: j.request.Class}
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

// opened counts a stream whose answer has begun.
func (s *scheduler) opened() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumes.Open(s.now())
}

// closed counts the end of a stream whose answer had begun.
func (s *scheduler) closed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumes.Close(s.now())
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

// recordEndpoint counts an endpoint's success or failure and opens or closes it for work.
func (s *scheduler) recordEndpoint(now time.Time, name string, err error, failure retry.Failure) {
	before := s.breakers.State(now, name)
	after := s.record(now, s.breakers, name, err, failure)
	if before == after {
		return
	}
	s.chooser.SetTripped(name, after == retry.Open)
	if before == retry.HalfOpen && after == retry.Closed {
		s.chooser.SetTripped(name, true)
		s.chooser.SetTripped(name, false)
	}
	s.log.Info().Str("endpoint", name).Str("state", after.String()).Msg("breakerChanged")
}

// record counts a success or failure; a failure that is the request's own counts as neither.
func (s *scheduler) record(now time.Time, b *retry.Breakers[string], name string, err error, failure retry.Failure) retry.State {
	switch {
	case err == nil:
		return b.Succeeded(now, name)
	case failure == retry.Final:
		return b.State(now, name)
	case failure == retry.Unreached:
		return b.Unreached(now, name)
	}
	return b.Failed(now, name)
}

// decide returns whether a failed request is tried again, and when.
func (s *scheduler) decide(j *job, failure retry.Failure) (time.Duration, retry.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.begun() {
		return s.decideResume(j, failure)
	}
	delay, reason := retry.Decide(s.now(), j.attempts, failure, s.budget, s.budgetKey(j), s.rng)
	if reason == retry.Retry {
		s.counts.Retries++
	}
	return delay, reason
}

// decideResume returns whether a stream in mid-answer is resumed, and when.
func (s *scheduler) decideResume(j *job, failure retry.Failure) (time.Duration, retry.Reason) {
	delay, reason := retry.DecideResume(s.now(), j.attempts, failure, s.resumes, s.rng)
	if reason == retry.Retry {
		s.counts.Resumes++
	}
	return delay, reason
}
