package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/access"
	"arbutusreel/capacity"
	"arbutusreel/configuration"
	"arbutusreel/problem"
	"arbutusreel/routes"
)

// testKey is the key of the team "a" in tests.
const testKey = "m68k7b2ex5wa5xwyhks8"

// teamTable returns the table of testTable with teams, each with the key of its name; that of "a" is testKey. The route of
// safe requests is public.
func teamTable(t testing.TB, names ...string) *routes.Table {
	t.Helper()
	var teams []routes.Team
	for _, name := range names {
		key := name
		if name == "a" {
			key = testKey
		}
		teams = append(teams, routes.Team{Name: name, Credentials: []routes.Credential{routes.NewCredential(key)}})
	}
	table, err := testTable(t, func(r *routes.Route) { r.Public = r.Kind == routes.Safe }).WithTeams(teams)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func (g *testGateway) changeView(change func(*view)) {
	v := *g.view.Load()
	change(&v)
	g.view.Store(&v)
}

// answering returns a script that answers each request, with a stream if the path asks for one.
func answering() endpointScript {
	return func(c *endpointConn, r *http.Request, _ int) bool {
		if !strings.HasPrefix(r.URL.Path, "/stream/") {
			c.plain(r.Header.Get("Id"), http.StatusOK, "done")
			return true
		}
		c.head(r.Header.Get("Id"))
		for n := len(r.Header.Get("Last")); n < 4; n++ {
			c.event(n + len(r.Header.Get("Last")))
		}
		c.end()
		return true
	}
}

func failing() endpointScript {
	return func(c *endpointConn, r *http.Request, _ int) bool {
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			c.head(r.Header.Get("Id"))
			c.event(0)
			c.event(1)
			time.Sleep(20 * time.Millisecond)
		}
		return c.reset()
	}
}

// TestCredentials guards against requests that run without a known credential, refused callers that are authorized, and
// names of teams that callers forge.
func TestCredentials(t *testing.T) {
	e := newEndpoint(t, "e", answering())
	g := newGateway(t, teamTable(t, "a", "b"), e)
	for name, c := range map[string]struct {
		path   string
		header map[string]string
		status int
		team   string
	}{
		"known":              {"/unsafe/x", map[string]string{"Key": testKey}, http.StatusOK, "a"},
		"known, public":      {"/safe/x", map[string]string{"Key": "b"}, http.StatusOK, "b"},
		"missing, public":    {"/safe/x", nil, http.StatusOK, ""},
		"forged":             {"/unsafe/x", map[string]string{"Key": testKey, "Team": "b"}, http.StatusOK, "a"},
		"forged, public":     {"/safe/x", map[string]string{"Team": "b"}, http.StatusOK, ""},
		"missing":            {"/unsafe/x", nil, http.StatusUnauthorized, ""},
		"unknown":            {"/unsafe/x", map[string]string{"Key": "x"}, http.StatusUnauthorized, ""},
		"unknown, public":    {"/safe/x", map[string]string{"Key": "x"}, http.StatusUnauthorized, ""},
		"named by a caller":  {"/unsafe/x", map[string]string{teamHeader: "a"}, http.StatusUnauthorized, ""},
		"no route, no key":   {"/other/x", nil, http.StatusNotFound, ""},
		"no route, unknown":  {"/other/x", map[string]string{"Key": "x"}, http.StatusNotFound, ""},
		"stream without key": {"/stream/x", nil, http.StatusUnauthorized, ""},
	} {
		t.Run(name, func(t *testing.T) {
			before := len(e.requests())
			got := g.call(t.Context(), "POST", c.path, c.header)
			if got.status != c.status {
				t.Fatalf("%+v", got)
			}
			if got.status == http.StatusUnauthorized && got.header.Get(codeHeader) != string(problem.UnknownCredential) {
				t.Errorf("code %q", got.header.Get(codeHeader))
			}
			arrived := e.requests()[before:]
			if (len(arrived) == 1) != (c.status == http.StatusOK) {
				t.Fatalf("%d requests ran", len(arrived))
			}
			for _, r := range arrived {
				if h := r.Header; h.Get("Team") != c.team || h.Get("Key") != "" || h.Get(teamHeader) != "" {
					t.Errorf("the endpoint got %v", h)
				}
			}
		})
	}
}

