package dispatch

import (
	"github.com/rs/zerolog"

	"arbutusreel/admission"
	"arbutusreel/problem"
	"arbutusreel/routing"
)

// explain logs a decision for the local region with the terms of the chosen endpoint and of the runner-up.
func (s *scheduler) explain(j *job, d routing.Decision, action string) {
	event := s.requestEvent(j).
		Str("action", action).
		Int("open", d.Available).
		Int("scored", d.Scored).
		Bool("room", d.HasCapacity).
		Str("endpoint", d.Candidate.Name()).
		Dict("terms", termsDict(d.Terms))
	if d.RunnerUp != nil {
		event = event.Str("runnerUp", d.RunnerUp.Name()).Dict("runnerUpTerms", termsDict(d.RunnerUpTerms))
	}
	event.Msg("routed")
}

// explainForward logs that a request is forwarded to another region; localTerms are the terms of the local region, or
// nil if it cannot serve the request.
func (s *scheduler) explainForward(j *job, d routing.RegionDecision, localTerms *routing.Terms, reason string) {
	event := s.requestEvent(j).
		Str("action", "sentAway").
		Str("reason", reason).
		Int("scored", d.Scored).
		Str("region", d.Region).
		Dict("terms", termsDict(d.Terms))
	if localTerms != nil {
		event = event.Dict("ownTerms", termsDict(*localTerms))
	}
	event.Msg("routed")
}

// explainRefusal logs a refusal with the estimate that led to it.
func (s *scheduler) explainRefusal(j *job, code problem.Code, v admission.Verdict) {
	s.requestEvent(j).
		Str("action", "refused").
		Str("reason", string(code)).
		Dur("wait", v.Estimate.Wait).
		Dur("prefill", v.Estimate.Prefill).
		Dur("decode", v.Estimate.Decode).
		Dur("retryAfter", v.RetryAfter).
		Msg("routed")
}

// requestEvent returns a log event with the fields that identify the request.
func (s *scheduler) requestEvent(j *job) *zerolog.Event {
	_, revision := s.view.Inventory()
	return s.log.Info().
		Str("correlationId", j.request.CorrelationID).
		Str("team", j.request.Team).
		Str("service", j.request.Service).
		Str("model", j.request.Model).
		Str("class", j.request.Class).
		Int64("revision", revision).
		Int("attempt", j.attempts.Made).
		Int("expectedTokens", j.query.ExpectedTokens).
		Int("reservedTokens", j.query.ReserveTokens)
}

func termsDict(t routing.Terms) *zerolog.Event {
	return zerolog.Dict().
		Float64("wait", t.Wait).
		Float64("prefill", t.Prefill).
		Float64("decode", t.Decode).
		Float64("cached", t.Cached).
		Float64("travel", t.Transfer).
		Float64("cost", t.Cost).
		Float64("away", t.Away).
		Float64("score", t.Score)
}
