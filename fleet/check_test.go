package fleet

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"
)

// TestCheckEndpoint guards against records that cannot be encoded or name no usable endpoint, and against proper ones that
// are refused.
func TestCheckEndpoint(t *testing.T) {
	now := time.UnixMilli(1700000000000)
	proper := Endpoint{ID: "i-7f3a91c2", Service: "huvo11a", Address: "10.128.0.9:8080", FailureDomain: "a-1", Slots: 128, Sequence: 4, Born: now.UnixMilli(), LastSeen: now}
	if err := proper.Check(); err != nil {
		t.Error(err)
	}
	long := strings.Repeat("x", 256)
	for field, changes := range map[string][]func(*Endpoint){
		"id": {
			func(e *Endpoint) { e.ID = "" }, func(e *Endpoint) { e.ID = "\xff" }, func(e *Endpoint) { e.ID = "a b" }, func(e *Endpoint) { e.ID = "a\x00" },
			func(e *Endpoint) { e.ID = "a\r\n" }, func(e *Endpoint) { e.ID = "é" }, func(e *Endpoint) { e.ID = long },
		},
		"service":       {func(e *Endpoint) { e.Service = "" }, func(e *Endpoint) { e.Service = "\xff" }, func(e *Endpoint) { e.Service = long }},
		"failureDomain": {func(e *Endpoint) { e.FailureDomain = "" }, func(e *Endpoint) { e.FailureDomain = "\xff" }, func(e *Endpoint) { e.FailureDomain = long }},
		"slots":         {func(e *Endpoint) { e.Slots = 0 }, func(e *Endpoint) { e.Slots = -1 }, func(e *Endpoint) { e.Slots = math.MaxInt32 }},
		"sequence":      {func(e *Endpoint) { e.Sequence = -1 }, func(e *Endpoint) { e.Sequence = math.MaxInt64 }},
		"born":          {func(e *Endpoint) { e.Born = -1 }, func(e *Endpoint) { e.Born += 25 * time.Hour.Milliseconds() }, func(e *Endpoint) { e.Born = math.MaxInt64 }},
		"coldUntil":     {func(e *Endpoint) { e.ColdUntil = now.Add(math.MaxInt64) }},
		"terminatesAt":  {func(e *Endpoint) { e.TerminatesAt = now.Add(math.MaxInt64) }, func(e *Endpoint) { e.TerminatesAt = now.Add(math.MinInt64) }},
		"address": {
			func(e *Endpoint) { e.Address = "" }, func(e *Endpoint) { e.Address = "10.0.0.1:0" }, func(e *Endpoint) { e.Address = "10.0.0.1:65536" },
			func(e *Endpoint) { e.Address = "10.0.0.1:080" }, func(e *Endpoint) { e.Address = "host:80" }, func(e *Endpoint) { e.Address = "0.0.0.0:80" },
		},
		"software": {func(e *Endpoint) { e.Software = "\xff" }, func(e *Endpoint) { e.Software = long }},
	} {
		for i, change := range changes {
			e := proper
			change(&e)
			var invalid *EndpointError
			if err := e.Check(); !errors.As(err, &invalid) || invalid.Field != field {
				t.Errorf("%s, change %d: %v", field, i, err)
			}
		}
	}
}
