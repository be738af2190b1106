//go:build review3

// Command stand-3 plays the operator, the workers, the clients and the network between the operator and the core for review case 11.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	held, broken, unable = 0, 1, 2

	controls = 3
	zone     = "one"
	// Bounds of the site files.
	evacuateTime      = 5 * time.Second
	connectivityTime  = 6 * time.Second
	operatorPatience  = time.Second
	cutTime           = 6 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
)

// world is the state of a run.
type world struct {
	prefix, program, dir string
	began                time.Time
	mu                   sync.Mutex
	record               *bufio.Writer
	processes            []*exec.Cmd
	arrivals             []arrival
	served, failed       int
}

// arrival is a request that a worker ran.
type arrival struct {
	at              time.Time
	zone, id, front string
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
}

func (w *world) ip(n int) string { return fmt.Sprintf("%s.%d", w.prefix, n) }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-3 PROGRAM RECORD")
		os.Exit(unable)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(program, recordPath string, trouble bool) int {
	f, err := os.Create(recordPath)
	if err != nil {
		return unable
	}
	defer f.Close()
	w := &world{program: program, began: time.Now(), record: bufio.NewWriter(f)}
	defer w.record.Flush()
	w.dir, err = os.MkdirTemp("", "review-11-")
	if err != nil {
		return unable
	}
	defer os.RemoveAll(w.dir)
	claim := w.claim()
	if claim == nil {
		return unable
	}
	defer claim.Close()
	defer w.endAll()
	code, err := w.play(trouble)
	if err != nil {
		w.note("the case could not run: %v", err)
		return unable
	}
	return code
}

// claim reserves a range of loopback addresses that no other run uses.
func (w *world) claim() net.Listener {
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		if l, err := net.Listen("tcp", w.ip(1)+":21600"); err == nil {
			return l
		}
	}
	return nil
}

const settings = `node_name=%s
role=%s
machine_class=%s
serves=%s
ip=%s
zone=%s
region=home
zones.one=home
zones.two=home
%s
internal_ports=7380,7395
seeds=%s
bootstrap=true
loss_counts=%v
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=128
discovery=registry
entry=directory
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,places
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=1
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.connectivity_window_ms=6000
bounds.ack_ms=8000
bounds.catch_up_s=4
bounds.drain_ms=4000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_ms=4000
bounds.downgrade_ms=250
bounds.max_stretch_ms=10000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=54
bounds.cold_burst_factor=1.5
bounds.cold_slack=3
bounds.evacuate_ms=5000
bounds.recover_s=12
bounds.ttl_max_s=5
config_mode=highest
`

// start starts a program of the deploy file with a settings file.
func (w *world) start(role, name, ip, zone, listen string, counts bool) error {
	var seeds []string
	for i := range controls {
		seeds = append(seeds, w.ip(i+1)+":8144")
	}
	class, serves := "front", "front"
	if role == "platform-control" {
		class, serves = "core", "control,directory"
		data := filepath.Join(w.dir, name+"-data")
		if err := os.Mkdir(data, 0o700); err != nil {
			return err
		}
		listen += "\ndata_dir=" + data
	}
	path := filepath.Join(w.dir, name+".conf")
	text := fmt.Sprintf(settings, name, role, class, serves, ip, zone, listen, strings.Join(seeds, ","), counts)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(w.program, role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "ARBUTUSREEL_SETTINGS=" + path}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	w.processes = append(w.processes, c)
	w.note("started %s %s at %s", role, name, ip)
	return nil
}

func (w *world) endAll() {
	for _, c := range w.processes {
		_ = c.Process.Signal(syscall.SIGKILL)
	}
	for _, c := range w.processes {
		_ = c.Wait()
	}
}

// leader returns the number of the control daemon that leads by the logs.
func (w *world) leader() int {
	for i := range controls {
		b, _ := os.ReadFile(filepath.Join(w.dir, fmt.Sprintf("core-%d.log", i+1)))
		leads := false
		for line := range strings.Lines(string(b)) {
			var m struct {
				Message string `json:"message"`
				Leads   bool   `json:"leads"`
			}
			if json.Unmarshal([]byte(line), &m) == nil && m.Message == "leader changed" {
				leads = m.Leads
			}
		}
		if leads {
			return i + 1
		}
	}
	return 0
}

