package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"arbutusreel/wiregen"
)

const (
	marker     = "marker-diet-record-7731"
	markedBody = `{"model":"dastarkhwan-menu","max_tokens":4,"stream":true,"messages":[{"role":"user","content":"` + marker + `"}]}`
)

// recorder is a fake entry of another region that records every byte that it receives.
type recorder struct {
	wiregen.UnimplementedPeerServer

	t        *testing.T
	region   string
	address  string
	services []string
	mu       sync.Mutex
	received bytes.Buffer
	sequence uint64
	// endpoints is the number of endpoints in the replies that the recorder received.
	endpoints int
}

// newRecorder starts a recorder in the region that advertises capacity for each of the services.
func newRecorder(t *testing.T, region string, services ...string) *recorder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{t: t, region: region, address: l.Addr().String(), services: services}
	s := grpc.NewServer()
	wiregen.RegisterPeerServer(s, r)
	go func() { _ = s.Serve(recordingListener{Listener: l, recorder: r}) }()
	t.Cleanup(s.Stop)
	return r
}

type recordingListener struct {
	net.Listener
	recorder *recorder
}

func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return recordingConn{Conn: c, recorder: l.recorder}, err
}

type recordingConn struct {
	net.Conn
	recorder *recorder
}

func (c recordingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	c.recorder.received.Write(b[:n])
	return n, err
}

func (r *recorder) contains(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Contains(r.received.Bytes(), []byte(text))
}

func (r *recorder) adverts() ([]*wiregen.EntryAdvert, []*wiregen.RegionSummary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	entries := []*wiregen.EntryAdvert{{
		Name: "a-recorder-" + r.region, Region: r.region, FailureDomain: r.region + "-a",
		CallerAddress: r.address, EndpointAddress: r.address, PeerAddress: r.address, Weight: 1,
	}}
	var summaries []*wiregen.RegionSummary
	for _, s := range r.services {
		summaries = append(summaries, &wiregen.RegionSummary{
			Region: r.region, Service: s, Models: []string{"dastarkhwan-menu"},
			Endpoints: 5, Slots: 40, TokensPerSecond: 500, Sequence: r.sequence,
		})
	}
	return entries, summaries
}

// Exchange returns the adverts of the recorder's region.
func (r *recorder) Exchange(context.Context, *wiregen.ExchangeRequest) (*wiregen.ExchangeReply, error) {
	entries, summaries := r.adverts()
	sequence := summaries[0].GetSequence()
	origin := &wiregen.ShareDelta{Origin: entries[0].GetName(), Incarnation: 1, Version: sequence, Beat: sequence, Full: true}
	origin.Items = append(origin.Items, &wiregen.ShareItem{Key: "n/" + entries[0].GetName(), Version: sequence, Fact: &wiregen.ShareItem_Entry{Entry: entries[0]}})
	for _, s := range summaries {
		origin.Items = append(origin.Items, &wiregen.ShareItem{Key: "s/" + s.GetService(), Version: sequence, Fact: &wiregen.ShareItem_Summary{Summary: s}})
	}
	return &wiregen.ExchangeReply{Entries: entries, Global: []*wiregen.ShareDelta{origin}}, nil
}

// countEndpoints returns the number of endpoints in a reply.
func countEndpoints(reply *wiregen.ExchangeReply) int {
	count := 0
	for _, d := range append(reply.GetLocal(), reply.GetGlobal()...) {
		for _, item := range d.GetItems() {
			if item.GetEndpoint() != nil {
				count++
			}
		}
	}
	return count
}

func (r *recorder) addEndpoints(endpoints int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints += endpoints
}

func (r *recorder) endpointCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints
}

// Forward answers with a single piece.
func (r *recorder) Forward(_ *wiregen.ForwardRequest, frames grpc.ServerStreamingServer[wiregen.ForwardFrame]) error {
	piece := &wiregen.ForwardFrame{Frame: &wiregen.ForwardFrame_Piece{Piece: &wiregen.ForwardPiece{Data: []byte("away ")}}}
	if err := frames.Send(piece); err != nil {
		return err
	}
	return frames.Send(&wiregen.ForwardFrame{Frame: &wiregen.ForwardFrame_End{End: &wiregen.ForwardEnd{Pieces: 1, FinishReason: "stop"}}})
}

// peerClient returns a client for the peer address of an entry.
func peerClient(t *testing.T, address string) wiregen.PeerClient {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return wiregen.NewPeerClient(conn)
}

