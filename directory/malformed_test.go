package directory

import (
	"errors"
	"net/http"
	"testing"

	"arbutusreel/exchange"
	"arbutusreel/membership"
	"arbutusreel/rawresponse"
)

// TestMalformedResponse has a directory answer with heads or trailers that are not valid HTTP/1: each call fails, but does not count
// as refused by the directory.
func TestMalformedResponse(t *testing.T) {
	for name, text := range rawresponse.Malformed("Content-Type: application/json\r\n", `{"entries":[]}`) {
		t.Run(name, func(t *testing.T) {
			c := New(rawresponse.Serve(t, text, rawresponse.Closed), &http.Client{Transport: exchange.NewTransport(exchange.TransportConfig{})})
			_, err := c.Entries(t.Context())
			for call, err := range map[string]error{"publish": c.Publish(t.Context(), membership.Entry{Name: "a"}), "remove": c.Remove(t.Context(), "a"), "entries": err} {
				var refused *StatusError
				if err == nil || errors.As(err, &refused) {
					t.Errorf("%s: error %v", call, err)
				}
			}
		})
	}
}
