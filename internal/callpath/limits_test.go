package callpath

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/limits"
	"github.com/comfreygate/comfreygate/internal/view"
)

// testLimits returns a limiter for the failure domain of the tests.
func testLimits() *limits.Limiter {
	return limits.New(limits.Config{Domain: "d", Dialer: &net.Dialer{Timeout: time.Second}, Metrics: metrics.NewRegistry(), Logger: zerolog.Nop()})
}

// setCoordinator makes a daemon the limit coordinator of its failure domain.
func (k *keyRig) setCoordinator(coordinator view.LimitCoordinator) {
	v := *k.ingress.view.Load()
	v.LimitCoordinators = map[string]view.LimitCoordinator{"d": coordinator}
	v.Daemons = 2
	k.ingress.Update(&v)
}

// sendMany sends n calls one after the other and counts the responses by status.
func (k *keyRig) sendMany(n int, workspace string) map[int]int {
	counts := map[int]int{}
	for range n {
		status, _ := k.send("/normal", http.Header{"X-Workspace-Key": {keyOf(workspace)}})
		counts[status]++
	}
	return counts
}

// awaitCoordinator waits until the daemon has received a reply from its limit
// coordinator.
func (k *keyRig) awaitCoordinator() {
	k.t.Helper()
	for range 200 {
		time.Sleep(5 * time.Millisecond)
		if k.ingress.cfg.Limits.HasReply() {
			return
		}
	}
	k.t.Fatal("no reply from the limit coordinator within 1 s")
}

// TestOverLimitCallsGetRetryAfter floods a daemon that is its own limit coordinator.
// Calls over the limit must be refused with a retry-after, and workspaces without a limit
// must not be affected.
func TestOverLimitCallsGetRetryAfter(t *testing.T) {
	is := is.New(t)
	k := newKeyRig(t)
	k.setWorkspaces(map[string]config.Workspace{"a": {Rate: 10, Burst: 10}, "b": {}})
	k.setCoordinator(view.LimitCoordinator{Daemon: "vm", Local: true})
	k.awaitCoordinator()
	began := time.Now()
	counts := k.sendMany(200, "a")
	is.Equal(counts[http.StatusOK]+counts[http.StatusTooManyRequests], 200)
	is.True(counts[http.StatusTooManyRequests] > 0)
	// The burst, the rate over this time, and the calls admitted before the coordinator
	// has received the first report.
	is.True(counts[http.StatusOK] <= 10+int(10*time.Since(began).Seconds())+10)
	is.Equal(k.sendMany(50, "b")[http.StatusOK], 50) // no limit
	r := httptest.NewRequest(http.MethodPost, "http://any/normal", nil)
	r.Header.Set(HeaderCaller, "c")
	r.Header.Set("X-Workspace-Key", keyOf("a"))
	w := httptest.NewRecorder()
	k.ingress.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusTooManyRequests)
	after, err := strconv.Atoi(w.Header().Get("Retry-After"))
	is.NoErr(err)
	is.True(after >= 1)
	is.Equal(w.Header().Get(HeaderOutcome), "not-run")
}

// TestCallsNotRunDoNotCountAgainstTheLimit guards against calls that are refused for
// another reason but still use up their workspace's limit: here the service has no
// upstream, and no call may be refused as over the limit.
func TestCallsNotRunDoNotCountAgainstTheLimit(t *testing.T) {
	is := is.New(t)
	k := newKeyRig(t)
	k.setWorkspaces(map[string]config.Workspace{"a": {Rate: 1, Burst: 30}})
	k.setCoordinator(view.LimitCoordinator{Daemon: "vm", Local: true})
	k.awaitCoordinator()
	time.Sleep(1200 * time.Millisecond) // the coordinator's token bucket gains one call per second
	v := *k.ingress.view.Load()
	v.Services = map[string]*view.Service{"s": {Service: v.Services["s"].Service}} // no upstream
	served := v
	k.ingress.Update(&served)
	for range 20 {
		counts := k.sendMany(1, "a")
		is.Equal(counts[http.StatusTooManyRequests], 0)
		time.Sleep(2 * time.Millisecond)
	}
}

// TestDaemonWithoutCoordinatorAdmitsOnlyItsShare covers a limit coordinator that does not
// answer: the daemon may admit no more than its own share of the limit.
func TestDaemonWithoutCoordinatorAdmitsOnlyItsShare(t *testing.T) {
	is := is.New(t)
	k := newKeyRig(t)
	k.setWorkspaces(map[string]config.Workspace{"a": {Rate: 4, Burst: 4}})
	k.setCoordinator(view.LimitCoordinator{Daemon: "other", Owner: "127.0.0.1:1"})
	counts := k.sendMany(50, "a")
	is.True(counts[http.StatusOK] <= 3)
	is.True(counts[http.StatusTooManyRequests] >= 47)
	is.True(!k.ingress.cfg.Limits.HasReply())
}

// TestCallerPathsCannotReachDaemonEndpoints sends calls with the paths of endpoints
// between daemons. Callers must not be able to send inquiries to an owner, or to report
// admitted calls to a limit coordinator: such a call goes to the upstream like any other.
func TestCallerPathsCannotReachDaemonEndpoints(t *testing.T) {
	is := is.New(t)
	k := newKeyRig(t)
	k.setWorkspaces(map[string]config.Workspace{})
	v := *k.ingress.view.Load()
	route, _ := v.Match("", "/normal")
	anywhere := *route
	anywhere.Path = "/"
	v.Routes = view.NewRoutes(&anywhere)
	k.ingress.Update(&v)
	for _, path := range []string{pathVoid, pathAttempt, limits.PathReport, limits.PathLeases} {
		status, got := k.send(path, http.Header{headerAttempt: nil})
		is.Equal(status, http.StatusOK) // from the upstream
		is.True(got != nil)
	}
}

// TestCallersThatWaitedCountAsReturning sends calls with the time that their callers have left. A
// caller that allows less than others has waited already: while its workspace needs grants, its
// calls must be told from first-time calls, and only where load control is in force.
func TestCallersThatWaitedCountAsReturning(t *testing.T) {
	for _, loadControl := range []bool{true, false} {
		is := is.New(t)
		k := newKeyRig(t)
		k.setWorkspaces(map[string]config.Workspace{"a": {Rate: 10, Burst: 10}})
		registry := metrics.NewRegistry()
		k.ingress.cfg.Limits = limits.New(limits.Config{Domain: "d", Dialer: &net.Dialer{Timeout: time.Second}, Metrics: registry, Logger: zerolog.Nop()})
		v := *k.ingress.view.Load()
		v.LoadControl = loadControl
		k.ingress.view.Store(&v)
		k.setCoordinator(view.LimitCoordinator{Daemon: "vm", Local: true})
		k.awaitCoordinator()
		send := func(left int) (refused int) {
			for range 30 {
				status, _ := k.send("/normal", http.Header{"X-Workspace-Key": {keyOf("a")}, k.ingress.cfg.Dialect.Timeout: {strconv.Itoa(left)}})
				if status == http.StatusTooManyRequests {
					refused++
				}
			}
			return refused
		}
		refusedAgain := metrics.GetOrRegisterCounter("limits.refused_again", registry)
		is.True(send(1000) > 0)
		is.Equal(refusedAgain.Count(), int64(0))
		is.True(send(600) > 0)
		is.Equal(refusedAgain.Count() > 0, loadControl)
	}
}