// TestWithoutTeams guards against a table without teams that asks for credentials or removes them.
func TestWithoutTeams(t *testing.T) {
	e := newEndpoint(t, "e", answering())
	g := newGateway(t, testTable(t, nil), e)
	for _, key := range []string{"", "any"} {
		if got := g.call(t.Context(), "POST", "/unsafe/x", map[string]string{"Key": key}); got.status != http.StatusOK {
			t.Errorf("%+v", got)
		}
		if h := e.requests()[len(e.requests())-1].Header; h.Get("Key") != key || h.Get("Team") != "" {
			t.Errorf("the endpoint got %v", h)
		}
	}
}

// syncBuffer is a buffer that several goroutines write to.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// newRecordingForwardServer serves what other gateways forward to g, and records the headers.
func newRecordingForwardServer(t *testing.T, g *testGateway) (address string, headers func() []http.Header) {
	t.Helper()
	var mu sync.Mutex
	var all []http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		all = append(all, r.Header.Clone())
		mu.Unlock()
		g.serve(w, r, true)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), func() []http.Header {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(all)
	}
}

// TestKeyStaysHidden guards against a key that reaches an endpoint, another gateway, the log, the metrics or an answer, on each
// way that a request may take, and against requests whose team is lost on the way.
func TestKeyStaysHidden(t *testing.T) {
	for name, c := range map[string]struct {
		path, key   string
		here, there []endpointScript
		// handed has the gateway doubt that it reaches endpoints, and there be a gateway of its own region.
		handed    bool
		status    int
		forwarded bool
	}{
		"first send":            {path: "/unsafe/x", here: []endpointScript{answering()}, status: 200},
		"retry":                 {path: "/safe/x", here: []endpointScript{failing(), answering()}, status: 200},
		"resume":                {path: "/stream/x", here: []endpointScript{failing(), answering()}, status: 200},
		"forward":               {path: "/unsafe/x", there: []endpointScript{answering()}, status: 200, forwarded: true},
		"forward after failure": {path: "/safe/x", here: []endpointScript{failing()}, there: []endpointScript{answering()}, status: 200, forwarded: true},
		"forwarded resume":      {path: "/stream/x", here: []endpointScript{failing()}, there: []endpointScript{answering()}, status: 200, forwarded: true},
		"retry after forward":   {path: "/safe/x", there: []endpointScript{failing(), answering()}, status: 200, forwarded: true},
		"hand-over":             {path: "/unsafe/x", here: []endpointScript{answering(), answering()}, there: []endpointScript{answering()}, handed: true, status: 200, forwarded: true},
		"hand-over of a stream": {path: "/stream/x", here: []endpointScript{answering(), answering()}, there: []endpointScript{answering()}, handed: true, status: 200, forwarded: true},
		"failure":               {path: "/unsafe/x", here: []endpointScript{failing()}, status: 502},
		"no endpoint":           {path: "/unsafe/x", status: 503},
		"unknown key":           {path: "/unsafe/x", key: testKey + "x", here: []endpointScript{answering()}, status: 401},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := &syncBuffer{}
			start := func(prefix string, scripts []endpointScript) (*testGateway, []*testEndpoint) {
				var endpoints []*testEndpoint
				for i, script := range scripts {
					endpoints = append(endpoints, newEndpoint(t, fmt.Sprint(prefix, i), script))
				}
				g := newGateway(t, teamTable(t, "a", "b"), endpoints...)
				g.log = zerolog.New(log)
				return g, endpoints
			}
			here, endpoints := start("here", c.here)
			there, others := start("there", c.there)
			connectRegions(t, here, there)
			address, forwarded := newRecordingForwardServer(t, there)
			here.changeView(func(v *view) {
				v.gateways[0].ForwardAddress = address
				if c.handed {
					there.cfg.Region, there.placer.cfg.Region = "here", "here"
					v.gateways[0].Region, v.capacities = "here", nil
				} else if len(c.there) == 0 {
					v.gateways, v.capacities = nil, nil
				}
			})
			if c.handed {
				for _, e := range endpoints {
					here.placer.reach.recordUnconnected(e.id, len(endpoints))
				}
			}
			key := testKey
			if c.key != "" {
				key = c.key
			}
			got := here.call(t.Context(), "POST", c.path, map[string]string{"Key": key, "Team": "forged", teamHeader: "b"})
			if got.status != c.status || len(forwarded()) > 0 != c.forwarded {
				t.Fatalf("%+v, forwarded %v", got, forwarded())
			}
			for _, e := range append(endpoints, others...) {
				for _, r := range e.requests() {
					if r.Header.Get("Team") != "a" || strings.Contains(fmt.Sprint(r.Header), testKey) {
						t.Errorf("endpoint %s got %v", e.id, r.Header)
					}
				}
			}
			for _, h := range forwarded() {
				if h.Get(teamHeader) != "a" || h.Get("Team") != "a" || strings.Contains(fmt.Sprint(h), testKey) {
					t.Errorf("the other gateway got %v", h)
				}
			}
			for what, text := range map[string]string{
				"answer": fmt.Sprint(got), "log": log.String(), "metrics": here.cfg.Metrics.String() + there.cfg.Metrics.String(),
			} {
				if strings.Contains(text, testKey) {
					t.Errorf("the key is in the %s: %s", what, text)
				}
			}
			if known := c.key == ""; strings.Contains(log.String(), `"team":"a"`) != known || strings.Contains(here.cfg.Metrics.String(), `"a": {"admitted": 1`) != known {
				t.Errorf("log %s, metrics %s", log, here.cfg.Metrics)
			}
		})
	}
}

