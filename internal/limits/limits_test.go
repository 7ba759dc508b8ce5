package limits

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/view"
)

// TestOnlyTheLimitCoordinatorAnswers sends reports and lease requests to a daemon that is
// not the limit coordinator, which must refuse them, and to one that is; malformed bodies
// must be refused as well.
func TestOnlyTheLimitCoordinatorAnswers(t *testing.T) {
	is := is.New(t)
	l := New(Config{Domain: "d", Dialer: &net.Dialer{}, Metrics: metrics.NewRegistry(), Logger: zerolog.Nop()})
	post := func(path, body string) int {
		w := httptest.NewRecorder()
		l.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://any"+path, strings.NewReader(body)))
		return w.Code
	}
	is.Equal(post(PathReport, "{}"), http.StatusConflict)
	l.view.Store(&view.View{LimitCoordinators: map[string]view.LimitCoordinator{"d": {Local: true}}})
	is.Equal(post(PathReport, "{}"), http.StatusOK)
	is.Equal(post(PathLeases, `{"domain":"e","needs":{"a":1}}`), http.StatusOK)
	is.Equal(post(PathReport, "["), http.StatusBadRequest)
	is.Equal(post(PathLeases, `{"needs":[]}`), http.StatusBadRequest)
}

// coordinatorStub is a limit coordinator that grants all calls of a kind that it knows.
type coordinatorStub struct {
	// oldBuild is set if it does not know of returning calls.
	oldBuild bool
	// received has the fields of the reports with calls that wait for a grant.
	received chan map[string]json.RawMessage
}

func (c *coordinatorStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var fields map[string]json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&fields); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := map[string]any{"short": map[string]int{"a": 1500}}
	if wanted, ok := fields["wanted"]; ok {
		reply["granted"] = wanted
	}
	if wanted, ok := fields["wanted_again"]; ok && !c.oldBuild {
		reply["granted_again"] = wanted
	}
	if len(fields) > 0 {
		c.received <- fields
	}
	_ = json.NewEncoder(w).Encode(reply)
}

// limiterWith returns a limiter of a workspace "a" whose coordinator is the stub, after the
// first reply, with its metrics.
func limiterWith(t *testing.T, c *coordinatorStub, loadControl bool) (*Limiter, *view.View, metrics.Registry) {
	c.received = make(chan map[string]json.RawMessage, 100)
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	registry := metrics.NewRegistry()
	l := New(Config{Domain: "d", Dialer: &net.Dialer{}, Metrics: registry, Logger: zerolog.Nop()})
	v := &view.View{
		Routes: view.NewRoutes(), Daemons: 1, LoadControl: loadControl,
		LimitCoordinators: map[string]view.LimitCoordinator{"d": {Daemon: "other", Owner: server.Listener.Addr().String()}},
	}
	v.Routes.SetWorkspaces(map[string]config.Workspace{"a": {Name: "a", Rate: 10, Burst: 10}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l.Update(ctx, v)
	for began := time.Now(); !l.HasReply(); time.Sleep(time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatal("no reply from the coordinator")
		}
	}
	return l, v, registry
}

// TestReturningCallsAreReportedSeparately checks the fields of reports and replies, with a
// coordinator that knows of returning calls, with one of an older build, which must not
// admit them, and where load control is not in force.
func TestReturningCallsAreReportedSeparately(t *testing.T) {
	for _, c := range []struct {
		name                  string
		oldBuild, loadControl bool
		admitted              bool
		field                 string
		granted               string
	}{
		{"known", false, true, true, "wanted_again", "limits.granted_again"},
		{"unknown to the coordinator", true, true, false, "wanted_again", ""},
		{"load control not in force", false, false, true, "wanted", "limits.granted"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			stub := &coordinatorStub{oldBuild: c.oldBuild}
			l, v, registry := limiterWith(t, stub, c.loadControl)
			count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
			admitted, refusal := l.Admit(context.Background(), v, "a", true)
			is.Equal(admitted, c.admitted)
			is.Equal(string((<-stub.received)[c.field]), `{"a":1}`)
			if c.admitted {
				is.Equal(count(c.granted), int64(1))
				is.Equal(count("limits.refused_again"), int64(0))
			} else {
				is.Equal(refusal.RetryAfter, 1500*time.Millisecond)
				is.Equal(count("limits.refused_again"), int64(1))
			}
			granted := count("limits.granted")
			admitted, _ = l.Admit(context.Background(), v, "a", false)
			is.True(admitted)
			is.Equal(string((<-stub.received)["wanted"]), `{"a":1}`)
			is.Equal(count("limits.granted"), granted+1)
		})
	}
}
