package agent_test

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/agent"
	"github.com/comfreygate/comfreygate/internal/callpath"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/devlog"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/lang"
	"github.com/comfreygate/comfreygate/internal/settings"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/platform/store"
)

// fleetDomains is the number of failure domains in the deployment that the daemon is designed
// for.
const fleetDomains = 7

// fleet is a set of daemons in the test process that communicate over loopback sockets.
type fleet struct {
	t      testing.TB
	log    *devlog.Log
	agents []*agent.Agent
	tune   func(*settings.Settings)
	// logger is that of all daemons; its zero value discards lines.
	logger zerolog.Logger
}

// startFleet starts n daemons and waits until each knows all others. The function tune may
// change the settings of each daemon; if it is nil, they stay as they are.
func startFleet(t testing.TB, n int, tune func(*settings.Settings)) *fleet {
	t.Helper()
	f := &fleet{t: t, log: devlog.New(), tune: tune}
	for i := range n {
		f.add(i)
	}
	t.Cleanup(func() { f.close() })
	f.awaitMembers()
	return f
}

// awaitMembers waits until each daemon knows all others.
func (f *fleet) awaitMembers() {
	f.t.Helper()
	n := len(f.agents)
	f.await("all daemons know each other", func(w *table.World) bool {
		return len(w.Members) == n-1
	})
}

// restart kills all daemons at once and starts as many at once, with new addresses like those
// of replaced VMs.
func (f *fleet) restart() {
	n := len(f.agents)
	f.close()
	f.agents = nil
	for i := range n {
		f.add(i)
	}
}

func (f *fleet) add(i int) {
	s := settings.Default()
	s.VM = fmt.Sprintf("vm-%03d", i)
	s.FailureDomain = fmt.Sprintf("domain-%d", i%fleetDomains)
	const anyPort = "127.0.0.1:0"
	s.Listen = settings.Listen{Callers: anyPort, Admin: anyPort, Peers: anyPort, Owner: anyPort, Local: anyPort}
	s.Control.Grace = settings.Duration(500 * time.Millisecond)
	if len(f.agents) > 0 {
		s.Control.Peers = []string{f.agents[0].Addresses().Peers, f.agents[len(f.agents)/2].Addresses().Peers}
	}
	if f.tune != nil {
		f.tune(&s)
	}
	a, err := agent.New(s, agent.Options{Log: f.log, Logger: f.logger, Dialect: callpath.DefaultDialect()})
	if err != nil {
		f.t.Fatal(err)
	}
	a.Start(http.NotFoundHandler())
	f.agents = append(f.agents, a)
}

func (f *fleet) close() {
	var wg sync.WaitGroup
	for _, a := range f.agents {
		wg.Go(a.Kill)
	}
	wg.Wait()
}

// await waits until the condition holds on every daemon.
func (f *fleet) await(what string, holds func(*table.World) bool) {
	f.t.Helper()
	deadline := time.Now().Add(2 * time.Minute)
	for _, a := range f.agents {
		for ok := false; !ok; {
			a.Inspect(func(w *table.World) { ok = holds(w) })
			if !ok && time.Now().After(deadline) {
				f.t.Fatalf("timed out waiting for condition: %s", what)
			}
			if !ok {
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
}

// publish submits change i through a daemon and returns the version that it created.
func (f *fleet) publish(i int) uint64 {
	f.t.Helper()
	o := f.agents[i%len(f.agents)].Submit(context.Background(), config.Command{Changes: change(f.t, i)})
	if o.Status != config.Accepted {
		f.t.Fatalf("change %d: status %s, want accepted: %s", i, o.Status, o.Reason)
	}
	return o.Version
}

// publishMany appends n changes directly to the log and returns the last version.
func (f *fleet) publishMany(n int) uint64 {
	f.t.Helper()
	var last uint64
	for i := range n {
		data, err := config.Record{Command: &config.Command{ID: fmt.Sprint("many-", i), Changes: change(f.t, i)}}.Encode()
		if err != nil {
			f.t.Fatal(err)
		}
		if last, err = f.log.Append(context.Background(), store.ConfigTopic, data); err != nil {
			f.t.Fatal(err)
		}
	}
	return last + 1
}

// change returns change set i, of about 300 bytes.
func change(t testing.TB, i int) []config.Change {
	t.Helper()
	st, err := lang.Parse(fmt.Sprintf("put service s%d ramp 5s; put policy p urgency normal timeout 1s; put caller c; "+
		"put route r%d path /r%d to s%d policy p callers c", i%37, i%37, i%37, i%37))
	if err != nil {
		t.Fatal(err)
	}
	return st.Changes
}

// converged waits until the version is in force on every daemon and returns the time at which
// each applied it.
func (f *fleet) converged(version uint64) []time.Time {
	f.await("version in force", func(w *table.World) bool { return w.Self.Heartbeat.Applied >= version })
	times := make([]time.Time, 0, len(f.agents))
	for _, a := range f.agents {
		for _, e := range a.Events().List() {
			if e.Kind == event.Applied && e.Version >= version {
				times = append(times, time.UnixMicro(e.Clock))
				break
			}
		}
	}
	return times
}

// counters returns the sum of a counter over all daemons and its highest value on any of them.
func (f *fleet) counters(name string) (sum, highest int64) {
	for _, a := range f.agents {
		n := metrics.GetOrRegisterCounter(name, a.Metrics()).Count()
		sum += n
		highest = max(highest, n)
	}
	return sum, highest
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// quantile returns the q-quantile of d in milliseconds. It sorts d.
func quantile(d []time.Duration, q float64) float64 {
	slices.Sort(d)
	return float64(d[int(q*float64(len(d)-1))].Microseconds()) / 1000
}
