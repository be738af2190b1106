package dispatch

import (
	"slices"
	"time"

	"arbutusreel/routing"
)

// sendAway sends the request to another region if its own lacks capacity: it has no endpoint for the request, cannot
// meet it, or has let requests wait for a time and the other region is expected to be better. A small share of the
// requests may leave for a better region before that.
func (s *scheduler) sendAway(now time.Time, j *job, l *lane, d routing.Decision, local bool) *placement {
	if local && j.class.Deferrable {
		return nil
	}
	reason, least := s.reasonAway(now, j, l, d, local)
	if reason == "" {
		return nil
	}
	routes := slices.DeleteFunc(j.routes(s.self.Region), func(r routing.Route) bool {
		return !s.regionBreakers.Allows(now, r.Region)
	})
	away, ok := s.regions.Choose(now, &j.query, j.bytes(), routes, least)
	if !ok {
		return nil
	}
	s.counts.SentAway++
	if reason == awayPreferred {
		s.preferred--
	}
	s.explainAway(j, away, least, reason)
	return &placement{
		region: away.Region,
		away:   s.regions.Start(now, away, &j.query, j.bytes()),
		probe:  s.regionBreakers.Begin(now, away.Region),
		terms:  away.Terms,
		prompt: j.request.PromptTokens,
	}
}

// Reasons to send a request away.
const (
	awayNoEndpoint = "noEndpoint"
	awayNotMet     = "cannotBeMet"
	awayShort      = "capacityShort"
	awayPreferred  = "better"
)

// reasonAway returns why the request may leave, or nothing, and what another region must be better than.
func (s *scheduler) reasonAway(now time.Time, j *job, l *lane, d routing.Decision, local bool) (string, *routing.Terms) {
	if !local {
		return awayNoEndpoint, nil
	}
	terms := d.Terms
	if !d.Room {
		e := s.estimate(now, j, l, d)
		if !now.Add(e.Total()).Before(j.request.Deadline) {
			return awayNotMet, nil
		}
		terms.Wait = e.Wait.Seconds()
		terms.Score = j.query.Objective.Score(terms)
		if l.short(now) {
			return awayShort, &terms
		}
	}
	if d.Informed && s.preferred >= 1 {
		return awayPreferred, &terms
	}
	return "", nil
}
