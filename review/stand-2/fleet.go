//go:build review2

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine; every machine has a loopback address of its own.
const (
	frontPort     = 8149
	readinessPort = 8141
	controlPort   = 8144
	directoryPort = 8143
	firstPort     = 7380
	lastPort      = 7395
	workerPort    = 8080
)

// restartDelay is the time between the end of a process and its start by the platform.
const restartDelay = 200 * time.Millisecond

// record is the protocol of a run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f}, nil
}

// at returns the seconds from the start of the run to a time.
func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// printf writes a line that begins with the time.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// process is one program of the system, which is started again when it ends.
type process struct {
	name, role, settings string

	record *record
	logs   *os.File
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  bool
	done   chan struct{}
}

func (p *process) run(ctx context.Context) {
	defer close(p.done)
	for ctx.Err() == nil {
		cmd := exec.Command("target/arbutusreel", p.role)
		cmd.Env = append(os.Environ(), "ARBUTUSREEL_SETTINGS="+p.settings)
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
		cmd.Stdout, cmd.Stderr = p.logs, p.logs
		p.mu.Lock()
		if p.ended {
			p.mu.Unlock()
			return
		}
		err := cmd.Start()
		p.cmd = cmd
		p.mu.Unlock()
		if err != nil {
			p.record.printf("%s does not start: %v", p.name, err)
			return
		}
		p.record.printf("%s starts", p.name)
		err = cmd.Wait()
		p.record.printf("%s has ended: %v", p.name, err)
		// Later starts are not the first one of the whole system.
		if b, readErr := os.ReadFile(p.settings); readErr == nil {
			_ = os.WriteFile(p.settings, []byte(strings.Replace(string(b), "bootstrap=true", "bootstrap=false", 1)), 0o600)
		}
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		p.record.printf("%s gets %v", p.name, s)
		_ = p.cmd.Process.Signal(s)
	}
}

// machine is a machine of the system with one process.
type machine struct {
	*process
	ip string
}

func (m machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// fleet is a small deployment in one or more regions.
type fleet struct {
	record   *record
	folder   string
	network  string
	reserved net.Listener
	controls []machine
	gateways []machine
	ctx      context.Context
	stop     context.CancelFunc
	workers  int
	zones    []string
	// ended holds the machines that have been replaced.
	ended []machine
}

// layout names the zone of each machine; a zone is its own region.
type layout struct {
	controls, gateways []string
}

// reserveNetwork returns the first two numbers of loopback addresses that no other run uses, and what reserves them until it is closed.
func reserveNetwork() (string, net.Listener, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d", 20+rand.IntN(200))
		if l, err := net.Listen("tcp", fmt.Sprintf("%s.9.1:%d", network, controlPort)); err == nil {
			return network, l, nil
		}
	}
	return "", nil, fmt.Errorf("no free loopback addresses")
}

// startFleet starts the processes of a layout.
func startFleet(r *record, l layout) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	network, reserved, err := reserveNetwork()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	f := &fleet{record: r, folder: folder, network: network, reserved: reserved, ctx: ctx, stop: stop}
	r.printf("the addresses begin with %s", network)
	zones := map[string]bool{}
	for _, z := range append(append([]string{}, l.controls...), l.gateways...) {
		zones[z] = true
	}
	for z := range zones {
		f.zones = append(f.zones, z)
	}
	var seeds []string
	for i := range min(3, len(l.controls)) {
		seeds = append(seeds, fmt.Sprintf("%s.1.%d:%d", network, i+1, controlPort))
	}
	for i, zone := range l.controls {
		if err := f.startControl(i+1, zone, seeds, true); err != nil {
			return f, err
		}
	}
	for i, zone := range l.gateways {
		ip := fmt.Sprintf("%s.2.%d", network, i+1)
		m, err := f.start("front", "platform-gateway", zone, ip, fmt.Sprintf("front-%d", i+1), seeds, true, []string{
			"serves=front", fmt.Sprintf("listen.front=%s:%d", ip, frontPort), fmt.Sprintf("listen.readiness=%s:%d", ip, readinessPort),
		})
		if err != nil {
			return f, err
		}
		f.gateways = append(f.gateways, m)
	}
	return f, nil
}

