package agent_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/agent"
	"github.com/comfreygate/comfreygate/internal/callpath"
	"github.com/comfreygate/comfreygate/internal/devlog"
	"github.com/comfreygate/comfreygate/internal/settings"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/platform"
	"github.com/comfreygate/comfreygate/platform/store"
)

// rolloutDocument is the configuration used by the rollout tests.
const rolloutDocument = `{"version":7,"services":[{"name":"tickets","max_connections":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"virtual_hosts":[{"host":"tickets.example","paths":[{"name":"lookup","path_prefix":"/lookup/","kind":"safe",
"timeout_ms":2000,"target_latency_ms":300,"priority":1,"service":"tickets","max_attempts":2}]}]}`

// upstreamVersion is the set of upstreams that run one software version, one per daemon.
type upstreamVersion struct {
	servers []*httptest.Server
	runs    atomic.Int64
	// failPercent is the percentage of calls that fail.
	failPercent atomic.Int64
	// stopped is set once the upstreams have stopped; callsAfterStop counts later calls.
	stopped        atomic.Bool
	callsAfterStop atomic.Int64
}

func (v *upstreamVersion) serve(w http.ResponseWriter, _ *http.Request) {
	if v.stopped.Load() {
		v.callsAfterStop.Add(1)
		http.Error(w, "stopped", http.StatusInternalServerError)
		return
	}
	v.runs.Add(1)
	time.Sleep(2 * time.Millisecond)
	if rand.Int64N(100) < v.failPercent.Load() {
		http.Error(w, "bad", http.StatusInternalServerError)
	}
}

// rolloutFleet is a fleet of daemons that read configuration and rollout orders from the
// platform's store. Each has one upstream of either version on its VM.
type rolloutFleet struct {
	t        *testing.T
	log      *devlog.Log
	agents   []*agent.Agent
	versions map[string]*upstreamVersion
	failed   atomic.Int64
	calls    atomic.Int64
	stop     chan struct{}
	running  sync.WaitGroup
}

func startRolloutFleet(t *testing.T, n int) *rolloutFleet {
	f := &rolloutFleet{t: t, log: devlog.New(), versions: map[string]*upstreamVersion{"v1": {}, "v2": {}}, stop: make(chan struct{})}
	if err := f.log.AppendKeyed(context.Background(), "keyed.op", "config", []byte(rolloutDocument)); err != nil {
		t.Fatal(err)
	}
	for i := range n {
		for _, v := range f.versions {
			v.servers = append(v.servers, httptest.NewServer(http.HandlerFunc(v.serve)))
		}
		f.add(i)
	}
	t.Cleanup(f.close)
	f.announce("v1")
	for _, a := range f.agents {
		f.await("ready", func() bool { return a.Ready() && f.upstreams(a) == n })
	}
	time.Sleep(time.Second) // versions that appear from now on count as new
	for i := range f.agents {
		f.running.Go(func() { f.sendCalls(i) })
	}
	return f
}

func (f *rolloutFleet) add(i int) {
	s := settings.Default()
	s.VM, s.FailureDomain = fmt.Sprintf("vm-%d", i), fmt.Sprintf("domain-%d", i%2)
	const anyPort = "127.0.0.1:0"
	s.Listen = settings.Listen{Callers: anyPort, Admin: anyPort, Peers: anyPort, Owner: anyPort, Local: anyPort}
	s.Control.Grace = settings.Duration(500 * time.Millisecond)
	s.Control.UpstreamLapse = settings.Duration(time.Minute)
	s.Bounds.InForce = settings.Duration(time.Second)
	if i > 0 {
		s.Control.Peers = []string{f.agents[0].Addresses().Peers}
	}
	a, err := agent.New(s, agent.Options{
		Log: f.log, Logger: zerolog.Nop(), Dialect: callpath.DefaultDialect(),
		Source: platform.NewSource(f.log, zerolog.Nop()), StatusPublisher: platform.NewStatuses(f.log),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	a.Start(http.NotFoundHandler())
	f.agents = append(f.agents, a)
}

func (f *rolloutFleet) announce(version string) {
	for i, a := range f.agents {
		addr := f.versions[version].servers[i].Listener.Addr().(*net.TCPAddr).String()
		a.Announce(agent.Announcement{
			ID: version, Incarnation: "1", Service: "tickets", Version: version, Addr: addr, Slots: 4, Connections: 50,
		})
	}
}

func (f *rolloutFleet) upstreams(a *agent.Agent) (n int) {
	a.Inspect(func(w *table.World) {
		ids, others := w.UpstreamsOf("tickets", "v1")
		n = len(ids) + others
	})
	return n
}

func (f *rolloutFleet) await(what string, holds func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for condition: %s", what)
		}
	}
}

