package harness

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// runToExit runs a program, waits for its exit, and returns its output and exit code.
func runToExit(t testing.TB, program string, args ...string) (string, int) {
	t.Helper()
	p := start(t, filepath.Join(t.TempDir(), "out"), program, args...)
	<-p.done
	return p.output(), p.cmd.ProcessState.ExitCode()
}

func (p *process) output() string {
	b, err := os.ReadFile(p.outputFile)
	if err != nil {
		p.t.Fatal(err)
	}
	return string(b)
}

func mustBuild(t testing.TB) Binaries {
	t.Helper()
	b, err := build()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// RunDaemon runs comfreyd, waits for its exit, and returns its output and exit code.
func RunDaemon(t testing.TB, args ...string) (string, int) {
	return runToExit(t, mustBuild(t).Daemon, args...)
}

// RunCtl runs comfreyctl and returns its output and exit code.
func RunCtl(t testing.TB, args ...string) (string, int) {
	return runToExit(t, mustBuild(t).Ctl, args...)
}

// RunCtl runs comfreyctl with the administration address of the VM's daemon.
func (v *VM) RunCtl(args ...string) (string, int) {
	v.c.T.Helper()
	v.c.T.Setenv("COMFREY_TOKEN", Token)
	return RunCtl(v.c.T, append([]string{"--address", v.Addrs.Admin}, args...)...)
}

// DevMode is a running comfreyd in dev mode.
type DevMode struct{ proc *process }

// StartDevMode starts comfreyd in dev mode on free ports.
func StartDevMode(t testing.TB) *DevMode {
	t.Helper()
	return &DevMode{start(t, filepath.Join(t.TempDir(), "dev.out"), mustBuild(t).Daemon,
		"dev", "--callers", "127.0.0.1:0", "--admin", "127.0.0.1:0")}
}

// Output waits until a line of the output contains until, and returns the whole output.
func (d *DevMode) Output(until string) string {
	d.proc.awaitLine(until)
	return strings.TrimSpace(d.proc.output())
}

// Stop stops the dev mode gracefully and returns its exit code.
func (d *DevMode) Stop() int { return d.proc.stop() }

// StopTwice sends the daemon SIGTERM, waits until it drains its calls, sends SIGTERM
// again, and returns its exit code.
func (v *VM) StopTwice() int {
	v.proc.signal(syscall.SIGTERM)
	v.proc.awaitLine(`"step":"drain"`)
	return v.proc.stop()
}
