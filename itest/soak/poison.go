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
	// poisonInterval is the interval between two copies of the poison request.
	poisonInterval = 200 * time.Millisecond
	// crashesToQuarantine is how many upstreams the request may crash before it is
	// quarantined. maxLaterPoisonRuns bounds its runs after the quarantine can be known
	// to all daemons.
	crashesToQuarantine = 3
	maxLaterPoisonRuns  = 3
	// laterPoisonCopies is how many copies are sent after all faults have ended.
	laterPoisonCopies = 24
)

// poisonSender sends copies of a poison request, which crashes each upstream that runs it,
// while faults are injected.
type poisonSender struct {
	c    *harness.Cluster
	rng  *rand.Rand
	sent int
	stop chan struct{}
	wg   sync.WaitGroup
}

// startPoison returns a sender, which sends copies at intervals if the seed is even.
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

// send sends a copy to a random VM without waiting for the response.
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

// stopAndWait stops the sender and waits for the copies in flight.
func (p *poisonSender) stopAndWait() {
	close(p.stop)
	p.wg.Wait()
}

// runCount returns how often upstreams have run copies.
func (p *poisonSender) runCount() int {
	n := 0
	for _, r := range p.c.Journal() {
		if r.Verb == "run" && strings.HasPrefix(r.Request, "deadly-") {
			n++
		}
	}
	return n
}

// checkPoisonQuarantined sends further copies after all faults have ended, when every
// daemon can know of the quarantine, and checks that they are hardly run any more.
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
	s.t.Logf("%d copies of a poison request: %d runs, %d of them after all faults had ended", p.sent, after, after-before)
	if laterRuns := after - max(before, crashesToQuarantine); laterRuns > maxLaterPoisonRuns {
		s.t.Errorf("poison request was run %d more times after all faults had ended", laterRuns)
	}
}
