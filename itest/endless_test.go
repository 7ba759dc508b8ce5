package itest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/itest/harness"
)

// TestResponsesWithoutEndCostNeitherMemoryNorTime guards against a daemon that runs out of memory
// because an upstream sends a head or a body without end, and against callers who wait for it until
// their deadline. The calls beside them are answered.
func TestResponsesWithoutEndCostNeitherMemoryNorTime(t *testing.T) {
	const (
		maxGrowth = 16 << 20
		// The deadline of a call is 5 s.
		promptly = time.Second
		// One call in five gets a response without end, two a second.
		rounds       = 24
		callInterval = 125 * time.Millisecond
	)
	c, _ := threeDomains(t)
	client := harness.NewCallerClient()
	send := func(id, query string) (harness.Response, time.Duration) {
		began := time.Now()
		res := edge(c).Send(client, harness.Call{Method: "POST", Path: "/tickets" + query, Caller: "clerk", ID: id})
		return res, time.Since(began)
	}
	for i := range 200 {
		send(fmt.Sprint("warm-", i), "")
	}
	before := map[*harness.VM]int64{}
	for _, v := range c.VMs {
		before[v] = v.PeakMemory()
	}
	for i := range rounds {
		kind := []string{"header", "headers", "interim", "body"}[i%4]
		var pending sync.WaitGroup
		pending.Go(func() {
			res, took := send(fmt.Sprintf("endless-%s-%d", kind, i), "?endless="+kind)
			if res.Err == nil && res.Outcome == "answered" {
				t.Errorf("a response without end (%s) was delivered as complete", kind)
			}
			if took > promptly {
				t.Errorf("a call whose response has no end (%s) took %v", kind, took)
			}
		})
		for n := range 4 {
			if res, _ := send(fmt.Sprintf("sound-%d-%d", i, n), ""); res.Outcome != "answered" {
				t.Errorf("a call beside responses without end got %d %s %s, %v", res.Status, res.Outcome, res.Reason, res.Err)
			}
			time.Sleep(callInterval)
		}
		pending.Wait()
	}
	for _, v := range c.VMs {
		growth := v.PeakMemory() - before[v]
		t.Logf("%s: %d MiB, %d MiB more than before", v.Name, v.PeakMemory()>>20, growth>>20)
		if growth > maxGrowth {
			t.Errorf("%s took %d MiB more, at most %d MiB are allowed", v.Name, growth>>20, maxGrowth>>20)
		}
	}
}