// TestRevokedOnKeptConnection guards against a connection that goes on with a credential after its revocation.
func TestRevokedOnKeptConnection(t *testing.T) {
	e := newEndpoint(t, "e", answering())
	g := newGateway(t, teamTable(t, "a", "b"), e)
	reused := 0
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		if c.Reused {
			reused++
		}
	}})
	for i, want := range []int{http.StatusOK, http.StatusUnauthorized, http.StatusOK} {
		g.changeView(func(v *view) {
			v.table = []*routes.Table{teamTable(t, "a", "b"), teamTable(t, "b"), teamTable(t, "a")}[i]
		})
		if got := g.call(ctx, "POST", "/unsafe/x", map[string]string{"Key": testKey}); got.status != want {
			t.Errorf("request %d: %+v", i, got)
		}
	}
	if len(e.requests()) != 2 || reused != 2 {
		t.Errorf("%d requests ran, %d on a kept connection", len(e.requests()), reused)
	}
}

// TestRevokedInProgress guards against a request in progress that is sent with a revoked credential, and against a status that
// says of one that may have run that it has not.
func TestRevokedInProgress(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		script func(c *endpointConn) bool
		status int
		whole  bool
	}{
		"rejected": {"/unsafe/x", func(c *endpointConn) bool {
			fmt.Fprint(c, "HTTP/1.1 503 Full\r\nRejected: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}, http.StatusServiceUnavailable, true},
		"may have run": {"/safe/x", func(c *endpointConn) bool { return c.reset() }, http.StatusBadGateway, true},
		"stream broken": {"/stream/x", func(c *endpointConn) bool {
			c.head("request-1")
			c.event(0)
			time.Sleep(20 * time.Millisecond)
			return c.reset()
		}, http.StatusOK, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var g *testGateway
			other := newEndpoint(t, "other", answering())
			first := newEndpoint(t, "first", func(conn *endpointConn, _ *http.Request, _ int) bool {
				g.changeView(func(v *view) { v.table = teamTable(t, "b") })
				return c.script(conn)
			})
			g = newGateway(t, teamTable(t, "a"), first, other)
			got := g.call(t.Context(), "POST", c.path, map[string]string{"Key": testKey})
			if got.status != c.status || got.whole != c.whole || len(first.requests()) != 1 || len(other.requests()) != 0 {
				t.Errorf("%+v, %d and %d requests", got, len(first.requests()), len(other.requests()))
			}
		})
	}
	t.Run("nothing sent", func(t *testing.T) {
		e := newEndpoint(t, "e", answering())
		g := newGateway(t, teamTable(t, "a"), e)
		body, w := io.Pipe()
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, g.server.URL+"/unsafe/x", body)
		if err != nil {
			t.Fatal(err)
		}
		r.Host, r.ContentLength, r.Header = testHost, 2, http.Header{"Key": {testKey}, "Id": {"request-1"}}
		go func() {
			_, _ = w.Write([]byte("o"))
			time.Sleep(100 * time.Millisecond)
			g.changeView(func(v *view) { v.table = teamTable(t, "b") })
			_, _ = w.Write([]byte("k"))
			_ = w.Close()
		}()
		a, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close()
		if a.StatusCode != http.StatusUnauthorized || a.Header.Get(outcomeHeader) != string(problem.NotRun) || len(e.requests()) != 0 {
			t.Errorf("status %d, %v, %d requests", a.StatusCode, a.Header, len(e.requests()))
		}
	})
}

