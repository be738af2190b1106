package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// contentType is the media type of problem JSON (RFC 9457).
const contentType = "application/problem+json"

// maxStatus is the highest HTTP status.
const maxStatus = 599

// message is the JSON form of a problem.
type message struct {
	Type             string `json:"type"`
	Title            string `json:"title"`
	Status           int    `json:"status"`
	Detail           string `json:"detail"`
	Code             string `json:"code"`
	Outcome          string `json:"outcome"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
	CorrelationID    string `json:"correlationId,omitempty"`
}

// Encode returns p as problem JSON.
func Encode(p *Problem, correlationID string) []byte {
	b, err := json.Marshal(message{
		Type:             "about:blank",
		Title:            http.StatusText(p.Status),
		Status:           p.Status,
		Detail:           p.Detail,
		Code:             string(p.Code),
		Outcome:          string(p.Outcome),
		RetryAfterMillis: p.RetryAfter.Milliseconds(),
		CorrelationID:    correlationID,
	})
	if err != nil {
		return []byte(`{"code":"internal"}`)
	}
	return b
}

// maxRetryAfter bounds the RetryAfter of a decoded problem.
const maxRetryAfter = 24 * time.Hour

// Decode returns the problem in b; ok is false if b is not problem JSON with a code and an error status.
//
// Any outcome other than NotRun is decoded as Unknown, and RetryAfter is clamped to the range from zero to one day.
func Decode(b []byte) (p *Problem, ok bool) {
	var m message
	if json.Unmarshal(b, &m) != nil || m.Code == "" || m.Status < http.StatusBadRequest || m.Status > maxStatus {
		return nil, false
	}
	outcome := Outcome(m.Outcome)
	if outcome != NotRun {
		outcome = Unknown
	}
	millis := min(max(m.RetryAfterMillis, 0), maxRetryAfter.Milliseconds())
	return &Problem{
		Code:       Code(m.Code),
		Status:     m.Status,
		Detail:     m.Detail,
		Outcome:    outcome,
		RetryAfter: time.Duration(millis) * time.Millisecond,
	}, true
}

// CorrelationID returns the correlation ID in problem JSON; it is empty if there is none.
func CorrelationID(b []byte) string {
	var m message
	if json.Unmarshal(b, &m) != nil {
		return ""
	}
	return m.CorrelationID
}

// Write responds to an HTTP request with p; RetryAfter is rounded up to whole seconds in the Retry-After header.
func Write(w http.ResponseWriter, p *Problem, correlationID string) {
	h := w.Header()
	h.Set("Content-Type", contentType)
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(Encode(p, correlationID))
}
