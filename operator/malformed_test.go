package operator

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"arbutusreel/exchange"
	"arbutusreel/problem"
	"arbutusreel/rawresponse"
	"arbutusreel/wiregen"
)

// TestMalformedReply has a voter answer a change with heads or trailers that are not valid HTTP/1: the outcome of the change is
// unknown, even if the answer says that it was refused.
func TestMalformedReply(t *testing.T) {
	refusal := string(problem.Encode(problem.New(problem.Forbidden, http.StatusForbidden, "no"), "a"))
	for kind, body := range map[string]string{"accepted": `{"revision":"1"}`, "refused": refusal} {
		for name, text := range rawresponse.Malformed("Content-Type: application/json\r\n", body) {
			t.Run(kind+", "+name, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				controls := []string{rawresponse.Serve(t, text, rawresponse.Closed)}
				c := New(controls, "token", &http.Client{Transport: exchange.NewTransport(exchange.TransportConfig{})})
				reply, err := c.Apply(ctx, &wiregen.ApplyRequest{ChangeId: "change"})
				var unknown *OutcomeUnknownError
				if !errors.As(err, &unknown) || unknown.ChangeID != "change" {
					t.Errorf("reply %v, error %v", reply, err)
				}
			})
		}
	}
}
