package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreygate/comfreygate/review/bed2"
)

func init() { cases["key"] = idempotencyKey }

// Figures of the case.
const (
	lookups       = 300
	lookupsAtOnce = 6
	lookupTries   = 3
	// lostAnswers is the part of one worker's runs whose answer is lost: every n-th.
	lostAnswers = 10
	// deniedAllowed and deniedPart are the bounds of the rule DENIED.
	deniedAllowed = 5
	deniedPart    = 500
)

// idempotencyKey sends safe requests that bear an Idempotency-Key, as HTTP clients do, and loses some
// answers. A client that comes back must be served.
func idempotencyKey(r *bed2.Record, trouble bool) (bool, error) {
	d, err := bed2.New(r, bed2.Config{
		Zones: []string{"ikeja", "lekki", "yaba"}, LinkMbps: 1000, MemoryMB: 284, HeartbeatMs: 870, Bounds: bounds(nil),
	})
	if err != nil {
		return false, err
	}
	defer d.Close()
	if _, err := d.WriteConfig(crashConfig()); err != nil {
		return false, err
	}
	var runs atomic.Int64
	for _, at := range []struct{ name, zone string }{{"m1", "ikeja"}, {"m2", "lekki"}, {"m3", "yaba"}} {
		m, err := d.AddMachine(at.name, at.zone, "orders")
		if err != nil {
			return false, err
		}
		w, err := m.StartWorker("i-"+at.name, 12, func(_ context.Context, _ *bed2.Worker, req *http.Request, _ []byte) (int, []byte) {
			time.Sleep(10 * time.Millisecond)
			if trouble && at.name == "m1" && strings.HasPrefix(req.Header.Get("X-Request-Id"), "lookup") && runs.Add(1)%lostAnswers == 0 {
				r.Printf("trouble: the answer of %s is lost", req.Header.Get("X-Request-Id"))
				panic(http.ErrAbortHandler) // the worker's connection closes without an answer
			}
			return http.StatusOK, []byte("found")
		})
		if err != nil {
			return false, err
		}
		defer w.Stop()
	}
	if err := d.AwaitReady(); err != nil {
		return false, err
	}
	if err := awaitServed(d, statement("")); err != nil {
		return false, err
	}
	var sent, denied, unserved atomic.Int64
	var clients sync.WaitGroup
	for i := range lookupsAtOnce {
		clients.Go(func() {
			for n := range lookups / lookupsAtOnce {
				served := false
				for try := 0; try < lookupTries && !served; try++ {
					req := statement(fmt.Sprintf("lookup-%d-%d-%d", i, n, try))
					req.Header = map[string]string{"Idempotency-Key": fmt.Sprintf("4b1c-%d-%d", i, n)}
					a := d.Machines[i%len(d.Machines)].Send(req)
					sent.Add(1)
					served = a.FromWorker()
					if a.Err == nil && !served && a.Status >= 400 && a.Status < 500 && a.Status != 408 && a.Status != 421 && a.Status != 429 {
						denied.Add(1)
					}
				}
				if !served {
					unserved.Add(1)
				}
			}
		})
	}
	clients.Wait()
	allowed := deniedAllowed + sent.Load()/deniedPart
	r.Printf("judged: %d of %d requests ended with a 4xx of the daemon's own, %d are allowed; %d lookups were never served", denied.Load(), sent.Load(), allowed, unserved.Load())
	return denied.Load() > allowed, nil
}
