package gateway

import (
	"bytes"
	"net/http"
	"strconv"

	"arbutusreel/routes"
)

// handBackPrefix begins the comment with which a stopping gateway ends a stream that another gateway may go on with. The number of
// endpoints that ran the request follows.
const handBackPrefix = ": arbutusreel-runs "

// formatHandBack returns the comment for a number of runs.
func formatHandBack(runs int) []byte { return []byte(handBackPrefix + strconv.Itoa(runs) + "\n\n") }

// parseHandBack returns the number of runs in a comment, and whether the comment hands a stream back.
func parseHandBack(comment []byte) (runs int, ok bool) {
	rest, ok := bytes.CutPrefix(bytes.TrimRight(comment, "\n"), []byte(handBackPrefix))
	if !ok {
		return 0, false
	}
	runs, err := strconv.Atoi(string(rest))
	return runs, err == nil && runs > 0
}

// mayHandBack reports whether the gateway that forwarded the stream goes on with it once this one stops.
func (j *job) mayHandBack() bool { return j.handable.Load() }

// handBack ends a stream that another gateway goes on with. It does not return.
func (j *job) handBack() {
	j.log("handedBack").Err(j.lastErr).Msg("served")
	_, _ = j.w.Write(formatHandBack(j.runs))
	_ = j.w.FlushError()
	j.w.abort(j.r)
}

// setStreamHeaders sets the headers that say whether this gateway can go on with a stream that is handed back, and whether the stream is in
// progress.
func (j *job) setStreamHeaders(h http.Header) {
	if j.inProgress || j.streaming() {
		h.Set(inProgressHeader, "1")
	}
	if j.route.Kind == routes.Stream && j.route.Repeatable() && j.chargedRuns > 1 {
		h.Set(takesBackHeader, "1")
	}
}
