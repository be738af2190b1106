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

// process is a program under test that can be stopped, killed, frozen and restarted with the same arguments.
type process struct {
	t       *testing.T
	name    string
	args    []string
	env     []string
	cmd     *exec.Cmd
	logFile string
	done    chan struct{}
}

// start starts the process and appends its output to its log file.
func (p *process) start() {
	p.t.Helper()
	f, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binDir, p.args[0]), p.args[1:]...)
	cmd.Stdout, cmd.Stderr = f, f
	cmd.Env = append(os.Environ(), p.env...)
	// In the group of the shell that started the tests, the kernel sends SIGHUP to a frozen process when that shell ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		// Record the exit status in the log, because a process that is killed writes nothing itself.
		_ = cmd.Wait()
		_, _ = fmt.Fprintf(f, "ended: %v\n", cmd.ProcessState)
		_ = f.Close()
		close(done)
	}()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop requests a graceful shutdown and waits until the process has exited.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	<-p.done
}

// freeze suspends the process with SIGSTOP and waits until all its threads are stopped.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	for deadline := time.Now().Add(waitTimeout); !p.frozen(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatalf("timed out waiting: %s is frozen", p.name)
		}
	}
}

// frozen reports whether every thread of the process is stopped. It reads the state that follows the parenthesized
// thread name in /proc/PID/task/TID/stat.
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

// output returns everything that the process has written to its log file.
func (p *process) output() string {
	b, _ := os.ReadFile(p.logFile)
	return string(b)
}

// run starts a process that is killed when the test ends.
func (s *system) run(name string, args ...string) *process {
	s.t.Helper()
	p := &process{t: s.t, name: name, args: args, logFile: filepath.Join(s.dir, name+".log")}
	p.start()
	s.processes = append(s.processes, p)
	return p
}

// tail returns the last bytes of a long text.
func tail(text string) string {
	const limit = 4000
	if len(text) > limit {
		return "…" + text[len(text)-limit:]
	}
	return text
}

// TestProcessGroup checks that each process under test has its own process group. In a shared group, a frozen process
// receives SIGHUP from the kernel when the group becomes orphaned, for example because the shell that started it exits.
func TestProcessGroup(t *testing.T) {
	dir := t.TempDir()
	p := &process{
		t: t, name: "directory", args: []string{"standin", "directory", "--address", freeAddress(t)}, logFile: filepath.Join(dir, "directory.log"),
	}
	p.start()
	defer p.kill()
	if group, err := syscall.Getpgid(p.cmd.Process.Pid); err != nil || group != p.cmd.Process.Pid {
		t.Errorf("process %d is in group %d, %v", p.cmd.Process.Pid, group, err)
	}
}