// TestForwardedToOlderDocument guards against a gateway with an older document that runs a request whose team it does not know,
// or refuses it to its caller, who is authorized.
func TestForwardedToOlderDocument(t *testing.T) {
	for name, older := range map[string]*routes.Table{"without the team": teamTable(t, "b"), "without teams": testTable(t, nil)} {
		t.Run(name, func(t *testing.T) {
			remote := newEndpoint(t, "remote", answering())
			here, there := newGateway(t, teamTable(t, "a")), newGateway(t, older, remote)
			connectRegions(t, here, there)
			got := here.call(t.Context(), "POST", "/unsafe/x", map[string]string{"Key": testKey})
			if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || len(remote.requests()) != 0 {
				t.Errorf("%+v, %d requests ran", got, len(remote.requests()))
			}
		})
	}
	t.Run("from an older document", func(t *testing.T) {
		remote := newEndpoint(t, "remote", answering())
		here, there := newGateway(t, testTable(t, nil)), newGateway(t, teamTable(t, "a"), remote)
		connectRegions(t, here, there)
		for key, want := range map[string]int{testKey: http.StatusOK, "x": http.StatusServiceUnavailable} {
			if got := here.call(t.Context(), "POST", "/unsafe/x", map[string]string{"Key": key}); got.status != want {
				t.Errorf("key %q: %+v", key, got)
			}
		}
		if all := remote.requests(); len(all) != 1 || all[0].Header.Get("Team") != "a" || all[0].Header.Get("Key") != "" {
			t.Errorf("%d requests ran", len(all))
		}
	})
}

// TestOlderDocumentAfterNewer guards against a credential that works again after its revocation, because an older document
// arrives late.
func TestOlderDocumentAfterNewer(t *testing.T) {
	cfg := testConfig()
	cfg.Decode = func(d configuration.Document) (*routes.Table, error) {
		return teamTable(t, strings.Fields(string(d.Content))...), nil
	}
	st := newFleetState(cfg)
	for _, d := range []configuration.Document{{Version: 1, Content: []byte("a b")}, {Version: 3, Content: []byte("b")}, {Version: 2, Content: []byte("a b")}} {
		if _, err := st.updateDocument(d); err != nil {
			t.Fatal(err)
		}
	}
	if st.table.TeamNamed("a") != nil || st.table.TeamNamed("b") == nil {
		t.Error("an older document is in force")
	}
}

// TestStrictRevocationAtGateway guards against a gateway that serves callers although it has not been in touch for the time of
// the setting.
func TestStrictRevocationAtGateway(t *testing.T) {
	e := newEndpoint(t, "e", answering())
	g := newGateway(t, teamTable(t, "a"), e)
	g.cfg.Access = access.Policy{StrictRevocation: true, RevocationTime: time.Second}
	for _, c := range []struct {
		path   string
		age    time.Duration
		status int
	}{{"/unsafe/x", 0, 200}, {"/unsafe/x", time.Hour, 503}, {"/safe/x", time.Hour, 200}} {
		g.changeView(func(v *view) { v.currentAt = time.Now().Add(-c.age) })
		got := g.call(t.Context(), "POST", c.path, map[string]string{"Key": testKey})
		if got.status != c.status || c.status == 503 && (got.header.Get(codeHeader) != string(problem.NotReady) || got.header.Get("Retry-After") == "") {
			t.Errorf("%+v: %+v", c, got)
		}
	}
}

