//go:build review

package main

import (
	"bytes"
	"context"
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

// Bounds of the deployment, as in the sheet of tamarind-rest.
const (
	connectivityWindow = 6 * time.Second
	evacuateTime       = 5 * time.Second
	maxStretch         = 10 * time.Second
	drainTime          = 4 * time.Second
	heartbeatPeriod    = 1200 * time.Millisecond
)

// record collects what happens, with the time since the start, and writes it to record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	text  bytes.Buffer
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.text, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// flush writes what was collected.
func (r *record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.text.WriteTo(r.f)
}

// process is one program of the project, started with the command of the deploy file.
type process struct {
	name, role, ip, zone, settings string

	mu   sync.Mutex
	cmd  *exec.Cmd
	logs *os.File
}

// start starts the process in the group of another one, or in one of its own if group is zero.
func (p *process) start(program string, group int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(program, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ARBUTUSREEL_SETTINGS=" + p.settings}
	cmd.Stdout, cmd.Stderr = p.logs, p.logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pgid: group, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// wait waits for the end of the process, and kills it at the end of limit.
func (p *process) wait(limit time.Duration) {
	p.mu.Lock()
	cmd := p.cmd
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	timer := time.AfterFunc(limit, func() { _ = cmd.Process.Signal(syscall.SIGCONT); _ = cmd.Process.Kill() })
	defer timer.Stop()
	_ = cmd.Wait()
}

// ports of a deployment; each machine has a loopback address of its own.
type ports struct{ front, readiness, control, directory, internal int }

// cluster is a small deployment: three regions of two zones each.
type cluster struct {
	*record

	program  string
	dir      string
	subnet   string
	ports    ports
	zones    []string
	controls []*process
	gateways []*process
	workers  []*worker
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	clients  *clients
	// core is the process group of the control daemons' first start.
	core int
}

// killCore kills all processes of the core at the same moment.
func (c *cluster) killCore() error { return syscall.Kill(-c.core, syscall.SIGKILL) }

// newCluster prepares a deployment with its settings files.
func newCluster(rec *record, program string, controlsPerZone, gatewaysPerZone []int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{record: rec, program: program, dir: dir, zones: []string{"northwest-1", "northwest-2", "plateau-1", "plateau-2", "grandport-1", "grandport-2"}, ctx: ctx, cancel: cancel}
	if err := c.chooseAddresses(); err != nil {
		return nil, err
	}
	var seeds []string
	host := 10
	for z, n := range controlsPerZone {
		for range n {
			p := &process{name: fmt.Sprintf("core-%s-%d", c.zones[z], host), role: "platform-control", ip: fmt.Sprintf("%s.%d", c.subnet, host), zone: c.zones[z]}
			c.controls = append(c.controls, p)
			host++
		}
	}
	for _, p := range c.controls[:3] {
		seeds = append(seeds, c.address(p, c.ports.control))
	}
	host = 50
	for z, n := range gatewaysPerZone {
		for range n {
			c.gateways = append(c.gateways, &process{name: fmt.Sprintf("front-%s-%d", c.zones[z], host), role: "platform-gateway", ip: fmt.Sprintf("%s.%d", c.subnet, host), zone: c.zones[z]})
			host++
		}
	}
	for _, p := range append(append([]*process{}, c.controls...), c.gateways...) {
		if err := c.writeSettings(p, seeds, true); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func region(zone string) string { return zone[:strings.LastIndexByte(zone, '-')] }

func (c *cluster) address(p *process, port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

// chooseAddresses chooses a loopback subnet and ports on which nothing listens.
func (c *cluster) chooseAddresses() error {
	for range 50 {
		c.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 15000 + rand.IntN(150)*100
		c.ports = ports{front: base, readiness: base + 1, control: base + 2, directory: base + 3, internal: base + 20}
		l, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", c.subnet, base))
		if err != nil {
			continue
		}
		return l.Close()
	}
	return errors.New("no free loopback addresses")
}

func portRange(first int) []byte { return fmt.Appendf(nil, "internal_ports=%d,%d", first, first+15) }

func (c *cluster) writeSettings(p *process, seeds []string, bootstrap bool) error {
	lines := []string{
		"node_name=" + p.name, "role=" + p.role, "ip=" + p.ip, "zone=" + p.zone, "region=" + region(p.zone),
		string(portRange(c.ports.internal)), "seeds=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%t", bootstrap),
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "discovery=registry", "entry=directory",
		"heartbeat_ms=1200", "contracts=base,drain,config,cost,retry,recover,engine,stream,places",
		"fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=1",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.connectivity_window_ms=6000", "bounds.ack_ms=8000", "bounds.catch_up_s=4", "bounds.drain_ms=4000",
		"bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_ms=4000", "bounds.downgrade_ms=250", "bounds.max_stretch_ms=10000",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=54", "bounds.cold_burst_factor=1.5", "bounds.cold_slack=3",
		"bounds.evacuate_ms=5000", "bounds.recover_s=12", "bounds.pass_ms=800", "bounds.reuse_window_s=10", "bounds.ttl_max_s=5", "config_mode=highest",
	}
	for _, zone := range c.zones {
		lines = append(lines, "zones."+zone+"="+region(zone))
	}
	if p.role == "platform-control" {
		data := filepath.Join(c.dir, "data-"+p.name)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		lines = append(lines, "machine_class=core", "serves=control,directory", "loss_counts=true", "limits.disk_mb=128", "data_dir="+data,
			"listen.control="+c.address(p, c.ports.control), "listen.directory="+c.address(p, c.ports.directory))
	} else {
		lines = append(lines, "machine_class=front", "serves=front", "loss_counts=false", "limits.disk_mb=0",
			"listen.front="+c.address(p, c.ports.front), "listen.readiness="+c.address(p, c.ports.readiness))
	}
	p.settings = filepath.Join(c.dir, p.name+".conf")
	if p.logs == nil {
		logs, err := os.Create(filepath.Join(c.dir, p.name+".log"))
		if err != nil {
			return err
		}
		p.logs = logs
	}
	return os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// startAll starts all processes at once.
func (c *cluster) startAll() error {
	for _, p := range append(append([]*process{}, c.controls...), c.gateways...) {
		group := 0
		if p.role == "platform-control" {
			group = c.core
		}
		if err := p.start(c.program, group); err != nil {
			return err
		}
		if p == c.controls[0] {
			c.core = p.cmd.Process.Pid
		}
		c.printf("started %s (%s) at %s in %s", p.name, p.role, p.ip, p.zone)
	}
	return nil
}

// restart starts a control daemon again, no longer for the first time.
func (c *cluster) restart(p *process) error {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.settings, bytes.Replace(text, []byte("bootstrap=true"), []byte("bootstrap=false"), 1), 0o600); err != nil {
		return err
	}
	c.printf("%s starts again", p.name)
	return p.start(c.program, 0)
}

// stop ends all processes.
func (c *cluster) stop() {
	c.cancel()
	all := append(append([]*process{}, c.gateways...), c.controls...)
	for _, p := range all {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGTERM)
	}
	for _, p := range all {
		p.wait(2 * time.Second)
		_ = p.logs.Close()
	}
	for _, w := range c.workers {
		w.close()
	}
	c.wg.Wait()
	if os.Getenv("KEEP") != "" {
		c.printf("logs kept in a temporary folder")
		fmt.Println(c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// newClient returns an HTTP client like those of the operator and the workers: a new channel for each call, and a second for
// the answer.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil},
	}
}

// call sends one call to a control daemon.
func (c *cluster) call(p *process, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address(p, c.ports.control)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := newClient(time.Second).Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return resp.StatusCode, text, err
}

// order sends an order of the operator until it is acknowledged, to one daemon after the other, from the given one on. It returns
// the daemon that acknowledged it.
func (c *cluster) order(what, path string, body []byte, first int, limit time.Duration) (*process, error) {
	until := time.Now().Add(limit)
	for i := first; time.Now().Before(until); i++ {
		p := c.controls[i%len(c.controls)]
		c.printf("operator: %s sent to %s", what, p.name)
		status, _, err := c.call(p, http.MethodPost, path, body)
		if err == nil && status/100 == 2 {
			c.printf("operator: %s acknowledged by %s with %d", what, p.name, status)
			return p, nil
		}
		c.printf("operator: %s at %s: status %d, %v", what, p.name, status, err != nil)
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("%s was not acknowledged", what)
}

// config returns a routing configuration with a safe and an unsafe route of one service.
func config(version int) []byte {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "desk.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 500, "priority": 2, "service": "desk",
			"max_attempts": attempts, "session_affinity": false, "resumable": false, "gap_aim_ms": 0, "home_regions": []string{},
		}
	}
	text, _ := json.Marshal(map[string]any{
		"version": version, "routes": []any{route("status", "/status/", "safe", 2), route("book", "/book/", "unsafe", 1)},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return text
}

// awaitReady waits until all gateways say that they are ready.
func (c *cluster) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	client := newClient(time.Second)
	for time.Now().Before(until) {
		ready := 0
		for _, p := range c.gateways {
			resp, err := client.Get("http://" + c.address(p, c.ports.readiness) + "/v1/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(c.gateways) {
			c.printf("all %d gateways are ready", ready)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the gateways did not become ready")
}

func (c *cluster) sleepUntil(at time.Duration) {
	time.Sleep(time.Until(c.began.Add(at)))
}
