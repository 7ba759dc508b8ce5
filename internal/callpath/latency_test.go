package callpath

import (
	"io"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// latencyRates are the calls per second at which the added latency is measured. At the
// design size a daemon handles about 80, a busy one more.
var latencyRates = []struct {
	name string
	rate float64
}{{"80", 80}, {"500", 500}, {"2000", 2000}, {"6000", 6000}}

// latencyRunTime is how long each path is measured at each rate.
const latencyRunTime = 3 * time.Second

// BenchmarkAddedLatency measures calls sent directly to an upstream, through one daemon
// (the owner) and through two, all in one run with open-loop load, and reports the
// latency that the daemons add.
func BenchmarkAddedLatency(b *testing.B) {
	for _, l := range latencyRates {
		b.Run("rate="+l.name, func(b *testing.B) {
			defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
			r := newRig(b, 1, 512, 0)
			r.ingress.owner = r.workers[0].owner
			local := *r.ingress.view.Load()
			direct := r.workers[0].up.URL
			for range b.N {
				base := sendOpenLoop(b, r.client, direct+"/normal", l.rate)
				two := sendOpenLoop(b, r.client, r.srv.URL+"/normal", l.rate)
				local.Services["s"].Upstreams[0].Local = true
				one := sendOpenLoop(b, r.client, r.srv.URL+"/normal", l.rate)
				for _, q := range []struct {
					name string
					q    float64
				}{{"p50", 0.5}, {"p99", 0.99}} {
					b.ReportMetric(quantileMs(base, q.q), "direct-"+q.name+"-ms")
					b.ReportMetric(quantileMs(one, q.q)-quantileMs(base, q.q), "one-"+q.name+"-ms")
					b.ReportMetric(quantileMs(two, q.q)-quantileMs(base, q.q), "two-"+q.name+"-ms")
				}
			}
		})
	}
}

// sendOpenLoop sends calls at a fixed rate, regardless of responses, and returns their
// latencies in ascending order, each measured from when the call was sent.
func sendOpenLoop(b *testing.B, client *http.Client, url string, rate float64) []time.Duration {
	b.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var took []time.Duration
	n := int(rate * latencyRunTime.Seconds())
	began := time.Now()
	for i := range n {
		due := began.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		sent := time.Now()
		wg.Go(func() {
			if !fetch(client, url) {
				b.Error("call failed, want a complete response with status 200")
			}
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(sent))
		})
	}
	wg.Wait()
	slices.Sort(took)
	return took
}

// fetch sends a GET as caller c and reports whether it got a complete response with
// status 200.
func fetch(client *http.Client, url string) bool {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	req.Header.Set(HeaderCaller, "c")
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

// quantileMs returns a quantile of sorted durations, in milliseconds.
func quantileMs(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds()) / 1000
}

// BenchmarkCall measures calls through two daemons, eight at a time: processor time and
// allocations of the caller, both daemons and the upstream together.
func BenchmarkCall(b *testing.B) {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	r := newRig(b, 1, 512, 0)
	b.ReportAllocs()
	before := cpuTime(b)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if s := r.send(config.Normal); s.outcome != string(outcome.Answered) {
				b.Error(s.outcome)
			}
		}
	})
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/call")
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// gcPercent is the garbage collector's target in a daemon with default settings. A call
// leaves about 30 KB of garbage and the live heap is a few MB, so that the usual target
// of 100 raises the 99th percentile noticeably.
const gcPercent = 400
