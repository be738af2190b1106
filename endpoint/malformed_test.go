package endpoint

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"

	"arbutusreel/completion"
	"arbutusreel/dispatch"
	"arbutusreel/membership"
	"arbutusreel/problem"
	"arbutusreel/rawresponse"
)

// TestMalformedReply has plain services answer with heads or trailers that are not valid HTTP/1: the outcome of the call is unknown.
func TestMalformedReply(t *testing.T) {
	for name, text := range rawresponse.Malformed("", "body") {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(name+", "+method, func(t *testing.T) {
				e := membership.Endpoint{Name: "desk", Address: rawresponse.Serve(t, text, rawresponse.Closed)}
				reply, err := NewPlainClient().Call(t.Context(), e, dispatch.Request{Method: method, Path: "/orders", Body: []byte("order")})
				var unknown *OutcomeUnknownError
				if !errors.As(err, &unknown) {
					t.Errorf("status %d, body %q, error %v", reply.Status, reply.Body, err)
				}
			})
		}
	}
}

// TestMalformedEngineAnswer has engines answer with heads that are not valid HTTP/1: the caller receives no part of such an answer, and
// a refusal with such a head does not show that the request was not run.
func TestMalformedEngineAnswer(t *testing.T) {
	whole := append(bytes.Join(wholeEvents(requestID, 1, 2), nil), event([]byte(completion.Done))...)
	refusal := problem.Encode(problem.New(problem.NoCapacity, http.StatusServiceUnavailable, "full"), requestID)
	for kind, body := range map[string]string{"answer": string(whole), "refusal": string(refusal)} {
		for name, text := range rawresponse.Malformed("Content-Type: text/event-stream\r\n", body) {
			if strings.Contains(name, "trailer") {
				// The end mark ends an answer before its trailer is read.
				continue
			}
			t.Run(kind+", "+name, func(t *testing.T) {
				got, _, err := generate(t, membership.Endpoint{Name: "engine", Address: rawresponse.Serve(t, text, rawresponse.Closed)}, 1)
				var p *problem.Problem
				if err == nil || got != "" || errors.As(err, &p) {
					t.Errorf("text %q, error %v", got, err)
				}
			})
		}
	}
}

// TestReplyResetDuringUpload has plain services answer long calls early and end the connection: a reply whose head states no length is
// complete only if the connection ended in order, and any other one once it has arrived.
func TestReplyResetDuringUpload(t *testing.T) {
	order := bytes.Repeat([]byte("x"), 4<<20)
	for name, c := range map[string]struct {
		text  string
		sized bool
	}{
		"no length": {"HTTP/1.1 200 OK\r\n\r\nbody", false},
		"HTTP/1.0":  {"HTTP/1.0 200 OK\r\n\r\nbody", false},
		"length":    {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", true},
		"chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
	} {
		for _, end := range rawresponse.Ends() {
			t.Run(name+", "+string(end), func(t *testing.T) {
				t.Parallel()
				e := membership.Endpoint{Name: "desk", Address: rawresponse.Serve(t, c.text, end)}
				for range 8 {
					reply, err := NewPlainClient().Call(t.Context(), e, dispatch.Request{Method: http.MethodPost, Path: "/orders", Body: order})
					var unknown *OutcomeUnknownError
					if complete := c.sized || end.Orderly(); complete != (err == nil) || err != nil && !errors.As(err, &unknown) || complete && string(reply.Body) != "body" {
						t.Errorf("status %d, body %q, error %v", reply.Status, reply.Body, err)
					}
				}
			})
		}
	}
}

// TestEngineAnswerResetDuringUpload has engines answer long requests early, without a length, and reset the connection: what they
// sent is no whole answer.
func TestEngineAnswerResetDuringUpload(t *testing.T) {
	part := string(bytes.Join(wholeEvents(requestID, 1, 2), nil))
	r := dispatch.Request{CorrelationID: requestID, Path: "/v1/chat/completions", Body: []byte(`{"model":"m","prompt":"` + strings.Repeat("x", 4<<20) + `"}`)}
	for name, head := range map[string]string{"no length": "HTTP/1.1 200 OK\r\n", "HTTP/1.0": "HTTP/1.0 200 OK\r\n", "connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n"} {
		for _, end := range []rawresponse.End{rawresponse.Reset, rawresponse.ResetLater} {
			t.Run(name+", "+string(end), func(t *testing.T) {
				t.Parallel()
				address := rawresponse.Serve(t, head+"Content-Type: text/event-stream\r\n\r\n"+part, end)
				for range 8 {
					s := &sink{}
					got, err := NewModelClient().Generate(t.Context(), membership.Endpoint{Name: "engine", Address: address}, r, dispatch.Attempt{Number: 1}, s)
					if err == nil {
						t.Errorf("a part of an answer passed as a whole one: %+v, %q", got, s.String())
					}
				}
			})
		}
	}
}