const config = `{"version":1,"routes":[{"name":"r-look","host":"desk.example","path_prefix":"/look/","kind":"safe","timeout_ms":1500,` +
	`"target_latency_ms":500,"priority":2,"service":"desk","max_attempts":2,"session_affinity":false,"resumable":false,"gap_aim_ms":0,"home_regions":[]}],` +
	`"services":[{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

func (w *world) play(trouble bool) (int, error) {
	for i := range controls {
		ip := w.ip(i + 1)
		if err := w.start("platform-control", fmt.Sprintf("core-%d", i+1), ip, []string{"one", "two"}[i%2], "listen.control="+ip+":8144\nlisten.directory="+ip+":8145", true); err != nil {
			return unable, err
		}
	}
	var fronts []string
	for i := range 2 {
		ip := w.ip(11 + i)
		if err := w.start("platform-gateway", fmt.Sprintf("front-%d", i+1), ip, []string{"one", "two"}[i], "listen.front="+ip+":8149\nlisten.readiness="+ip+":8141", false); err != nil {
			return unable, err
		}
		fronts = append(fronts, ip+":8149")
	}
	done := make(chan struct{})
	defer close(done)
	for i := range 4 {
		if err := w.worker(i, []string{"one", "two"}[i%2], done); err != nil {
			return unable, err
		}
	}
	networks := make([]*network, controls)
	for i := range networks {
		n, err := newNetwork(w.ip(51+i)+":8144", w.ip(i+1)+":8144")
		if err != nil {
			return unable, err
		}
		defer n.listener.Close()
		networks[i] = n
	}
	o := &operator{w: w, networks: networks, channels: map[int]*channel{}}
	if !o.order("POST", "/v1/Config.Put", config, 1, 2, 3) {
		return unable, errors.New("the config was not acknowledged")
	}
	go w.clients(fronts, done)
	time.Sleep(8 * time.Second)
	leader := w.leader()
	if leader == 0 {
		return unable, errors.New("no control daemon leads")
	}
	others := []int{leader%controls + 1, (leader+1)%controls + 1}
	w.note("core-%d leads", leader)
	// The operator reads the config at each daemon and keeps the channels.
	for i := range controls {
		o.order("GET", "/v1/Config.Get", "", i+1)
	}
	if !o.order("POST", "/v1/Evacuation.Start/"+zone, "", others[0], others[1]) {
		return unable, errors.New("the first evacuation was not acknowledged")
	}
	time.Sleep(7 * time.Second)
	healed := time.Now().Add(cutTime)
	if trouble {
		networks[leader-1].cut()
		w.note("the path between the operator and core-%d is cut", leader)
	}
	if !o.order("POST", "/v1/Evacuation.End/"+zone, "", leader, others[0], others[1]) {
		return unable, errors.New("the end of the evacuation was not acknowledged")
	}
	time.Sleep(2 * time.Second)
	if !o.order("POST", "/v1/Evacuation.Start/"+zone, "", others[0], others[1]) {
		return unable, errors.New("the second evacuation was not acknowledged")
	}
	acknowledged := time.Now()
	time.Sleep(time.Until(healed))
	if trouble {
		networks[leader-1].heal()
		w.note("the path between the operator and core-%d is whole again", leader)
	}
	time.Sleep(connectivityTime + 6*time.Second)
	if now := w.leader(); now != leader {
		return unable, fmt.Errorf("core-%d leads now", now)
	}
	from := acknowledged.Add(evacuateTime)
	if calm := healed.Add(connectivityTime); calm.After(from) {
		from = calm
	}
	return w.judge(from), nil
}

// judge counts the requests that reached a worker of the evacuated zone after a time.
func (w *world) judge(from time.Time) int {
	w.mu.Lock()
	late, first := 0, arrival{}
	for _, a := range w.arrivals {
		if a.zone == zone && a.at.After(from) {
			if late == 0 {
				first = a
			}
			late++
		}
	}
	served, failed, all := w.served, w.failed, len(w.arrivals)
	w.mu.Unlock()
	w.note("%d requests answered with 200, %d not; %d runs at workers", served, failed, all)
	w.note("requests counted from %.3f s on", from.Sub(w.began).Seconds())
	if late > 0 {
		w.note("EVAC: %d requests reached workers of zone %s, which is evacuated; the first one, %s, at %.3f s", late, zone, first.id, first.at.Sub(w.began).Seconds())
		return broken
	}
	w.note("no request reached a worker of zone %s", zone)
	return held
}

// worker starts a worker of the plain service.
func (w *world) worker(i int, zone string, done <-chan struct{}) error {
	address := w.ip(21+i) + ":8080"
	id := fmt.Sprintf("i-%s-%d", zone, i)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { <-done; _ = l.Close() }()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			h := rw.Header()
			h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			h.Set("X-Instance-Id", id)
			if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
				h.Set("X-Not-Executed", "1")
				rw.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			if r.URL.Path == "/health" {
				return
			}
			w.mu.Lock()
			w.arrivals = append(w.arrivals, arrival{at: time.Now(), zone: zone, id: r.Header.Get("X-Request-Id")})
			w.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			h.Set("X-Server-Stamp", id+"."+r.Header.Get("X-Request-Id"))
			h.Set("X-Server-Load", "1,0,6")
			_, _ = io.WriteString(rw, "answer of "+id)
		}))
	}()
	go w.heartbeats(id, address, zone, done)
	return nil
}

// heartbeats announces a worker until done is closed; the next daemon is called if one doesn't answer within a second.
func (w *world) heartbeats(id, address, zone string, done <-chan struct{}) {
	c := &http.Client{Timeout: time.Second}
	born, daemon := time.Now().UnixMilli(), rand.IntN(controls)
	for sequence := 1; ; sequence++ {
		body := fmt.Sprintf(`{"service":"desk","address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d}`, address, zone, sequence, born)
		for range controls {
			resp, err := c.Post("http://"+w.ip(daemon+1)+":8144/v1/Instances.Heartbeat/"+id, "application/json", strings.NewReader(body))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			daemon = (daemon + 1) % controls
		}
		select {
		case <-done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// clients sends 20 requests a second, to each gateway in turn.
func (w *world) clients(fronts []string, done <-chan struct{}) {
	c := &http.Client{Timeout: 3 * time.Second}
	for n := 0; ; n++ {
		go func() {
			r, _ := http.NewRequest("GET", "http://"+fronts[n%len(fronts)]+"/look/x", nil)
			r.Host = "desk.example"
			r.Header.Set("X-Request-Id", fmt.Sprintf("%08x%08x", rand.Uint32(), n))
			r.Header.Set("X-Request-Deadline", "3000")
			resp, err := c.Do(r)
			ok := false
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				ok = resp.StatusCode == http.StatusOK
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			if ok {
				w.served++
			} else {
				w.failed++
			}
		}()
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// operator sends orders to the daemons that serve control, over channels that it keeps.
type operator struct {
	w        *world
	networks []*network
	channels map[int]*channel
}

type channel struct {
	net.Conn
	r *bufio.Reader
}

// order sends an order to the daemons in turn until one acknowledges it, for at most 8 s (ack_ms), the config for 20 s.
func (o *operator) order(method, path, body string, daemons ...int) bool {
	limit := 8 * time.Second
	if body != "" {
		limit = 20 * time.Second
	}
	backoff := 100 * time.Millisecond
	for n, began := 0, time.Now(); time.Since(began) < limit; n++ {
		daemon := daemons[n%len(daemons)]
		status, err := o.call(daemon, method, path, body)
		o.w.note("operator: %s %s to core-%d: %d %v", method, path, daemon, status, err)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, time.Second)
	}
	return false
}

// call sends an order to one daemon and waits a second for the answer. Without one it closes the channel.
func (o *operator) call(daemon int, method, path, body string) (int, error) {
	c := o.channels[daemon]
	if c == nil {
		conn, err := net.DialTimeout("tcp", o.networks[daemon-1].listener.Addr().String(), operatorPatience)
		if err != nil {
			return 0, err
		}
		c = &channel{Conn: conn, r: bufio.NewReader(conn)}
	}
	delete(o.channels, daemon)
	_ = c.SetDeadline(time.Now().Add(operatorPatience))
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", method, path, c.RemoteAddr(), len(body), body); err != nil {
		_ = c.Close()
		return 0, err
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		_ = c.Close()
		return 0, err
	}
	o.channels[daemon] = c
	return resp.StatusCode, nil
}

// network is the path between the operator and a daemon. While it is cut, it holds up what is sent, in order, and delivers it once it is
// whole again, as TCP does for a sender that has closed its channel without a reset.
type network struct {
	listener net.Listener
	mu       sync.Mutex
	whole    chan struct{}
}

func newNetwork(address, target string) (*network, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n := &network{listener: l, whole: make(chan struct{})}
	close(n.whole)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.carry(c.(*net.TCPConn), target)
		}
	}()
	return n, nil
}

func (n *network) cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.whole = make(chan struct{})
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.whole)
}

// await returns once the path is whole.
func (n *network) await() {
	n.mu.Lock()
	whole := n.whole
	n.mu.Unlock()
	<-whole
}

func (n *network) carry(c *net.TCPConn, target string) {
	defer c.Close()
	n.await()
	s, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	server := s.(*net.TCPConn)
	defer server.Close()
	answers := make(chan struct{})
	go func() { defer close(answers); n.copy(c, server) }()
	n.copy(server, c)
	<-answers
}

// copy carries bytes and then the end of one direction.
func (n *network) copy(to, from *net.TCPConn) {
	b := make([]byte, 64<<10)
	for {
		k, err := from.Read(b)
		n.await()
		if k > 0 {
			if _, werr := to.Write(b[:k]); werr != nil {
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}