// announceTo announces the recorder to an entry every 200 ms until the test ends.
func (r *recorder) announceTo(e *instance) {
	client := peerClient(r.t, e.peer)
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			entries, _ := r.adverts()
			reply, _ := client.Exchange(ctx, &wiregen.ExchangeRequest{
				Sender: "a-recorder-" + r.region, Region: r.region, Entries: entries,
			})
			r.addEndpoints(countEndpoints(reply))
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// editedInventory writes an edited copy of the Lunch Club inventory and returns its path.
func editedInventory(t *testing.T, edit func(map[string]any)) string {
	t.Helper()
	b, err := os.ReadFile(lunchClubInventory)
	if err != nil {
		t.Fatal(err)
	}
	var m map[string]any
	if err := json.Unmarshal(b, &m); err != nil {
		t.Fatal(err)
	}
	edit(m)
	if b, err = json.Marshal(m); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "inventory.json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// findItem returns the item of a list that has the name, or nil if there is none.
func findItem(m map[string]any, list, name string) map[string]any {
	for _, v := range m[list].([]any) {
		if one := v.(map[string]any); one["name"] == name {
			return one
		}
	}
	return nil
}

// withoutTeamLabels removes the labels of Karachi's team, so that its requests may be served in any region.
func withoutTeamLabels(m map[string]any) { delete(findItem(m, "teams", "karachi-club"), "labels") }

func TestBoundRequestStaysInItsRegions(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore"}, entriesPerRegion: 1, inventory: editedInventory(t, withoutTeamLabels)})
	forbidden := newRecorder(t, "peshawar", "menu-model", "club-desk")
	lahore := s.entries[0]
	forbidden.announceTo(lahore)
	s.until("an unrestricted request is served in another region", func() bool {
		return s.do(http.MethodPost, lahore.caller, chatPath, "karachi-demo-token", planBody).status == http.StatusOK
	})
	for range 5 {
		if a := s.do(http.MethodPost, lahore.caller, chatPath, lahoreToken, markedBody); a.status == http.StatusOK {
			t.Errorf("a restricted request was answered without capacity in its home region: %q", a.body)
		}
		s.do(http.MethodPost, lahore.caller, orderPath, lahoreToken, marker, "Idempotency-Key", "k1")
	}
	if forbidden.contains(marker) {
		t.Error("data of a restricted request reached a region that its labels do not allow")
	}
	allowed := newRecorder(t, "karachi", "menu-model")
	allowed.announceTo(lahore)
	s.until("a restricted request is served in an allowed region", func() bool {
		return s.do(http.MethodPost, lahore.caller, chatPath, lahoreToken, markedBody).status == http.StatusOK
	})
	if forbidden.contains(marker) || !allowed.contains(marker) {
		t.Errorf("the marker reached the forbidden region: %v, the allowed region: %v", forbidden.contains(marker), allowed.contains(marker))
	}
	for _, p := range s.processes {
		if strings.Contains(p.output(), marker) {
			t.Errorf("the log of %s contains the data of a request", p.name)
		}
	}
}

// TestResumeStaysInItsRegions kills the only engine of the home region during a stream while a forbidden region has
// capacity: the request must not be resumed there, and no endpoint may be sent to that region.
func TestResumeStaysInItsRegions(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore"}, entriesPerRegion: 1, inventory: editedInventory(t, withoutTeamLabels)})
	forbidden := newRecorder(t, "peshawar", "menu-model")
	lahore := s.entries[0]
	engine := s.engine("engine-lahore", "lahore", "menu-model", "dastarkhwan-menu", "--dieAfterTokens", "3")
	long := strings.Replace(markedBody, `"max_tokens":4`, `"max_tokens":64`, 1)
	s.until("the engine is known", func() bool { return s.hasEndpoint(lahore, "engine-lahore") })
	forbidden.announceTo(lahore)
	// The entry refuses requests until its dispatcher has read the endpoint, so a refusal does not mean that the engine
	// got the request.
	s.until("a stream ends with its engine", func() bool {
		s.do(http.MethodPost, lahore.caller, chatPath, lahoreToken, long)
		select {
		case <-engine.done:
			return true
		default:
			return false
		}
	})
	for range 3 {
		s.do(http.MethodPost, lahore.caller, chatPath, lahoreToken, long)
	}
	s.until("an unrestricted request is served in another region", func() bool {
		return s.do(http.MethodPost, lahore.caller, chatPath, "karachi-demo-token", planBody).status == http.StatusOK
	})
	if forbidden.contains(marker) {
		t.Error("a resumed request reached a region that its labels do not allow")
	}
	if n := forbidden.endpointCount(); n > 0 {
		t.Errorf("%d endpoints were sent to another region with their cache events", n)
	}
}

// hasEndpoint reports whether an entry knows an endpoint of its region.
func (s *system) hasEndpoint(e *instance, endpoint string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+e.peer, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return false
	}
	defer conn.Close()
	reply, err := wiregen.NewPlacementClient(conn).Region(ctx, &wiregen.RegionRequest{Endpoints: true})
	if err != nil {
		return false
	}
	return slices.ContainsFunc(reply.GetEndpoints(), func(m *wiregen.EndpointState) bool { return m.GetAnnouncement().GetName() == endpoint })
}

func TestArrivalInForbiddenRegionIsRefused(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore", "peshawar"}, entriesPerRegion: 1, inventory: lunchClubInventory})
	peshawar := s.entries[1]
	s.engine("engine-peshawar", "peshawar", "menu-model", "dastarkhwan-menu")
	s.service("desk-peshawar", "peshawar", "club-desk")
	s.until("a plan is answered", func() bool {
		return s.do(http.MethodPost, peshawar.caller, chatPath, "peshawar-demo-token", planBody).status == http.StatusOK
	})
	// An earlier attempt with the same key may have run the order, and the forbidden region has no record of it.
	for path, want := range map[string]string{chatPath: "notRun", orderPath: "outcomeUnknown"} {
		a := s.do(http.MethodPost, peshawar.caller, path, lahoreToken, markedBody, "Idempotency-Key", "k2")
		if code, outcome := a.problemCode(); code != "residencyRefused" || outcome != want {
			t.Errorf("%s answered %d %q %q, want outcome %q", path, a.status, code, outcome, want)
		}
	}
	a := s.do(http.MethodGet, peshawar.caller, "/v1/entries", lahoreToken, "")
	if strings.Contains(a.body, peshawar.caller) || !strings.Contains(a.body, s.entries[0].caller) {
		t.Errorf("a team of lahore was referred to %q", a.body)
	}
}

func TestReceiverDecidesWithItsOwnInventory(t *testing.T) {
	s := newSystem(t, options{regions: []string{"lahore"}, entriesPerRegion: 1, inventory: lunchClubInventory})
	lahore := s.entries[0]
	s.engine("engine-lahore", "lahore", "menu-model", "dastarkhwan-menu")
	s.until("a plan is answered", func() bool {
		return s.do(http.MethodPost, lahore.caller, chatPath, lahoreToken, planBody).status == http.StatusOK
	})
	client := peerClient(t, lahore.peer)
	forward := func(team string, revision int64, labels ...string) string {
		ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
		defer cancel()
		frames, err := client.Forward(ctx, &wiregen.ForwardRequest{
			CorrelationId: "forwarded", Team: team, RequestClass: "plan", Labels: labels, Service: "menu-model", Model: "dastarkhwan-menu",
			Method: http.MethodPost, Path: chatPath, ContentType: "application/json", Body: []byte(planBody), Streaming: true,
			RemainingMillis: 10_000, Revision: revision, ViaInstances: []string{"entry-old"}, ViaRegions: []string{"karachi"},
		})
		if err != nil {
			t.Fatal(err)
		}
		for {
			frame, err := frames.Recv()
			if err != nil {
				t.Fatal(err)
			}
			if p := frame.GetProblem(); p != nil {
				return p.GetCode()
			}
			if frame.GetEnd() != nil {
				return "answered"
			}
		}
	}
	check := func(name, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
	check("same rules", forward("karachi-club", 1, "karachi-diet-records"), "answered")
	check("sender newer, label unknown to the receiver", forward("karachi-club", 9, "karachi-diet-records", "new-label"), "residencyRefused")
	check("sender newer, team unknown to the receiver", forward("new-club", 9), "residencyRefused")
	s.apply(editedInventory(t, func(m map[string]any) {
		findItem(m, "labels", "karachi-diet-records")["allowedRegions"] = []string{"karachi"}
	}))
	s.until("the receiver refuses by its newer inventory", func() bool {
		return forward("karachi-club", 1, "karachi-diet-records") == "residencyRefused"
	})
	check("sender older, label left out", forward("karachi-club", 1), "residencyRefused")
}
