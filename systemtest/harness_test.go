package systemtest

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// Bounds of the waits of the harness; no test asserts a duration.
const (
	waitTimeout    = 30 * time.Second
	pollPeriod     = 20 * time.Millisecond
	requestTimeout = 20 * time.Second
)

const operatorToken = "operators-test-token"

var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs once and runs all tests with them.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "systemtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "arbutusreel/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		return 1
	}
	binDir = dir
	return m.Run()
}

// instance is an entry, control or endpoint process with its addresses.
type instance struct {
	*process
	region   string
	caller   string
	endpoint string
	peer     string
	operator string
}

// system is a set of processes on loopback addresses: a directory, a control voter for each region, entries and
// endpoints.
type system struct {
	t         *testing.T
	dir       string
	directory string
	controls  []*instance
	entries   []*instance
	endpoints []*instance
	inventory string
	processes []*process
	tls       *tls.Config
	// authorityFile is the path of the certificate authority for the operators' commands.
	authorityFile string
	mu            sync.Mutex
	epochs        map[string]string
}

// placementFlag sets the placement period. Without it in the options the period is 1 h, so that engines keep their
// models.
const placementFlag = "--placementPeriod"

// options describes a system; each region has one control voter.
type options struct {
	regions          []string
	entriesPerRegion int
	inventory        string
	// entryArgs and controlArgs are appended to the arguments of each entry and control.
	entryArgs   []string
	controlArgs []string
	// dataFolders gives each entry a data folder.
	dataFolders bool
	// certificates, if set, enables TLS for every entry, control and operator command.
	certificates *certificates
}

// newSystem starts a system without endpoints and applies its inventory. All processes are killed when the test ends.
func newSystem(t *testing.T, o options) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir(), directory: freeAddress(t), inventory: o.inventory}
	t.Cleanup(s.killAll)
	if o.certificates != nil {
		s.tls = o.certificates.client()
		s.authorityFile = o.certificates.authorityFile
	}
	s.run("directory", "standin", "directory", "--address", s.directory)
	var voters, peers []string
	for _, r := range o.regions {
		c := &instance{region: r, peer: freeAddress(t), operator: freeAddress(t)}
		s.controls = append(s.controls, c)
		voters = append(voters, "control-"+r+"="+c.peer)
	}
	digest := sha256.Sum256([]byte(operatorToken))
	operatorDigest := hex.EncodeToString(digest[:])
	for _, c := range s.controls {
		args := []string{
			"arbutusreel", "control", "--name", "control-" + c.region, "--region", c.region, "--failureDomain", c.region + "-a",
			"--peerAddress", c.peer, "--operatorAddress", c.operator, "--voters", strings.Join(voters, ","),
			"--dataFolder", filepath.Join(s.dir, "control-"+c.region), "--operatorTokenDigest", operatorDigest,
		}
		if !slices.Contains(o.controlArgs, placementFlag) {
			args = append(args, placementFlag, "1h")
		}
		args = append(args, o.certificates.args("control-"+c.region, c.region)...)
		c.process = s.run("control-"+c.region, append(args, o.controlArgs...)...)
	}
	for _, r := range o.regions {
		for j := range o.entriesPerRegion {
			e := &instance{region: r, caller: freeAddress(t), endpoint: freeAddress(t), peer: freeAddress(t)}
			s.entries = append(s.entries, e)
			peers = append(peers, e.peer)
			e.process = &process{name: fmt.Sprintf("entry-%s-%d", r, j)}
		}
	}
	replicas := ledgerReplicas(s.entries)
	for i, e := range s.entries {
		domain := string(rune('a' + i%o.entriesPerRegion))
		args := []string{
			"arbutusreel", "entry", "--name", e.name, "--region", e.region, "--failureDomain", e.region + "-" + domain,
			"--callerAddress", e.caller, "--endpointAddress", e.endpoint, "--peerAddress", e.peer,
			"--controls", strings.Join(voters, ","), "--peers", strings.Join(peers, ","), "--directoryAddress", s.directory,
			"--ledgerReplicas", replicas[e.region], "--drainNotice", "300ms", "--operatorTokenDigest", operatorDigest,
		}
		if o.dataFolders {
			args = append(args, "--dataFolder", filepath.Join(s.dir, e.name))
		}
		args = append(args, o.certificates.args(e.name, e.region)...)
		e.process = s.run(e.name, append(args, o.entryArgs...)...)
	}
	s.apply(o.inventory)
	for _, e := range s.entries {
		s.until(e.name+" is ready", func() bool { return s.get(e.caller, "/readyz", "") == http.StatusOK })
	}
	return s
}

