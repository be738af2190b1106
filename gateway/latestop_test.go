package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusreel/fleet"
	"arbutusreel/problem"
	"arbutusreel/routes"
)

// rawCaller sends requests over one connection.
type rawCaller struct {
	conn net.Conn
	in   *bufio.Reader
}

func newRawCaller(t *testing.T, address string) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &rawCaller{conn: conn, in: bufio.NewReader(conn)}
}

// rawAnswer is an answer over a raw connection.
type rawAnswer struct {
	status int
	header http.Header
	body   string
	// closes reports that the connection ends with the answer.
	closes bool
	err    error
}

// send sends a request and returns its answer; the error is set if there is none, or if it is not whole.
func (c *rawCaller) send(id, path string) rawAnswer {
	fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nId: %s\r\nPatience: 5000\r\nContent-Length: 0\r\n\r\n", path, testHost, id)
	answer, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return rawAnswer{err: err}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return rawAnswer{status: answer.StatusCode, header: answer.Header, body: string(body), closes: answer.Close, err: err}
}

// TestLateRequestsCutAtStop stops one gateway in calm and sends requests late in its grace period, over kept, new and forwarded
// connections: those that take longer than what is left are refused as not run, and reach no endpoint, while the short ones, and
// long ones that came in time, are served.
func TestLateRequestsCutAtStop(t *testing.T) {
	const (
		grace = 4300 * time.Millisecond
		long  = 2200 * time.Millisecond
		// A long request is accepted until 1.05 s after the stop, and one of unknown duration until 2.8 s.
		earlyAt = 200 * time.Millisecond
		lateAt  = 1800 * time.Millisecond
	)
	var mu sync.Mutex
	ran := map[string]bool{}
	endpoint := newEndpoint(t, "a", func(c *endpointConn, r *http.Request, _ int) bool {
		mu.Lock()
		ran[r.Header.Get("Id")] = true
		mu.Unlock()
		if strings.HasPrefix(r.URL.Path, "/unsafe/") {
			time.Sleep(long)
		}
		c.plain(r.Header.Get("Id"), http.StatusOK, "answer")
		return true
	})
	g := newGateway(t, testTable(t, nil), endpoint)
	g.cfg.Grace = grace
	v := *g.view.Load()
	v.gateways = []fleet.Gateway{{Name: "gateway-b", Region: "here", Ready: true}}
	g.view.Store(&v)
	callers := g.server.Listener.Addr().String()
	forwards := newForwardServer(t, g)

	kept := map[string]*rawCaller{}
	var wg sync.WaitGroup
	for _, address := range []string{callers, forwards} {
		for n := range 3 {
			c := newRawCaller(t, address)
			kept[fmt.Sprintf("%s-%d", map[bool]string{true: "caller", false: "forward"}[address == callers], n)] = c
			wg.Go(func() {
				if got := c.send("calm-"+strconv.Itoa(n), "/unsafe/x"); got.err != nil || got.status != http.StatusOK {
					t.Errorf("in calm: %+v", got)
				}
			})
		}
	}
	wg.Wait()
	stopped := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(stopped)
		g.stop()
	}()
	early := newRawCaller(t, callers)
	wg.Go(func() {
		time.Sleep(time.Until(began.Add(earlyAt)))
		if got := early.send("early", "/unsafe/x"); got.err != nil || got.status != http.StatusOK {
			t.Errorf("early in the grace period: %+v", got)
		}
	})
	time.Sleep(time.Until(began.Add(lateAt)))
	late := map[string]*rawCaller{"new-caller": newRawCaller(t, callers), "new-forward": newRawCaller(t, forwards)}
	for name, c := range kept {
		late[name] = c
	}
	for name, c := range late {
		wg.Go(func() {
			got := c.send(name, "/unsafe/x")
			if got.status != http.StatusServiceUnavailable || got.err != nil || got.header.Get(outcomeHeader) != string(problem.NotRun) || !got.closes {
				t.Errorf("%s: %+v", name, got)
			}
		})
	}
	short := newRawCaller(t, callers)
	if got := short.send("short", "/"+routes.Safe.String()+"/x"); got.err != nil || got.status != http.StatusOK {
		t.Errorf("short: %+v", got)
	}
	wg.Wait()
	<-stopped
	for name := range late {
		if ran[name] {
			t.Errorf("%s ran and was refused", name)
		}
	}
}
