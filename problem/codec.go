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

// message is a problem on the wire.
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

// Decode returns the problem in b; ok is false if b is no problem JSON with a code.
func Decode(b []byte) (p *Problem, ok bool) {
	var m message
	if json.Unmarshal(b, &m) != nil || m.Code == "" {
		return nil, false
	}
	return &Problem{
		Code:       Code(m.Code),
		Status:     m.Status,
		Detail:     m.Detail,
		Outcome:    Outcome(m.Outcome),
		RetryAfter: time.Duration(m.RetryAfterMillis) * time.Millisecond,
	}, true
}

// Write answers an HTTP request with p; a RetryAfter is rounded up to whole seconds in the Retry-After header.
func Write(w http.ResponseWriter, p *Problem, correlationID string) {
	h := w.Header()
	h.Set("Content-Type", contentType)
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(Encode(p, correlationID))
}
