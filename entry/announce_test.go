package entry

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protojson"

	"arbutusreel/membership"
	"arbutusreel/wire"
	"arbutusreel/wiregen"
)

// fullAnnouncement returns the full announcement of endpoint i.
func fullAnnouncement(i int, sequence int64) *wiregen.Announcement {
	return &wiregen.Announcement{
		Name: fmt.Sprint("engine-lahore-", i), Incarnation: 1796334829000000000, Sequence: sequence, Address: "10.100.200.30:9000",
		Region: "lahore", FailureDomain: "lahore-a", Service: "reel-counsel", Models: []string{"arrangements-v1"}, Slots: 8, Load: loadReport(sequence),
	}
}

func loadReport(sequence int64) *wiregen.LoadReport {
	return &wiregen.LoadReport{Running: 4, Queued: sequence % 7, QueuedTokens: 900, TokensPerSecond: 320, PrefillTokensPerSecond: 5000, CacheUse: 0.7}
}

func renewalOf(i int, sequence, fullSequence int64, load *wiregen.LoadReport) *wiregen.Announcement {
	return &wiregen.Announcement{Name: fmt.Sprint("engine-lahore-", i), Incarnation: 1796334829000000000, Sequence: sequence, Renews: fullSequence, Load: load}
}

// post sends an announcement, without a User-Agent header if lean is set, and returns the status and the reply.
func post(tb testing.TB, client *http.Client, address string, m *wiregen.Announcement, lean bool) (int, *wiregen.AnnouncementReply) {
	body, err := protojson.Marshal(m)
	if err != nil {
		tb.Fatal(err)
	}
	req, err := http.NewRequestWithContext(tb.Context(), http.MethodPost, "http://"+address+"/v1/announcements", bytes.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	if lean {
		req.Header.Set("User-Agent", "")
	}
	resp, err := client.Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	reply := &wiregen.AnnouncementReply{}
	if err == nil && resp.StatusCode == http.StatusOK {
		err = wire.DecodeJSON(b, reply)
	}
	if err != nil {
		tb.Fatal(err)
	}
	return resp.StatusCode, reply
}

func TestRenewal(t *testing.T) {
	now := time.Unix(1000, 0)
	n := New(Config{Self: membership.Entry{Name: "entry", Region: "lahore"}, AnnouncementLease: 3 * time.Second}, zerolog.Nop(), func() time.Time { return now })
	server := httptest.NewServer(n.endpointHandler())
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	restarted := renewalOf(0, 9, 2, nil)
	restarted.Incarnation++
	leaving := fullAnnouncement(0, 9)
	leaving.Leaving = true
	steps := []struct {
		name      string
		wait      time.Duration
		message   *wiregen.Announcement
		wantWhole bool
		// wantSequence and wantQueued are those of the known endpoint, or 0 if none is known.
		wantSequence int64
		wantQueued   int
	}{
		{"a renewal of an unknown endpoint", 0, renewalOf(0, 1, 1, nil), true, 0, 0},
		{"whole", 0, fullAnnouncement(0, 2), false, 2, 2},
		{"a renewal keeps the rest", 2 * time.Second, renewalOf(0, 3, 2, nil), false, 3, 2},
		{"a renewal with a load", 2 * time.Second, renewalOf(0, 5, 2, loadReport(5)), false, 5, 5},
		{"a late renewal changes nothing", 0, renewalOf(0, 4, 2, loadReport(4)), false, 5, 5},
		{"a renewal of another whole announcement", 0, renewalOf(0, 8, 7, nil), true, 5, 5},
		{"a renewal by another start", 0, restarted, true, 5, 5},
		{"a renewal after the lease", 3 * time.Second, renewalOf(0, 8, 2, nil), true, 0, 0},
		{"leaving", 0, leaving, false, 9, 2},
		{"a renewal of one that leaves", 0, renewalOf(0, 10, 9, nil), true, 9, 2},
	}
	for _, step := range steps {
		now = now.Add(step.wait)
		_, reply := post(t, server.Client(), address, step.message, true)
		if reply.GetWantsWhole() != step.wantWhole {
			t.Errorf("%s: wants whole %v", step.name, reply.GetWantsWhole())
		}
		n.state.endpointViewAt = time.Time{}
		endpoints := n.state.Endpoints()
		switch {
		case len(endpoints) != min(1, int(step.wantSequence)):
			t.Errorf("%s: %d endpoints", step.name, len(endpoints))
		case len(endpoints) == 1 && (endpoints[0].Sequence != step.wantSequence || endpoints[0].Load.Queued != step.wantQueued || endpoints[0].Slots != 8):
			t.Errorf("%s: %+v", step.name, endpoints[0])
		}
	}
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkAnnouncement measures the bytes on the HTTP connections and the CPU time of both sides per announcement.
func BenchmarkAnnouncement(b *testing.B) {
	modes := []struct {
		name    string
		lean    bool
		message func(i int, sequence int64) *wiregen.Announcement
	}{
		{"whole", false, fullAnnouncement},
		{"renewalWithLoad", true, func(i int, sequence int64) *wiregen.Announcement {
			return renewalOf(i, sequence, 1, loadReport(sequence))
		}},
		{"renewal", true, func(i int, sequence int64) *wiregen.Announcement { return renewalOf(i, sequence, 1, nil) }},
	}
	for _, mode := range modes {
		for _, endpoints := range []int{10, 100, 295} {
			b.Run(fmt.Sprintf("%s/endpoints=%d", mode.name, endpoints), func(b *testing.B) {
				n := New(Config{Self: membership.Entry{Name: "entry", Region: "lahore", EndpointAddress: "10.100.200.30:8081"}, AnnouncementLease: time.Hour}, zerolog.Nop(), time.Now)
				n.state.updateEntry(n.cfg.Self)
				var count atomic.Int64
				server := httptest.NewUnstartedServer(n.endpointHandler())
				server.Listener = countingListener{server.Listener, &count}
				server.Start()
				defer server.Close()
				address := server.Listener.Addr().String()
				client := &http.Client{Transport: &http.Transport{DisableCompression: mode.lean}}
				for i := range endpoints {
					post(b, client, address, fullAnnouncement(i, 1), mode.lean)
				}
				count.Store(0)
				began := cpuTime()
				sequence, sent := int64(1), 0
				for b.Loop() {
					if sent%endpoints == 0 {
						sequence++
					}
					if _, reply := post(b, client, address, mode.message(sent%endpoints, sequence), mode.lean); reply.GetWantsWhole() {
						b.Fatal("the renewal was not taken")
					}
					sent++
				}
				b.ReportMetric(float64(count.Load())/float64(sent), "B/announcement")
				b.ReportMetric(float64((cpuTime()-began).Microseconds())/float64(sent), "cpu-us/announcement")
			})
		}
	}
}

// cpuTime returns the CPU time used by the process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
