package entry

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"arbutusreel/completion"
	"arbutusreel/dispatch"
	"arbutusreel/explanation"
	"arbutusreel/inventory"
	"arbutusreel/problem"
	"arbutusreel/routing"
)

// explainRequest answers an operator's question where a request would go now, without sending it.
func (n *Entry) explainRequest(r *http.Request) ([]byte, error) {
	q, err := explanation.ParseEntryQuestion(r.URL.Query())
	if err != nil {
		return nil, problem.New(problem.MalformedRequest, http.StatusBadRequest, "%s", err.Error())
	}
	request, revision, err := n.questionRequest(q)
	if err != nil {
		return nil, err
	}
	x, err := n.dispatcher.Explain(request)
	if err != nil {
		return nil, err
	}
	e := answerEntry(x)
	e.Entry, e.EntryRegion, e.Revision = n.cfg.Self.Name, n.cfg.Self.Region, revision
	e.Service, e.Model, e.Team, e.Class = request.Service, request.Model, request.Team, request.Class
	e.Rate, e.Left, e.Limited = n.limiter.standing(request.Team)
	return explanation.EncodeEntry(e)
}

// questionRequest returns the request that a question describes, checked like a caller's, and the revision of the inventory.
func (n *Entry) questionRequest(q explanation.EntryQuestion) (dispatch.Request, int64, error) {
	inv, revision := n.state.Inventory()
	if inv == nil {
		return dispatch.Request{}, 0, problem.New(problem.NotReady, http.StatusServiceUnavailable, "instance %q has no inventory yet", n.cfg.Self.Name)
	}
	team, ok := inv.Team(q.Team)
	if !ok {
		return dispatch.Request{}, 0, problem.New(problem.UnknownTeam, http.StatusNotFound, "no team has the given name")
	}
	c := caller{team: team, inventory: inv}
	asCaller := &http.Request{Header: http.Header{}}
	asCaller.Header.Set(classHeader, q.Class)
	class, err := c.class(asCaller)
	if err != nil {
		return dispatch.Request{}, 0, err
	}
	labels, err := n.allowedLabels(c, asCaller)
	if err != nil {
		return dispatch.Request{}, 0, err
	}
	request := dispatch.Request{
		Team: team.Name, Class: class.Name, Priority: class.Priority, Labels: labels, Service: q.Service, Model: q.Model, PromptTokens: int(q.PromptTokens),
		Deadline: time.Now().Add(class.Patience),
	}
	if q.Model == "" {
		if s, ok := inv.Service(q.Service); !ok || s.Kind != inventory.KindPlain {
			return request, 0, problem.New(problem.UnknownService, http.StatusNotFound, "no plain service has the name %q", q.Service)
		}
		return request, revision, nil
	}
	request.MaxTokens = completion.DefaultMaxTokens
	if q.MaxOutputTokens > 0 {
		request.MaxTokens = int(q.MaxOutputTokens)
	}
	request.Service, err = serviceOfModel(inv, q.Model)
	return request, revision, err
}

// standing returns the rate that this instance may use of a team's limit and the tokens that are left now; limited is false without one.
func (s *rateLimiter) standing(team string) (rate, left float64, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.teams.Standing(s.now(), team)
}

// answerEntry returns the explanation for operators.
func answerEntry(x dispatch.Explanation) *explanation.EntryExplanation {
	e := &explanation.EntryExplanation{Decision: explanation.EntryDecision{
		Action: string(x.Action), Reason: x.Reason, RetryAfter: x.RetryAfter, Endpoint: x.Endpoint, Region: x.Region, Terms: answerTerms(x.Terms),
		Wait: x.Estimate.Wait, Prefill: x.Estimate.Prefill, Decode: x.Estimate.Decode,
		ExpectedTokens: x.ExpectedTokens, ReservedTokens: x.ReservedTokens, TokensAhead: x.TokensAhead,
	}}
	for _, c := range x.Candidates {
		e.Candidates = append(e.Candidates, explanation.EntryCandidate{
			Endpoint: c.Name, Chosen: x.Action == dispatch.Starts && c.Name == x.Endpoint, Terms: answerTerms(c.Terms), HasCapacity: c.HasCapacity,
			Starting: c.Starting, Outstanding: c.Outstanding, Slots: c.Slots, ReservedTokens: c.ReservedTokens, CacheTokens: c.CacheTokens,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(x.Excluded)) {
		e.Excluded = append(e.Excluded, explanation.Excluded{Endpoint: name, Reason: x.Excluded[name]})
	}
	for _, r := range x.Regions {
		e.Regions = append(e.Regions, explanation.EntryRegion{
			Name: r.Region, Chosen: r.Region == x.Region, Reason: string(r.Reason), Terms: answerTerms(r.Terms), Outstanding: r.Outstanding, Slots: r.Slots,
			Endpoints: r.Endpoints,
		})
	}
	return e
}

func answerTerms(t routing.Terms) explanation.Terms {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return explanation.Terms{
		First: seconds(t.FirstToken()), End: seconds(t.Finish()), Wait: seconds(t.Wait), Prefill: seconds(t.Prefill), Transfer: seconds(t.Transfer),
		CachedTokens: t.Cached, Cost: t.Cost, Score: t.Score,
	}
}