// sendCalls sends calls to daemon i, one every 5 ms.
func (f *rolloutFleet) sendCalls(i int) {
	url := "http://" + f.agents[i].Addresses().Callers + "/lookup/1"
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		req, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return
		}
		req.Host = "tickets.example"
		f.calls.Add(1)
		res, err := http.DefaultClient.Do(req)
		if err != nil || res.StatusCode != http.StatusOK {
			f.failed.Add(1)
		}
		if err == nil {
			res.Body.Close()
		}
	}
}

// rollOut orders a rollout of version v2 with the given duration and returns the final status
// published for operators.
func (f *rolloutFleet) rollOut(duration time.Duration) string {
	order := fmt.Sprintf(`{"service":"tickets","target_version":"v2","duration_s":%g}`, duration.Seconds())
	if err := f.log.AppendKeyed(context.Background(), "keyed.op", "rollout/tickets", []byte(order)); err != nil {
		f.t.Fatal(err)
	}
	f.announce("v2")
	status := ""
	f.await("a final state", func() bool {
		status = f.status()
		return status == `{"state":"completed","target_version":"v2"}` || status == `{"state":"rolled_back","target_version":"v2"}`
	})
	return status
}

func (f *rolloutFleet) status() string {
	n, err := f.log.Newest(context.Background(), "keyed.status")
	if err != nil {
		f.t.Fatal(err)
	}
	for _, e := range n.Entries {
		if e.Key == "rollout/tickets" {
			return string(e.Data)
		}
	}
	return ""
}

func (f *rolloutFleet) close() {
	close(f.stop)
	f.running.Wait()
	for _, a := range f.agents {
		a.Kill()
	}
	for _, v := range f.versions {
		for _, s := range v.servers {
			s.Close()
		}
	}
}

// rolloutDuration is how long the rollouts of the tests may take.
const rolloutDuration = 6 * time.Second

// TestRolloutOfHealthyVersionCompletes stops the old upstreams as soon as the published status
// says that the rollout is completed. It guards against calls that still reach an old upstream
// after that, and against calls that fail during the rollout.
func TestRolloutOfHealthyVersionCompletes(t *testing.T) {
	is := is.New(t)
	f := startRolloutFleet(t, 6)
	began := time.Now()
	is.Equal(f.rollOut(rolloutDuration), `{"state":"completed","target_version":"v2"}`)
	took := time.Since(began)
	f.versions["v1"].stopped.Store(true)
	time.Sleep(time.Second)
	t.Logf("completed after %v; %d calls, %d failed; %d ran on v1, %d on v2", took, f.calls.Load(), f.failed.Load(),
		f.versions["v1"].runs.Load(), f.versions["v2"].runs.Load())
	is.True(took <= rolloutDuration)
	is.Equal(f.versions["v1"].callsAfterStop.Load(), int64(0))
	is.Equal(f.failed.Load(), int64(0))
	newest, err := f.log.Newest(context.Background(), store.RolloutTopic)
	is.NoErr(err)
	is.Equal(newest.End, uint64(3)) // phases trying, moving and completed
}

// TestRolloutOfFailingVersionIsReverted lets half of the calls to the new version fail. It
// guards against a rollout that continues or exposes more than a tenth of the calls to it.
func TestRolloutOfFailingVersionIsReverted(t *testing.T) {
	is := is.New(t)
	f := startRolloutFleet(t, 6)
	f.versions["v2"].failPercent.Store(50)
	before := f.calls.Load()
	is.Equal(f.rollOut(rolloutDuration), `{"state":"rolled_back","target_version":"v2"}`)
	exposed := f.versions["v2"].runs.Load()
	time.Sleep(500 * time.Millisecond)
	calls := f.calls.Load() - before
	t.Logf("%d of %d calls went to the bad version; %d callers got a failure", exposed, calls, f.failed.Load())
	is.Equal(f.versions["v2"].runs.Load(), exposed) // no calls after the revert
	is.True(exposed <= calls/10+50)
}
