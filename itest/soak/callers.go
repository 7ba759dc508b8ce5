package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/itest/harness"
)

// sample is one call with its response and times.
type sample struct {
	began    time.Time
	ended    time.Time
	vm       int
	call     harness.Call
	response harness.Response
}

// result names the call's outcome in plots and tallies; "broken" is a connection that
// closed before a complete response.
func (s sample) result() string {
	if s.response.Err != nil {
		return "broken"
	}
	return s.response.Outcome
}

// callers send calls to VMs until stopAndCollect is called.
type callers struct {
	vms []*harness.VM
	// next returns the n-th call.
	next    func(n int64) harness.Call
	sent    atomic.Int64
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	samples []sample
}

// callInterval is the interval between two calls of a caller.
const callInterval = 10 * time.Millisecond

// startCallers starts n callers at each of the VMs with these indices.
func startCallers(n int, vms []*harness.VM, entries []int, next func(n int64) harness.Call) *callers {
	c := &callers{vms: vms, next: next, stop: make(chan struct{})}
	for _, vm := range entries {
		for range n {
			c.wg.Add(1)
			go c.run(vm)
		}
	}
	return c
}

// run sends calls to one VM, over a connection that stays open until the VM closes it.
func (c *callers) run(vm int) {
	defer c.wg.Done()
	client := harness.NewCallerClient()
	defer client.CloseIdleConnections()
	tick := time.NewTicker(callInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-tick.C:
		}
		s := sample{began: time.Now(), vm: vm, call: c.next(c.sent.Add(1))}
		s.response = c.vms[vm].Send(client, s.call)
		s.ended = time.Now()
		c.mu.Lock()
		c.samples = append(c.samples, s)
		c.mu.Unlock()
	}
}

// shortCall returns the n-th call of the callers of short calls. Every third call may be
// repeated; some calls have long bodies.
func shortCall(prefix string, n int64) harness.Call {
	call := harness.PostCalls(prefix)(n)
	call.Path += fmt.Sprintf("?delay_ms=%d", n%9)
	switch {
	case n%3 == 0:
		call.Method = http.MethodGet
		call.Body = ""
	case n%10 == 1:
		call.Body = string(make([]byte, 40_000)) + call.ID
	}
	return call
}

// stopAndCollect stops the callers and returns the samples of all calls.
func (c *callers) stopAndCollect() []sample {
	close(c.stop)
	c.wg.Wait()
	return c.samples
}

// tally counts calls by result and reason.
func tally(samples []sample) map[string]int {
	counts := map[string]int{}
	for _, s := range samples {
		counts[strings.TrimSpace(s.result()+" "+s.response.Reason)]++
	}
	return counts
}

// checkGuarantees compares the calls with the upstreams' journal. It also checks that the
// versions in the responses of each incarnation of a daemon never decrease, and that no
// call that ran lost its connection unless its daemon was disrupted at that time.
func checkGuarantees(t *testing.T, c *harness.Cluster, samples []sample, disrupted *disruptions) {
	t.Helper()
	load := harness.Load{Responses: map[string]harness.Response{}, Calls: map[string]harness.Call{}}
	runs := c.RunCounts()
	versions := map[string]sample{}
	for _, s := range samples {
		load.Responses[s.call.ID], load.Calls[s.call.ID] = s.response, s.call
		if s.response.Err != nil && runs[s.call.ID] > 0 && !disrupted.overlaps(s.vm, s.began, s.ended) {
			t.Errorf("call %s ran, but %s closed its connection and was neither killed nor frozen at that time: %v", s.call.ID, c.VMs[s.vm].Name, s.response.Err)
		}
		checkVersion(t, versions, s)
	}
	load.CheckGuarantees(t, c)
}

// checkVersion checks that a response's version is not lower than that of a call which the
// same incarnation of a daemon had answered before this call began.
func checkVersion(t *testing.T, newest map[string]sample, s sample) {
	t.Helper()
	if s.response.Err != nil {
		return
	}
	previous, ok := newest[s.response.Addr]
	if ok && s.began.After(previous.ended) && version(s) < version(previous) {
		t.Errorf("daemon at %s answered with version %d after version %d", s.response.Addr, version(s), version(previous))
	}
	if !ok || version(s) > version(previous) {
		newest[s.response.Addr] = s
	}
}

func version(s sample) (v int64) {
	fmt.Sscan(s.response.Header.Get("Comfrey-Version"), &v)
	return v
}
