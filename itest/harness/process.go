// Package harness runs the system as real processes for the tests: a log, one daemon per
// VM behind fault-injecting proxies, and upstreams.
package harness

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// WaitTimeout bounds every wait for a condition.
const WaitTimeout = 30 * time.Second

// Eventually waits until check returns nil. After WaitTimeout it fails the test with the
// last error; what names the condition in the failure message.
func Eventually(t testing.TB, what string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(WaitTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Binaries holds the paths of the built programs.
type Binaries struct{ Daemon, Ctl, Log, Upstream string }

var build = sync.OnceValues(buildAll)

func buildAll() (Binaries, error) {
	dir, err := os.MkdirTemp("", "comfreygate-itest-")
	if err != nil {
		return Binaries{}, err
	}
	b := Binaries{
		Daemon: filepath.Join(dir, "comfreyd"), Ctl: filepath.Join(dir, "comfreyctl"),
		Log: filepath.Join(dir, "logd"), Upstream: filepath.Join(dir, "upstreamd"),
	}
	for _, p := range []struct{ out, pkg string }{
		{b.Daemon, "github.com/comfreygate/comfreygate/cmd/comfreyd"},
		{b.Ctl, "github.com/comfreygate/comfreygate/cmd/comfreyctl"},
		{b.Log, "github.com/comfreygate/comfreygate/itest/cmd/logd"},
		{b.Upstream, "github.com/comfreygate/comfreygate/itest/cmd/upstreamd"},
	} {
		out, err := exec.Command("go", "build", "-o", p.out, p.pkg).CombinedOutput()
		if err != nil {
			return b, fmt.Errorf("build %s: %v\n%s", p.pkg, err, out)
		}
	}
	return b, nil
}

// process is a running or exited program that the test started.
type process struct {
	t          testing.TB
	cmd        *exec.Cmd
	outputFile string
	done       chan struct{}
}

// start starts a program whose output goes to the file out.
func start(t testing.TB, out, program string, args ...string) *process {
	t.Helper()
	f, err := os.Create(out)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	f.Close()
	p := &process{t: t, cmd: cmd, outputFile: out, done: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.kill)
	return p
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		p.cmd.Process.Signal(s)
	}
}

// kill sends SIGKILL to the process and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop sends SIGTERM to the process and returns its exit code.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(2 * WaitTimeout):
		p.t.Errorf("%s: process did not exit after SIGTERM; sending SIGKILL", p.outputFile)
		p.kill()
	}
	return p.cmd.ProcessState.ExitCode()
}

// peakMemory returns the most memory, in bytes, that the process has had resident.
func (p *process) peakMemory() int64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	var kib int64
	if _, err := fmt.Sscan(peak, &kib); err != nil {
		p.t.Fatal(err)
	}
	return kib << 10
}

// running reports whether the process has not exited.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// openDescriptors returns how many file descriptors the process has open.
func (p *process) openDescriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(entries)
}

// awaitLine waits for a line of output that contains text, and returns the line.
func (p *process) awaitLine(text string) string {
	var found string
	Eventually(p.t, p.outputFile, func() error {
		f, err := os.Open(p.outputFile)
		if err != nil {
			return err
		}
		defer f.Close()
		scan := bufio.NewScanner(f)
		for scan.Scan() {
			if strings.Contains(scan.Text(), text) {
				found = scan.Text()
				return nil
			}
		}
		return fmt.Errorf("no output line contains %q", text)
	})
	return found
}