// startControl starts the control daemon with a number.
func (f *fleet) startControl(number int, zone string, seeds []string, bootstrap bool) error {
	ip := fmt.Sprintf("%s.1.%d", f.network, number)
	m, err := f.start("core", "platform-control", zone, ip, fmt.Sprintf("core-%d", number), seeds, bootstrap, []string{
		"serves=control,directory", fmt.Sprintf("listen.control=%s:%d", ip, controlPort), fmt.Sprintf("listen.directory=%s:%d", ip, directoryPort),
	})
	if err == nil {
		f.controls = append(f.controls, m)
	}
	return err
}

// start starts the process of a machine with an empty disk.
func (f *fleet) start(class, role, zone, ip, name string, seeds []string, bootstrap bool, listen []string) (machine, error) {
	p := &process{name: name, role: role, settings: filepath.Join(f.folder, name+".conf"), record: f.record, done: make(chan struct{})}
	data := filepath.Join(f.folder, name)
	if err := os.Mkdir(data, 0o700); err != nil {
		return machine{}, err
	}
	lines := append([]string{
		"node_name=" + name, "role=" + role, "machine_class=" + class, "ip=" + ip, "zone=" + zone, "region=" + zone,
		"internal_ports=" + fmt.Sprintf("%d,%d", firstPort, lastPort), "seeds=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%t", bootstrap),
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0",
		"discovery=registry", "entry=directory", "heartbeat_ms=1200", "contracts=base,drain,config,cost,retry,recover,engine,stream,places",
		"fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=1",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.connectivity_window_ms=6000", "bounds.ack_ms=8000", "bounds.catch_up_s=4",
		"bounds.drain_ms=4000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_ms=4000", "bounds.downgrade_ms=250",
		"bounds.max_stretch_ms=10000", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=54",
		"bounds.cold_burst_factor=1.5", "bounds.cold_slack=3", "bounds.evacuate_ms=5000", "bounds.recover_s=12", "bounds.pass_ms=800",
		"bounds.reuse_window_s=10", "bounds.ttl_max_s=5", "config_mode=highest",
	}, listen...)
	for _, z := range f.zones {
		lines = append(lines, fmt.Sprintf("zones.%s=%s", z, z))
	}
	if class == "core" {
		lines = append(lines, "data_dir="+data, "loss_counts=true")
	}
	if err := os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return machine{}, err
	}
	var err error
	if p.logs, err = os.Create(filepath.Join(f.folder, name+".log")); err != nil {
		return machine{}, err
	}
	go p.run(f.ctx)
	return machine{process: p, ip: ip}, nil
}

// retire kills a control daemon for good.
func (f *fleet) retire(i int) {
	m := f.controls[i]
	f.controls = append(append([]machine{}, f.controls[:i]...), f.controls[i+1:]...)
	f.ended = append(f.ended, m)
	m.end()
	<-m.done
}

// leader returns the position of the control daemon that leads according to its log, or -1.
func (f *fleet) leader() int {
	for i, m := range f.controls {
		b, err := os.ReadFile(m.logs.Name())
		if err != nil {
			continue
		}
		last := ""
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, `"message":"leader changed"`) {
				last = line
			}
		}
		if strings.Contains(last, `"leads":true`) {
			return i
		}
	}
	return -1
}

// end kills the process, which is not started again.
func (p *process) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
}

// close ends all processes and removes the folder, unless KEEP is set.
func (f *fleet) close() {
	f.stop()
	all := append(append([]machine{}, f.controls...), f.gateways...)
	for _, m := range all {
		m.end()
	}
	for _, m := range append(all, f.ended...) {
		<-m.done
		_ = m.logs.Close()
	}
	_ = f.reserved.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println(f.folder)
	}
}
