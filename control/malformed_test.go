package control

import (
	"errors"
	"testing"

	"arbutusreel/rawresponse"
	"arbutusreel/wiregen"
)

// TestMalformedOrderReply has engines answer orders with heads or trailers that are not valid HTTP/1: the order counts neither as applied
// nor as refused.
func TestMalformedOrderReply(t *testing.T) {
	for name, text := range rawresponse.Malformed("Content-Type: application/json\r\n", `{"applied":true}`) {
		t.Run(name, func(t *testing.T) {
			address := rawresponse.Serve(t, text, rawresponse.Closed)
			err := newOrderSender().send(t.Context(), address, &wiregen.EngineOrder{Endpoint: "e"}, func() error { return nil })
			var status *OrderStatusError
			var refused *OrderRefusedError
			if err == nil || errors.As(err, &status) || errors.As(err, &refused) {
				t.Errorf("error %v", err)
			}
		})
	}
}