// killAll kills every process and prints their logs if the test failed.
func (s *system) killAll() {
	for _, p := range s.processes {
		p.thaw()
		p.kill()
	}
	if !s.t.Failed() {
		return
	}
	for _, p := range s.processes {
		s.t.Logf("log of %s:\n%s", p.name, tail(p.output()))
	}
}

// operators returns the operator addresses of the control voters, separated by commas.
func (s *system) operators() string {
	var addresses []string
	for _, c := range s.controls {
		addresses = append(addresses, c.operator)
	}
	return strings.Join(addresses, ",")
}

// command runs an operator command and returns its output.
func (s *system) command(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(s.t.Context(), requestTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binDir, "arbutusreel"), args...)
	cmd.Env = append(os.Environ(), "ARBUTUSREEL_TOKEN="+operatorToken, "ARBUTUSREEL_CONTROLS="+s.operators())
	if s.tls != nil {
		cmd.Env = append(cmd.Env, "ARBUTUSREEL_TLS_AUTHORITY_FILE="+s.authorityFile)
	}
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// apply applies an inventory file and retries until the quorum accepts it.
func (s *system) apply(file string) {
	s.t.Helper()
	s.until("the inventory is accepted", func() bool {
		_, err := s.command("apply", file)
		return err == nil
	})
}

// engine starts an emulated model engine.
func (s *system) engine(name, region, service, models string, args ...string) *instance {
	e := &instance{region: region, caller: freeAddress(s.t)}
	base := []string{
		"standin", "engine", "--name", name, "--address", e.caller, "--region", region, "--failureDomain", region + "-c",
		"--service", service, "--models", models, "--directory", s.directory,
	}
	e.process = s.run(name, append(base, args...)...)
	s.endpoints = append(s.endpoints, e)
	return e
}

// service starts an emulated endpoint of a plain service.
func (s *system) service(name, region, service string, args ...string) *instance {
	e := &instance{region: region, caller: freeAddress(s.t)}
	base := []string{
		"standin", "service", "--name", name, "--address", e.caller, "--region", region, "--failureDomain", region + "-c",
		"--service", service, "--directory", s.directory,
	}
	e.process = s.run(name, append(base, args...)...)
	s.endpoints = append(s.endpoints, e)
	return e
}

// until polls a condition and fails the test if it does not hold within waitTimeout.
func (s *system) until(what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting: %s", what)
		}
		time.Sleep(pollPeriod)
	}
}

// doContext sends one request, which the caller abandons when ctx is done.
func (s *system) doContext(ctx context.Context, method, address, path, token, body string, headers ...string) response {
	req, err := http.NewRequestWithContext(ctx, method, s.scheme()+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	if key := req.Header.Get("Idempotency-Key"); key != "" && req.Header.Get("Arbutusreel-Epoch") == "" {
		req.Header.Set("Arbutusreel-Epoch", s.epoch(address, token, key))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: s.tls}}
	resp, err := client.Do(req)
	if err != nil {
		return response{}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}
	}
	return response{status: resp.StatusCode, body: string(b), header: resp.Header}
}

// ledgerReplicas returns the ledgerReplicas setting of each region, which names its first three entries.
func ledgerReplicas(entries []*instance) map[string]string {
	const replicasPerRegion = 3
	members := map[string][]string{}
	for _, e := range entries {
		if len(members[e.region]) < replicasPerRegion {
			members[e.region] = append(members[e.region], e.name+"="+e.peer)
		}
	}
	settings := map[string]string{}
	for region, list := range members {
		settings[region] = strings.Join(list, ",")
	}
	return settings
}
