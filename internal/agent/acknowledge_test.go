package agent_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/agent"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
	"github.com/comfreygate/comfreygate/platform"
	"github.com/comfreygate/comfreygate/platform/platformtest"
)

// sendToDaemon sends a request of an upstream to the handler of a daemon's heartbeats, and returns
// the status of the response.
func sendToDaemon(a *agent.Agent, method, body string) int {
	local := platform.LocalUpstream{Service: "s0", Addr: "127.0.0.1:80"}
	h := platform.NewHeartbeatHandler(a, local, metrics.NewRegistry(), zerolog.Nop())
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, "/instances/i-1", strings.NewReader(body)))
	return w.Code
}

var (
	readyHeartbeat    = platformtest.Heartbeat{Service: "s0", Addr: "127.0.0.1:80", Slots: 4, Sequence: 3}.Encode()
	drainingHeartbeat = platformtest.Heartbeat{Service: "s0", Addr: "127.0.0.1:80", Slots: 4, Sequence: 4, Draining: true}.Encode()
)

// TestStoppedDaemonAcknowledgesNothing guards against an upstream that relies on the
// acknowledgement of a daemon that has stopped and has not applied what it was told.
func TestStoppedDaemonAcknowledgesNothing(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 1, nil)
	is.Equal(sendToDaemon(f.agents[0], http.MethodPut, readyHeartbeat), http.StatusOK)
	f.agents[0].Kill()
	is.Equal(sendToDaemon(f.agents[0], http.MethodPut, drainingHeartbeat), http.StatusServiceUnavailable)
	is.Equal(sendToDaemon(f.agents[0], http.MethodDelete, ""), http.StatusServiceUnavailable)
}

// TestLeavingIsAcknowledgedOnceAnotherDaemonKnows guards against a daemon that acknowledges that an
// upstream leaves and ends at once: nobody would know of it then.
func TestLeavingIsAcknowledgedOnceAnotherDaemonKnows(t *testing.T) {
	for name, leave := range map[string]func(*agent.Agent) int{
		"deregistered": func(a *agent.Agent) int { return sendToDaemon(a, http.MethodDelete, "") },
		"announced":    func(a *agent.Agent) int { return sendToDaemon(a, http.MethodPut, drainingHeartbeat) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, 2, nil)
			f.converged(f.publish(0))
			accepting := func(w *table.World) int {
				n := 0
				w.EachLive(func(m wire.Member) {
					for _, u := range m.Upstreams {
						if !u.Draining {
							n++
						}
					}
				})
				return n
			}
			f.agents[0].Announce(agent.Announcement{ID: "i-1", Incarnation: "i-1", Process: "i-1", Service: "s0", Addr: "127.0.0.1:80", Slots: 4})
			f.await("the upstream is known", func(w *table.World) bool { return accepting(w) == 1 })
			is.Equal(leave(f.agents[0]), http.StatusOK)
			known := -1
			f.agents[1].Inspect(func(w *table.World) { known = accepting(w) })
			is.Equal(known, 0)
		})
	}
}
