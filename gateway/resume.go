package gateway

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"arbutusreel/origin"
	"arbutusreel/problem"
	"arbutusreel/routes"
)

// unknownOriginRetryAfter is the retry delay given to a caller that resumes a stream of which there is no record: the record
// may still be on its way.
const unknownOriginRetryAfter = 200 * time.Millisecond

// findBegun finds out what began the stream that a caller resumes, as the events of two software versions must not be
// mixed. It returns a refusal if that is not known.
func (j *job) findBegun() *problem.Problem {
	if j.route.Kind != routes.Stream || j.call.LastEvent == NoEvent || j.began != nil {
		return nil
	}
	began, ok := j.lookUpBegun()
	if !ok {
		return problem.New(problem.VersionUnavailable, http.StatusServiceUnavailable, "it is not known which software version began the stream of request %q", j.call.Resumes).
			WithRetryAfter(unknownOriginRetryAfter)
	}
	j.began = &began
	if !j.match(j.view) {
		return j.versionUnavailable()
	}
	return nil
}

// lookUpBegun returns the origin of the stream that a caller resumes. If no gateway knows it, or the caller does not name
// the attempt that began the stream, it must have been the only software version that the service has had.
func (j *job) lookUpBegun() (origin.Origin, bool) {
	if j.call.Resumes != "" {
		ctx, cancel := context.WithDeadline(j.r.Context(), j.deadline)
		defer cancel()
		j.g.origins.observe(j.received, j.view)
		if began, ok := j.g.findOrigin(ctx, j.call.Resumes); ok {
			return began, began != origin.Origin{}
		}
	}
	// A control daemon that has not run for long may not know a version that has served meanwhile.
	if j.view.completeFor < originRetention && j.call.Resumes != "" {
		return origin.Origin{}, false
	}
	return j.view.software.only(j.service.Name)
}

// bound reports whether only some endpoints of the service may go on with the stream.
func (j *job) bound() bool {
	return j.began != nil && len(j.view.software.known[j.began.Service]) > 1
}

// versionUnavailable refuses to resume a stream whose service or software version no longer serves.
func (j *job) versionUnavailable() *problem.Problem {
	return problem.New(problem.VersionUnavailable, http.StatusServiceUnavailable, "no endpoint with software version %q of service %q, which began the stream, serves its route", j.began.Software, j.began.Service)
}

// versionServes reports whether any endpoint in the regions of the route may go on with the stream.
func (j *job) versionServes() bool {
	for _, region := range j.view.software.ready[*j.began] {
		if j.route.Allows(region) && j.team.Allows(region) {
			return true
		}
	}
	return false
}

// checkOrigin returns an error if an answer cannot go on with the stream that has begun. If another
// gateway forwarded the request, it sets the header that names the origin.
func (j *job) checkOrigin(of origin.Origin) error {
	if j.began != nil && of != *j.began {
		return &VersionError{Began: *j.began, Got: of}
	}
	if j.forwarded && !j.streaming() {
		j.w.Header().Set(originHeader, formatOrigin(of))
	}
	return nil
}

// recordBegun records what began the stream when its first event is sent to the caller. The gateway that the caller is
// connected to also sends it to other gateways.
func (j *job) recordBegun(of origin.Origin) {
	if j.began == nil {
		j.began = &of
	}
	now := time.Now()
	if !j.forwarded && of.Service != "" {
		j.g.origins.record(now, j.call.ID, of)
	}
	if j.decision.region == "" {
		j.g.origins.recordServed(now, j.call.ID, j.decision.endpoint)
	}
}

// formatOrigin returns the header value for an origin.
func formatOrigin(o origin.Origin) string {
	return url.QueryEscape(o.Service) + "/" + url.QueryEscape(o.Software)
}

// parseOrigin returns the origin of a header value. The zero origin, which no endpoint has, stands for one that is not
// known.
func parseOrigin(text string) (origin.Origin, bool) {
	service, software, ok := strings.Cut(text, "/")
	if !ok {
		return origin.Origin{}, false
	}
	service, serviceErr := url.QueryUnescape(service)
	software, softwareErr := url.QueryUnescape(software)
	if serviceErr != nil || softwareErr != nil {
		return origin.Origin{}, false
	}
	return origin.Origin{Service: service, Software: software}, true
}