// TestHomesOfRouteAndTeam guards against a request that is served where only its route or only its team allows it.
func TestHomesOfRouteAndTeam(t *testing.T) {
	for name, c := range map[string]struct {
		route, team []string
		status      int
		here, there int
	}{
		"both allow":              {nil, []string{"here"}, 200, 1, 0},
		"team elsewhere":          {nil, []string{"there"}, 200, 0, 1},
		"route elsewhere":         {[]string{"there"}, []string{"here", "there"}, 200, 0, 1},
		"nothing in common":       {[]string{"here"}, []string{"there"}, 503, 0, 0},
		"in a region without any": {nil, []string{"nowhere"}, 503, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table, err := testTable(t, func(r *routes.Route) { r.HomeRegions = c.route }).WithTeams([]routes.Team{
				{Name: "a", Credentials: []routes.Credential{routes.NewCredential(testKey)}, HomeRegions: c.team},
			})
			if err != nil {
				t.Fatal(err)
			}
			local, remote := newEndpoint(t, "local", answering()), newEndpoint(t, "remote", answering())
			here, there := newGateway(t, table, local), newGateway(t, table, remote)
			connectRegions(t, here, there)
			address, forwarded := newRecordingForwardServer(t, there)
			here.changeView(func(v *view) { v.gateways[0].ForwardAddress = address })
			got := here.call(t.Context(), "POST", "/unsafe/x", map[string]string{"Key": testKey})
			if got.status != c.status || len(local.requests()) != c.here || len(remote.requests()) != c.there || len(forwarded()) != c.there {
				t.Errorf("%+v, %d and %d requests, %d forwarded", got, len(local.requests()), len(remote.requests()), len(forwarded()))
			}
		})
	}
}

// TestHomesCheckedByReceiver guards against a request that a gateway with another document forwarded to a region which is no
// home of its team.
func TestHomesCheckedByReceiver(t *testing.T) {
	table, err := testTable(t, nil).WithTeams([]routes.Team{
		{Name: "a", Credentials: []routes.Credential{routes.NewCredential(testKey)}, HomeRegions: []string{"here"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	remote := newEndpoint(t, "remote", answering())
	here, there := newGateway(t, teamTable(t, "a")), newGateway(t, table, remote)
	connectRegions(t, here, there)
	if got := here.call(t.Context(), "POST", "/unsafe/x", map[string]string{"Key": testKey}); got.status != http.StatusServiceUnavailable || len(remote.requests()) != 0 {
		t.Errorf("%+v, %d requests", got, len(remote.requests()))
	}
}

// TestPriorityOfTeam guards against requests that are ranked or scheduled by their route's priority although their team has
// one.
func TestPriorityOfTeam(t *testing.T) {
	route := &routes.Route{Priority: 3}
	for _, c := range []struct {
		team *routes.Team
		want int
	}{{nil, 3}, {&routes.Team{Priority: 0}, 3}, {&routes.Team{HasPriority: true}, 0}, {&routes.Team{Priority: 5, HasPriority: true}, 5}} {
		j := &job{route: route, team: c.team, service: &routes.Service{Engine: &routes.Engine{}}}
		q := query{route: route, team: c.team}
		if q.priority() != c.want || j.urgency(capacity.Take) != min(1+c.want, 6) {
			t.Errorf("%+v: priority %d, urgency %d", c.team, q.priority(), j.urgency(capacity.Take))
		}
	}
}

// TestCrashEvidenceOfTeam guards against crash evidence that depends on the key, so that callers of one team with two keys are
// taken for two, and against a digest from which a key could be guessed.
func TestCrashEvidenceOfTeam(t *testing.T) {
	table := teamTable(t, "a")
	identity := func(key string) string {
		j := &job{view: &view{table: table}, call: Call{Caller: key}, team: table.TeamNamed("a")}
		return j.callerIdentity()
	}
	if identity(testKey) != "a" || identity("second") != "a" {
		t.Errorf("identities %q and %q", identity(testKey), identity("second"))
	}
}
