package itest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/api"
	"github.com/comfreygate/comfreygate/itest/harness"
)

// These tests guard against a poison request that crashes the upstreams of a whole service.
// Callers sent it again and again, each time with a new ID and to another VM. It crashed
// one upstream after the other, each again as soon as it had restarted, and the other calls
// that ran there failed; one request caused 24 crashes. To every daemon each copy was a new
// call, which it retried at the next upstream if the call may be repeated. The outcome of a
// request was known only for one call at one daemon, and forgotten when the call ended.
// That these were crashes is confirmed by the log lines: in one of them, 16 connections of
// one process broke within 0.2 ms. Without a record of suspects, the upstreams of these
// tests crash without bound.

const (
	// spreadTime is the time within which all reachable daemons know that a request has
	// crashed three upstreams.
	spreadTime = time.Second
	// maxLaterRuns bounds the runs of the request after that, over all daemons and their
	// restarts.
	maxLaterRuns = 3
	// poisonPath is the path of a request that crashes the upstream which runs it after
	// 30 ms.
	poisonPath = "/tickets/crash?crash_ms=30"
)

// poisonSender sends copies of a poison request to the VMs in turn.
type poisonSender struct {
	c    *harness.Cluster
	vms  []*harness.VM
	sent int
}

// send sends copies at intervals of 50 ms without waiting for earlier ones, and returns when
// all have completed.
func (s *poisonSender) send(t *testing.T, copies int) {
	t.Helper()
	client := harness.NewCallerClient()
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	for range copies {
		s.sent++
		id := fmt.Sprintf("crash-%d", s.sent)
		v := s.vms[s.sent%len(s.vms)]
		wg.Go(func() {
			a := v.Send(client, harness.Call{Method: http.MethodGet, Path: poisonPath, ID: id, Caller: "clerk"})
			if a.Err == nil && a.Outcome == "answered" {
				t.Errorf("copy %s of the poison request was answered", id)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
}

// countRuns returns how often copies were run and how often upstreams crashed.
func (s *poisonSender) countRuns() (runs, crashes int) {
	for _, r := range s.c.Journal() {
		switch {
		case r.Verb == "run" && strings.HasPrefix(r.Request, "crash-"):
			runs++
		case r.Verb == "end":
			crashes++
		}
	}
	return runs, crashes
}

// crashThree sends copies until three upstreams have crashed and all reachable daemons can
// know of it. It returns the number of runs so far.
func (s *poisonSender) crashThree(t *testing.T) int {
	t.Helper()
	for began := time.Now(); time.Since(began) < harness.WaitTimeout; {
		s.send(t, 2)
		if _, crashes := s.countRuns(); crashes >= 3 {
			s.send(t, int(spreadTime/(50*time.Millisecond)))
			runs, crashes := s.countRuns()
			t.Logf("%d runs and %d crashes until all reachable daemons know of three crashes", runs, crashes)
			return runs
		}
	}
	t.Fatal("fewer than three upstreams crashed")
	return 0
}

// checkLaterRuns fails the test if copies were run more than maxLaterRuns times in addition
// to the earlier runs.
func (s *poisonSender) checkLaterRuns(t *testing.T, earlierRuns int, when string) {
	t.Helper()
	runs, crashes := s.countRuns()
	t.Logf("%s: %d of %d copies were run, %d crashes", when, runs, s.sent, crashes)
	if runs-earlierRuns > maxLaterRuns {
		t.Errorf("%s: poison request was run %d more times after three upstreams had crashed", when, runs-earlierRuns)
	}
}

// sixUpstreams starts six VMs in three failure domains with an upstream each. An upstream
// restarts half a second after a crash.
func sixUpstreams(t *testing.T) *harness.Cluster {
	t.Helper()
	c := sixVMs(t)
	for _, v := range c.VMs {
		v.AddUpstream("tickets", "-delay-ms", "20", "-back-ms", "500")
	}
	c.AwaitUpstreams(6, c.VMs...)
	return c
}

// TestPoisonRequestIsQuarantined sends a poison request to all VMs during other calls,
// while every daemon restarts in turn, and after a restart of all daemons at once. Once the
// request has crashed three upstreams, it must hardly be run any more, and calls with the
// same caller or path must be answered.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	c := sixUpstreams(t)
	s := &poisonSender{c: c, vms: c.VMs}
	load := harness.StartLoad(12, c.VMs, otherCalls)
	runsBefore := s.crashThree(t)
	load.AwaitResponses(t, 500)
	load.Stop()
	s.send(t, 40)
	s.checkLaterRuns(t, runsBefore, "after other calls")
	after := harness.StartLoad(12, c.VMs, otherCalls)
	s.send(t, 20)
	after.Stop()
	s.checkLaterRuns(t, runsBefore, "during other calls")
	if tally := after.Tally(); tally["answered"] < 99*len(after.Responses)/100 {
		t.Errorf("too few of the other calls were answered after the quarantine: %v", tally)
	}
	for _, v := range c.VMs {
		v.Kill()
		restartDaemon(c, v)
		c.AwaitMembers(len(c.VMs), v)
		s.send(t, 6)
	}
	s.checkLaterRuns(t, runsBefore, "after a restart of each daemon in turn")
	for _, v := range c.VMs {
		v.Kill()
	}
	for _, v := range c.VMs {
		restartDaemon(c, v)
	}
	c.AwaitMembers(len(c.VMs), c.VMs...)
	c.AwaitUpstreams(len(c.VMs), c.VMs...)
	time.Sleep(spreadTime)
	s.send(t, 40)
	s.checkLaterRuns(t, runsBefore, "after a restart of all daemons at once")
}

// restartDaemon starts a VM's daemon and a new upstream on the VM.
func restartDaemon(c *harness.Cluster, v *harness.VM) {
	v.Start()
	v.AddUpstream("tickets", "-delay-ms", "20", "-back-ms", "500")
}

// TestPoisonRequestIsQuarantinedAcrossPartition crashes three upstreams while one failure
// domain is partitioned from the others and shares only the store with them. Copies sent to
// that domain must be refused there too.
func TestPoisonRequestIsQuarantinedAcrossPartition(t *testing.T) {
	c := sixUpstreams(t)
	c.Partition(func(a, b string) bool { return (a == "yaba") != (b == "yaba") })
	s := &poisonSender{c: c, vms: c.VMs[:4]}
	runsBefore := s.crashThree(t)
	s.vms = c.VMs[4:]
	s.send(t, 40)
	s.checkLaterRuns(t, runsBefore, "in the partitioned domain")
	checkOperatorClears(t, c)
}

// checkOperatorClears ends the partition, clears the quarantined request at one daemon, and
// checks that another daemon no longer has it in quarantine. Clearing it again is rejected.
func checkOperatorClears(t *testing.T, c *harness.Cluster) {
	t.Helper()
	is := is.New(t)
	c.Partition(func(string, string) bool { return false })
	quarantined, err := c.VMs[5].Execute("show suspects where state = quarantined")
	is.NoErr(err)
	is.Equal(len(quarantined.Rows), 1)
	digest := quarantined.Rows[0][0]
	a, err := c.VMs[0].Execute("clear suspect " + digest)
	is.NoErr(err)
	is.Equal(a.Outcome.Value.Status, api.OutcomeStatusAccepted)
	a, err = c.VMs[0].Execute("clear suspect " + digest)
	is.NoErr(err)
	is.Equal(a.Outcome.Value.Status, api.OutcomeStatusRejected)
	harness.Eventually(t, "cleared everywhere", func() error {
		quarantined, err := c.VMs[5].Execute("show suspects where state = quarantined")
		if err == nil && len(quarantined.Rows) > 0 {
			err = fmt.Errorf("%v", quarantined.Rows)
		}
		return err
	})
}

// otherCalls returns the n-th call of the load that is sent during the poison request: calls
// by the same caller, some of them with the same path.
func otherCalls(n int64) harness.Call {
	call := harness.PostCalls("beside")(n)
	switch n % 4 {
	case 0:
		call.Method, call.Path, call.Body = http.MethodGet, fmt.Sprintf("/tickets/%d", n), ""
	case 1:
		call.Path = fmt.Sprintf("/tickets/crash?n=%d", n)
	case 2:
		call.Path = "/tickets/crash"
	}
	return call
}
