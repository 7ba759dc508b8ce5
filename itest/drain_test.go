package itest

import (
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/itest/harness"
)

// These tests guard against requests that reach an upstream after a daemon has passed on an
// answer in which it says that it is draining. Daemons learned of a drain from announcements
// only.

const (
	// drainTime is how long after such an answer requests may still reach the upstream.
	drainTime = 2 * time.Second
	// drainCheckTime is how long the upstream is watched after that.
	drainCheckTime = 3 * time.Second
)

// drainCluster starts three VMs in failure domains of their own, with an upstream each that
// finds the daemon again when it restarts, and a fourth without an upstream, whose calls go to
// all three.
func drainCluster(t *testing.T) (*harness.Cluster, []*harness.Upstream) {
	t.Helper()
	c := harness.New(t)
	var ups []*harness.Upstream
	for _, d := range []string{"ikeja", "lekki", "yaba"} {
		ups = append(ups, c.AddVM(d+"-1", d).AddLastingUpstream("tickets", "-delay-ms", "100"))
	}
	c.AddVM("edge-1", "edge")
	c.AwaitVersion(c.VMs[0].MustExecute(baseConfig), c.VMs...)
	c.AwaitUpstreams(3, c.VMs...)
	return c, ups
}

// callersPerVM is more than two of the three upstreams can serve at once.
const callersPerVM = 40

func startCallers(t *testing.T, vms ...*harness.VM) {
	t.Helper()
	for _, v := range vms {
		load := harness.StartLoad(callersPerVM, []*harness.VM{v}, harness.PostCalls(v.Name))
		t.Cleanup(load.Stop)
		load.AwaitResponses(t, 50)
	}
}

// checkDrained fails the test if requests reached the upstream since from.
func checkDrained(t *testing.T, c *harness.Cluster, u *harness.Upstream, from time.Time) {
	t.Helper()
	if n := mostInWindow(c, u.ID, from, time.Now()); n > 0 {
		t.Errorf("%d requests reached an upstream that had said in its answers that it was draining", n)
	}
	if runsElsewhere(c, u.ID, from) == 0 {
		t.Error("the other upstreams got no requests either")
	}
}

// TestUpstreamThatStatesItIsDrainingGetsNoMoreCalls: an upstream says so in its answers, while
// its announcements go on as before.
func TestUpstreamThatStatesItIsDrainingGetsNoMoreCalls(t *testing.T) {
	c, ups := drainCluster(t)
	startCallers(t, c.VMs...)
	ups[0].StateDraining(t)
	time.Sleep(drainTime)
	from := time.Now()
	time.Sleep(drainCheckTime)
	checkDrained(t, c, ups[0], from)
	c.AwaitUpstreams(2, c.VMs...) // all daemons have been told
}

// TestStatedDrainOutlivesARestartOfTheOwner: the daemon beside a draining upstream is killed
// and starts again, and the upstream announces itself to it as before. Daemons that have
// passed on the answer are still bound by it.
func TestStatedDrainOutlivesARestartOfTheOwner(t *testing.T) {
	c, ups := drainCluster(t)
	owner, others := c.VMs[0], c.VMs[1:]
	startCallers(t, edge(c))
	ups[0].StateDraining(t)
	time.Sleep(drainTime)
	from := time.Now()
	owner.Kill()
	owner.Start()
	c.AwaitUpstreams(3, others...)
	time.Sleep(drainCheckTime)
	checkDrained(t, c, ups[0], from)
}
