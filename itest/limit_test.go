package itest

import (
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/itest/harness"
)

// These tests guard against an upstream that gets more requests than it says it takes. One
// that had stated a limit in its answers got 2.6 times as many, as many as it had slots for:
// daemons counted its slots and passed the limit on without reading it.

const (
	// limitWindow is the time over which the requests at an upstream are counted.
	limitWindow = 4 * time.Second
	// limitExcess is the multiple of its rate limit that an upstream may get in a window,
	// limitSlack the number of requests that it may get beyond that.
	limitExcess = 1.5
	limitSlack  = 5
	// limitSettleTime is how long after an upstream states a new limit the limit need not
	// hold yet.
	limitSettleTime = 500 * time.Millisecond
)

// mostInWindow returns the largest number of requests that the upstream got in any
// limitWindow that begins at from or later and ends by until.
func mostInWindow(c *harness.Cluster, upstream string, from, until time.Time) int {
	var times []time.Time
	for _, e := range c.Journal() {
		if e.Verb == "run" && e.Upstream == upstream && e.At.After(from) && e.At.Before(until) {
			times = append(times, e.At)
		}
	}
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// runsElsewhere returns how many requests the other upstreams have got since from.
func runsElsewhere(c *harness.Cluster, upstream string, from time.Time) int {
	n := 0
	for _, e := range c.Journal() {
		if e.Verb == "run" && e.Upstream != upstream && e.At.After(from) {
			n++
		}
	}
	return n
}

// checkLimit lets the upstream get calls for limitWindow under the limit that it has just
// stated, and fails the test if it gets more than that allows.
func checkLimit(t *testing.T, c *harness.Cluster, u *harness.Upstream, limit float64, when string) {
	t.Helper()
	time.Sleep(limitSettleTime)
	from := time.Now()
	time.Sleep(limitWindow)
	most := mostInWindow(c, u.ID, from, time.Now())
	allowed := limitExcess*limit*limitWindow.Seconds() + limitSlack
	t.Logf("%s: %d requests in %v, limit %v/s; other upstreams got %d", when, most, limitWindow, limit, runsElsewhere(c, u.ID, from))
	if float64(most) > allowed {
		t.Errorf("%s: upstream with a limit of %v/s got %d requests in %v, allowed %.0f", when, limit, most, limitWindow, allowed)
	}
	if float64(most) < limit*limitWindow.Seconds()/2 {
		t.Errorf("%s: upstream with a limit of %v/s got only %d requests in %v under overload", when, limit, most, limitWindow)
	}
}

// TestUpstreamGetsNoMoreThanItsRateLimit: calls enter at four VMs in four failure domains,
// far more than the limit of one of three upstreams. The limit changes twice; it holds
// beside cuts between failure domains, and the upstream gets all that it takes once it
// states no limit.
func TestUpstreamGetsNoMoreThanItsRateLimit(t *testing.T) {
	c, ups := threeDomains(t, "-delay-ms", "20")
	limited := ups[0]
	for _, v := range c.VMs {
		// Callers of their own, since those of a daemon that is cut off wait.
		load := harness.StartLoad(15, []*harness.VM{v}, harness.PostCalls(v.Name))
		defer load.Stop()
		load.AwaitResponses(t, 25)
	}
	limited.SetRateLimit(t, "40")
	checkLimit(t, c, limited, 40, "first limit")
	limited.SetRateLimit(t, "12.5")
	c.Partition(func(a, b string) bool { return (a == "lekki") != (b == "lekki") })
	checkLimit(t, c, limited, 12.5, "lower limit, a failure domain cut off")
	c.Partition(func(a, b string) bool { return false })
	limited.SetRateLimit(t, "60")
	checkLimit(t, c, limited, 60, "higher limit")
	limited.SetRateLimit(t, "")
	time.Sleep(limitSettleTime)
	from := time.Now()
	time.Sleep(time.Second)
	const wanted = 120 // twice its last limit; its slots serve 400 per second
	if n := mostInWindow(c, limited.ID, from, time.Now()); n < wanted {
		t.Errorf("upstream that states no limit any more got %d requests in 1 s, want %d or more", n, wanted)
	}
}

// TestRateLimitHoldsWhileItsOwnerRestarts: the daemon beside a limited upstream is killed and
// starts again. The others were told of the limit before, so that the upstream must not get
// more than it allows, although its daemon has had no answer from it yet.
func TestRateLimitHoldsWhileItsOwnerRestarts(t *testing.T) {
	c := harness.New(t)
	for _, d := range []string{"ikeja", "lekki", "yaba", "edge"} {
		c.AddVM(d+"-1", d)
	}
	owner, others := c.VMs[0], c.VMs[1:]
	limited := owner.AddLastingUpstream("tickets", "-delay-ms", "200")
	for _, v := range c.VMs[1:3] {
		v.AddUpstream("tickets", "-delay-ms", "200")
	}
	c.AwaitVersion(owner.MustExecute(baseConfig), c.VMs...)
	c.AwaitUpstreams(3, c.VMs...)
	load := harness.StartLoad(60, others, harness.PostCalls("restart"))
	defer load.Stop()
	load.AwaitResponses(t, 100)
	limited.SetRateLimit(t, "1.5")
	time.Sleep(limitSettleTime)
	from := time.Now()
	for range 3 {
		time.Sleep(time.Second)
		owner.Kill()
		owner.Start()
		c.AwaitUpstreams(3, others...)
	}
	time.Sleep(2 * time.Second)
	most := mostInWindow(c, limited.ID, from, time.Now())
	allowed := limitExcess*1.5*limitWindow.Seconds() + limitSlack
	t.Logf("%d requests in %v, allowed %.0f", most, limitWindow, allowed)
	if float64(most) > allowed {
		t.Errorf("upstream with a limit of 1.5/s got %d requests in %v while its daemon restarted, allowed %.0f", most, limitWindow, allowed)
	}
}
