package harness

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// runToExit runs a program to its end and returns its output and exit code.
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

// RunDaemon runs comfreyd to its end.
func RunDaemon(t testing.TB, args ...string) (string, int) {
	return runToExit(t, mustBuild(t).Daemon, args...)
}

// RunCtl runs comfreyctl.
func RunCtl(t testing.TB, args ...string) (string, int) {
	return runToExit(t, mustBuild(t).Ctl, args...)
}

// RunCtl runs comfreyctl against the VM's daemon.
func (v *VM) RunCtl(args ...string) (string, int) {
	v.c.T.Helper()
	v.c.T.Setenv("COMFREY_TOKEN", Token)
	return RunCtl(v.c.T, append([]string{"--address", v.Addrs.Admin}, args...)...)
}

// DevMode is a dev mode that runs.
type DevMode struct{ proc *process }

// StartDevMode starts the dev mode on free ports.
func StartDevMode(t testing.TB) *DevMode {
	t.Helper()
	return &DevMode{start(t, filepath.Join(t.TempDir(), "dev.out"), mustBuild(t).Daemon,
		"dev", "--callers", "127.0.0.1:0", "--admin", "127.0.0.1:0")}
}

// Output waits until the output has a line with this text and returns all.
func (d *DevMode) Output(until string) string {
	d.proc.awaitLine(until)
	return strings.TrimSpace(d.proc.output())
}

// Stop ends the dev mode gracefully and returns its exit code.
func (d *DevMode) Stop() int { return d.proc.stop() }

// StopTwice asks the daemon to stop and then to stop at once, and returns its
// exit code.
func (v *VM) StopTwice() int {
	v.proc.signal(syscall.SIGTERM)
	v.proc.awaitLine(`"step":"drain"`)
	return v.proc.stop()
}
