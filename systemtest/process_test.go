package systemtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// process is one program under test, which can be stopped, killed, frozen and started again with the same arguments.
type process struct {
	t    *testing.T
	name string
	args []string
	env  []string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// start starts the process; its output is appended to its log.
func (p *process) start() {
	p.t.Helper()
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(programs, p.args[0]), p.args[1:]...)
	cmd.Stdout, cmd.Stderr = f, f
	cmd.Env = append(os.Environ(), p.env...)
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		// How it ended is told with the log: a process that is killed writes nothing itself.
		_ = cmd.Wait()
		_, _ = fmt.Fprintf(f, "ended: %v\n", cmd.ProcessState)
		_ = f.Close()
		close(done)
	}()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop asks for a graceful stop and waits for it.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	<-p.done
}

// freeze stops the process as it is and waits until it no longer runs.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	for deadline := time.Now().Add(startLimit); !p.frozen(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatalf("gave up waiting: %s is frozen", p.name)
		}
	}
}

// frozen reports whether every thread of the process is stopped, by the state that follows each thread's name in brackets.
func (p *process) frozen() bool {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	for _, thread := range threads {
		b, _ := os.ReadFile(thread)
		if _, state, ok := strings.Cut(string(b), ") "); ok && !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(threads) > 0
}

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// logged returns what the process has written.
func (p *process) logged() string {
	b, _ := os.ReadFile(p.log)
	return string(b)
}

// run starts one process.
func (s *system) run(name string, args ...string) *process {
	s.t.Helper()
	p := &process{t: s.t, name: name, args: args, log: filepath.Join(s.dir, name+".log")}
	p.start()
	s.all = append(s.all, p)
	return p
}

// tail returns the end of a long text.
func tail(text string) string {
	const limit = 4000
	if len(text) > limit {
		return "…" + text[len(text)-limit:]
	}
	return text
}
