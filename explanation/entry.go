package explanation

import (
	"net/url"
	"strconv"
	"time"
)

// EntryQuestion describes a request to an entry that is not sent.
type EntryQuestion struct {
	// Model is a model or adapter, or Service a plain service.
	Model, Service string
	// Team is the name of the caller's team, and Class that of the request's class; empty for the team's default.
	Team, Class string
	// PromptTokens and MaxOutputTokens are the length of the prompt and the bound of the answer; zero for the usual bound.
	PromptTokens, MaxOutputTokens int64
}

// Parameters of a question to an entry, besides those of other questions.
const (
	paramModel = "model"
	paramClass = "class"
)

// Values returns the query parameters of the question; those that are empty are left out.
func (q EntryQuestion) Values() url.Values {
	v := url.Values{}
	for name, text := range map[string]string{paramModel: q.Model, paramService: q.Service, paramTeam: q.Team, paramClass: q.Class} {
		if text != "" {
			v.Set(name, text)
		}
	}
	for name, n := range map[string]int64{paramPrompt: q.PromptTokens, paramMaxOutput: q.MaxOutputTokens} {
		if n != 0 {
			v.Set(name, strconv.FormatInt(n, 10))
		}
	}
	return v
}

// ParseEntryQuestion returns the question in query parameters; an unknown, repeated, missing or malformed one returns *ParameterError.
func ParseEntryQuestion(v url.Values) (q EntryQuestion, err error) {
	texts := map[string]*string{paramModel: &q.Model, paramService: &q.Service, paramTeam: &q.Team, paramClass: &q.Class}
	numbers := map[string]*int64{paramPrompt: &q.PromptTokens, paramMaxOutput: &q.MaxOutputTokens}
	for name, values := range v {
		switch {
		case len(values) != 1:
			return q, &ParameterError{Name: name, Reason: "is given more than once"}
		case texts[name] != nil:
			*texts[name] = values[0]
		case numbers[name] != nil:
			if *numbers[name], err = parseNumber(name, values[0]); err != nil {
				return q, err
			}
		default:
			return q, &ParameterError{Name: name, Reason: "is not known"}
		}
	}
	switch {
	case q.Team == "":
		return q, &ParameterError{Name: paramTeam, Reason: "is missing"}
	case (q.Model == "") == (q.Service == ""):
		return q, &ParameterError{Name: paramModel, Reason: "or a plain service is to be named, not both"}
	}
	return q, nil
}

// EntryExplanation is what would follow for a request at an entry, and why.
type EntryExplanation struct {
	// Entry and EntryRegion are those of the entry that answers, and Revision that of its inventory.
	Entry, EntryRegion string
	Revision           int64
	// Service, Model, Team and Class are what the request is for.
	Service, Model, Team, Class string
	Decision                    EntryDecision
	Candidates                  []EntryCandidate
	Excluded                    []Excluded
	Regions                     []EntryRegion
	// Limited reports whether the team has a limit. Rate and Left are what the entry may use of it per second, and what is left now, in tokens.
	Limited    bool
	Rate, Left float64
}

// EntryDecision is what would follow for a request.
type EntryDecision struct {
	// Action is started, queued, sentAway, handedOver or refused.
	Action string
	// Reason is why the request is sent away, waits or is refused, and RetryAfter when the caller of a refused one may return.
	Reason     string
	RetryAfter time.Duration
	// Endpoint is the best endpoint of the region, and Region the region that the request is sent to; empty if there is none.
	Endpoint, Region string
	Terms            Terms
	// Wait, Prefill and Decode are the expected times of a request that cannot start at once.
	Wait, Prefill, Decode time.Duration
	// ExpectedTokens is the expected length of the answer, ReservedTokens what the request reserves, and TokensAhead what waits before it.
	ExpectedTokens, ReservedTokens, TokensAhead int
}

// Terms are the parts of a score; a lower Score is better.
type Terms struct {
	// First and End are the expected times to the first token and to the end, of which Wait is that before the request starts, Prefill
	// that for the prompt, and Transfer that between regions.
	First, End, Wait, Prefill, Transfer time.Duration
	CachedTokens                        float64
	// Cost is relative to the cheapest region.
	Cost, Score float64
}

// EntryCandidate is an endpoint that may get the request.
type EntryCandidate struct {
	Endpoint string
	Chosen   bool
	Terms    Terms
	// HasCapacity reports whether the request may start at once, and Starting that a slow start bounds what the endpoint gets.
	HasCapacity, Starting bool
	// Outstanding is the expected number of requests there, and ReservedTokens what those of this entry reserve of CacheTokens.
	Outstanding                        float64
	Slots, ReservedTokens, CacheTokens int
}

// EntryRegion is another region as the entry knows it.
type EntryRegion struct {
	Name   string
	Chosen bool
	// Reason is why the region is not chosen; empty if it is.
	Reason      string
	Terms       Terms
	Outstanding float64
	// Slots and Endpoints are those of the service there.
	Slots, Endpoints int
}
