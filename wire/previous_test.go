package wire

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"arbutusreel/fleet"
	"arbutusreel/wiregen"
)

// Messages as a gateway without teams, paces of decoding and weights encoded them.
const (
	previousGatewayReport = "0a0966726f6e742d612d31120e31302e312e302e33383a383134391a0e31302e312e302e33383a37333832220e31302e312e302e33383a373338332a" +
		"03612d3132016138014007482668037001"
	previousOutstandingReport = "0a0966726f6e742d612d3110071a1d0a03652d31100228b40b310000000000208c4055000040405d0000004028043001"
)

func decodePrevious(t *testing.T, text string, m proto.Message) {
	t.Helper()
	b, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(b, m); err != nil {
		t.Fatal(err)
	}
	// What the new fields do not set is encoded as before.
	if again, err := (proto.MarshalOptions{Deterministic: true}).Marshal(m); err != nil || hex.EncodeToString(again) != text {
		t.Errorf("encoded as %x, %v", again, err)
	}
}

// TestPreviousMessages guards against messages of gateways of the previous version that a newer one misreads during a rollout,
// and against bytes that a deployment without the new features sends besides.
func TestPreviousMessages(t *testing.T) {
	var gateway wiregen.GatewayReport
	decodePrevious(t, previousGatewayReport, &gateway)
	at := time.Unix(1000, 0)
	want := fleet.Gateway{
		Name: "front-a-1", Born: 7, Sequence: 3, CallerAddress: "10.1.0.38:8149", LoadAddress: "10.1.0.38:7382", ForwardAddress: "10.1.0.38:7383",
		FailureDomain: "a-1", Region: "a", Ready: true, Stranded: true, LastSeen: at,
	}
	if diff := cmp.Diff(want, DecodeGateway(at, &gateway)); diff != "" {
		t.Error(diff)
	}
	if gateway.GetRouteVersion() != 38 || gateway.GetWeight() != 0 || gateway.GetInFlight() != 0 {
		t.Errorf("%v", &gateway)
	}
	var loads wiregen.OutstandingReport
	decodePrevious(t, previousOutstandingReport, &loads)
	if loads.GetGateway() != "front-a-1" || loads.GetSequence() != 4 || !loads.GetWhole() || len(loads.GetTeamUsage()) != 0 || len(loads.GetOutstanding()) != 1 {
		t.Fatalf("%v", &loads)
	}
	if o := loads.GetOutstanding()[0]; o.GetHeldTokens() != 1460 || o.GetPaceRatios() != 3 || o.GetDecodeCount() != 0 || o.GetSlowDecodeCount() != 0 {
		t.Errorf("%v", o)
	}
}
