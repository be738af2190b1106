package gateway

import (
	"testing"
	"time"

	"arbutusreel/fleet"
	"arbutusreel/metrics"
	"arbutusreel/origin"
	"arbutusreel/wiregen"
)

// TestOriginCorrected guards against streams that are resumed at the version before a restart at another gateway, which has the
// record already, and against corrections of streams that the restarted endpoint cannot have begun.
func TestOriginCorrected(t *testing.T) {
	now := time.Unix(1000, 0)
	v1 := origin.Origin{Service: "desk", Software: "v1"}
	for _, c := range []struct {
		name     string
		born     time.Duration
		software string
		want     origin.Origin
	}{
		{"restarted with another version before the stream", -time.Second, "v2", origin.Origin{}},
		{"restarted at about the same time by another clock", bornTolerance / 2, "v2", origin.Origin{}},
		{"restarted after the stream", 2 * bornTolerance, "v2", v1},
		{"restarted with the same version", -time.Second, "v1", v1},
	} {
		t.Run(c.name, func(t *testing.T) {
			here, there := newOrigins(metrics.New()), newOrigins(metrics.New())
			send := func() {
				messages := map[wiregen.ReportLink]*wiregen.OutstandingReport{}
				here.takeInto(messages)
				if m := messages[wiregen.ReportLink_row]; m != nil {
					there.receive(now, wiregen.ReportLink_row, decodeOrigins(m.GetOrigins()))
				}
			}
			here.record(now, "request", v1)
			here.recordServed(now, "request", fleet.Endpoint{ID: "a", Service: "desk", Software: "v1", Born: 1})
			send()
			e := fleet.Endpoint{ID: "a", Service: "desk", Software: c.software, Born: now.Add(c.born).UnixMilli()}
			here.observe(now.Add(3*time.Second), &view{endpoints: map[string][]fleet.Endpoint{"desk": {e}}})
			send()
			for name, o := range map[string]*origins{"here": here, "there": there} {
				if got, ok := o.find(now, origin.NewKey("request")); !ok || got != c.want {
					t.Errorf("%s the origin is %v, %v", name, got, ok)
				}
			}
		})
	}
}
