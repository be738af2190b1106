package control

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusreel/configuration"
	"arbutusreel/wiregen"
)

// TestSearchingGatewayGetsState guards against a gateway that gets the whole state of each control daemon that it asks, and a
// document that it has.
func TestSearchingGatewayGetsState(t *testing.T) {
	cfg := newConfigs(t, 1, 0)[0]
	d := start(t, cfg)
	document := configuration.Document{Version: 7, Content: []byte(goldenDocument)}
	waitFor(t, "the document decided", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return d.PutDocument(ctx, document) == nil
	})
	for _, c := range []struct {
		name                  string
		version, wantDocument int64
	}{{"without a document", 0, 7}, {"with an older one", 6, 7}, {"with this one", 7, 0}, {"with a later one", 8, 0}} {
		t.Run(c.name, func(t *testing.T) {
			session := attend(t, d, func(m *wiregen.GatewayReport) { m.Probing, m.RouteVersion = true, c.version })
			got, err := session.Recv()
			if want := (&wiregen.FleetUpdate{Brief: true, Current: true, Sender: cfg.Name}); err != nil || !proto.Equal(got, want) {
				t.Fatalf("got %v, %v, want %v", got, err, want)
			}
			if err := session.Send(gatewayReport(func(m *wiregen.GatewayReport) { m.RouteVersion = c.version })); err != nil {
				t.Fatal(err)
			}
			got, err = session.Recv()
			if err != nil || got.GetBrief() || !got.GetEvacuationsTold() || got.GetDocument().GetVersion() != c.wantDocument {
				t.Errorf("got %v, %v, want document %d", got, err, c.wantDocument)
			}
		})
	}
}

// TestSearchingGatewayListed guards against gateways that are listed by control daemons which they only ask.
func TestSearchingGatewayListed(t *testing.T) {
	d := start(t, newConfigs(t, 1, 0)[0])
	session := attend(t, d, func(m *wiregen.GatewayReport) { m.Probing = true })
	if _, err := session.Recv(); err != nil {
		t.Fatal(err)
	}
	if all, _ := d.Gateways(); len(all) > 0 {
		t.Errorf("%v is listed", all)
	}
	if err := session.Send(gatewayReport(nil)); err != nil {
		t.Fatal(err)
	}
	if _, err := session.Recv(); err != nil {
		t.Fatal(err)
	}
	if all, _ := d.Gateways(); len(all) != 1 {
		t.Errorf("%d gateways are listed, want 1", len(all))
	}
}
