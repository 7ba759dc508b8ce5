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
	// poisonInterval is the pause between two copies of the request that ends upstreams.
	poisonInterval = 200 * time.Millisecond
	// crashesToQuarantine is how many upstreams may end under it, deadlyMore how often it may be
	// run once all daemons can know of that.
	crashesToQuarantine = 3
	maxLaterPoisonRuns  = 3
	// laterPoisonCopies is how many copies are sent when all is healed.
	laterPoisonCopies = 24
)

// poisonSender sends copies of a request that ends each upstream which runs it, while faults
// strike.
type poisonSender struct {
	c    *harness.Cluster
	rng  *rand.Rand
	sent int
	stop chan struct{}
	wg   sync.WaitGroup
}

// startPoison begins with every other seed.
func startPoison(c *harness.Cluster, seed uint64) *poisonSender {
	p := &poisonSender{c: c, rng: rand.New(rand.NewPCG(seed, 1)), stop: make(chan struct{})}
	if seed%2 == 0 {
		p.wg.Go(p.run)
	}
	return p
}

func (p *poisonSender) run() {
	tick := time.NewTicker(poisonInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-tick.C:
			p.send()
		}
	}
}

// send sends a copy to some VM and leaves it to itself.
func (p *poisonSender) send() {
	p.sent++
	v := p.c.VMs[p.rng.IntN(len(p.c.VMs))]
	call := harness.Call{
		Method: http.MethodGet, Path: "/tickets/deadly?crash_ms=30", ID: fmt.Sprint("deadly-", p.sent), Caller: "clerk",
	}
	p.wg.Go(func() {
		client := harness.NewCallerClient()
		defer client.CloseIdleConnections()
		v.Send(client, call)
	})
}

// stopAndWait stops the copies and waits for those on their way.
func (p *poisonSender) stopAndWait() {
	close(p.stop)
	p.wg.Wait()
}

// runCount counts the runCount of copies.
func (p *poisonSender) runCount() int {
	n := 0
	for _, r := range p.c.Journal() {
		if r.Verb == "run" && strings.HasPrefix(r.Request, "deadly-") {
			n++
		}
	}
	return n
}

// checkPoisonQuarantined sends copies to daemons that can all know by now what the request did.
func (s *soakRun) checkPoisonQuarantined(p *poisonSender) {
	s.t.Helper()
	if p.sent == 0 {
		return
	}
	before := p.runCount()
	for range laterPoisonCopies {
		p.send()
		time.Sleep(poisonInterval / 4)
	}
	p.wg.Wait()
	after := p.runCount()
	s.t.Logf("%d copies of a request that ends upstreams: %d runs, %d of them after all was healed", p.sent, after, after-before)
	if laterRuns := after - max(before, crashesToQuarantine); laterRuns > maxLaterPoisonRuns {
		s.t.Errorf("a request that ends upstreams was run %d times more when all was healed", laterRuns)
	}
}
