package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/comfreygate/comfreygate/itest/harness"
)

const (
	// deadlyEvery is the pause between two copies of the request that ends upstreams.
	deadlyEvery = 200 * time.Millisecond
	// deadlyEnough is how many upstreams may end under it, deadlyMore how often it may be
	// run once all daemons can know of that.
	deadlyEnough = 3
	deadlyMore   = 3
	// deadlyAfter is how many copies are sent when all is healed.
	deadlyAfter = 24
)

// deadly sends copies of a request that ends each upstream which runs it, while faults
// strike.
type deadly struct {
	c    *harness.Cluster
	rng  *rand.Rand
	sent int
	stop chan struct{}
	wg   sync.WaitGroup
}

// startDeadly begins with every other seed.
func startDeadly(c *harness.Cluster, seed uint64) *deadly {
	d := &deadly{c: c, rng: rand.New(rand.NewPCG(seed, 1)), stop: make(chan struct{})}
	if seed%2 == 0 {
		d.wg.Go(d.run)
	}
	return d
}

func (d *deadly) run() {
	tick := time.NewTicker(deadlyEvery)
	defer tick.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-tick.C:
			d.send()
		}
	}
}

// send sends a copy to some VM and leaves it to itself.
func (d *deadly) send() {
	d.sent++
	v := d.c.VMs[d.rng.IntN(len(d.c.VMs))]
	call := harness.Call{
		Method: http.MethodGet, Path: "/tickets/deadly?crash_ms=30", ID: fmt.Sprint("deadly-", d.sent), Caller: "clerk",
	}
	d.wg.Go(func() {
		client := harness.NewCaller()
		defer client.CloseIdleConnections()
		v.Send(client, call)
	})
}

// end stops the copies and waits for those on their way.
func (d *deadly) end() {
	close(d.stop)
	d.wg.Wait()
}

// runs counts the runs of copies.
func (d *deadly) runs() int {
	n := 0
	for _, r := range d.c.Journal() {
		if r.Verb == "run" && strings.HasPrefix(r.Request, "deadly-") {
			n++
		}
	}
	return n
}

// checkDeadly sends copies to daemons that can all know by now what the request did.
func (w *world) checkDeadly(d *deadly) {
	w.t.Helper()
	if d.sent == 0 {
		return
	}
	before := d.runs()
	for range deadlyAfter {
		d.send()
		time.Sleep(deadlyEvery / 4)
	}
	d.wg.Wait()
	after := d.runs()
	w.t.Logf("%d copies of a request that ends upstreams: %d runs, %d of them after all was healed", d.sent, after, after-before)
	if more := after - max(before, deadlyEnough); more > deadlyMore {
		w.t.Errorf("a request that ends upstreams was run %d times more when all was healed", more)
	}
}
