package callpath

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/pressure"
	"github.com/comfreygate/comfreygate/internal/view"
)

// refusals returns the number of refusals in the row of the key, and whether there is one.
func refusals(in *Ingress, k pressure.Key) (n int, ok bool) {
	for _, row := range in.cfg.Pressure.Rows() {
		if row.Key != k {
			continue
		}
		for _, c := range row.Refused {
			n += c.N
		}
		return n, true
	}
	return 0, false
}

// TestRefusalsForSlotsAreRecorded guards against refused calls and attempts that show pressure
// does not list: one upstream with one slot gets ten times what it can run.
func TestRefusalsForSlotsAreRecorded(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 1, 40*time.Millisecond)
	refused := 0
	for _, s := range r.offer(250, 400*time.Millisecond, config.Background) {
		if s.outcome == string(outcome.NotRun) {
			refused++
		}
	}
	is.True(refused > 0)
	calls, _ := refusals(r.ingress, pressure.Key{Resource: pressure.Slots, Name: "s", Where: "d"})
	is.Equal(calls, refused)
	attempts, _ := refusals(r.ingress, pressure.Key{Resource: pressure.Slots, Name: "s", Where: "d/w0"})
	is.Equal(int64(attempts), r.metrics.Refused.Count())
}

// TestRefusalsOverALimitNameTheWorkspace guards against limits that are listed under the
// service, which has nothing to do with them.
func TestRefusalsOverALimitNameTheWorkspace(t *testing.T) {
	is := is.New(t)
	k := newKeyRig(t)
	k.setWorkspaces(map[string]config.Workspace{"a": {Rate: 4, Burst: 4}})
	k.setCoordinator(view.LimitCoordinator{Daemon: "other", Owner: "127.0.0.1:1"})
	limited := k.sendMany(50, "a")[http.StatusTooManyRequests]
	is.True(limited > 0)
	n, _ := refusals(k.ingress, pressure.Key{Resource: pressure.Limit, Name: "a", Where: "d"})
	is.Equal(n, limited)
}

// TestReportedWaitsAreRecorded guards against a link or a queue that makes calls late, but
// refuses none, and is not listed.
func TestReportedWaitsAreRecorded(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 1, 0)
	c := &call{route: &view.Route{Policy: config.Policy{Objective: time.Second}}, attempt: Attempt{AnswerBytes: outcome.LongBody}}
	u := view.Upstream{ID: "w0", Service: "s", Daemon: "w0", Domain: "d"}
	load := outcome.Load{Queued: 6, Slots: 2, Service: 100 * time.Millisecond, Egress: 700 * time.Millisecond}
	r.ingress.recordAttemptPressure(c, u, outcome.Result{Outcome: outcome.Answered, HasLoad: true, Load: load})
	rows := r.ingress.cfg.Pressure.Rows()
	is.Equal(len(rows), 1) // 300 ms in the queue are less than half of the objective
	is.Equal(rows[0].Key, pressure.Key{Resource: pressure.Link, Name: "s", Where: "d/w0"})
	is.Equal(rows[0].Wait, 700*time.Millisecond)
}

// TestShortCallsDoNotMakeALinkScarce guards against a link that is listed as scarce because its
// wait exceeds the objective of calls that do not wait for it. They do keep the wait of a listed
// link up to date.
func TestShortCallsDoNotMakeALinkScarce(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 1, 0)
	u := view.Upstream{ID: "w0", Service: "s", Daemon: "w0", Domain: "d"}
	policy := config.Policy{Objective: 200 * time.Millisecond}
	observe := func(body int, egress time.Duration) {
		c := &call{route: &view.Route{Policy: policy}, attempt: Attempt{Body: NewBody(make([]byte, body))}}
		load := outcome.Load{Slots: 2, Egress: egress}
		r.ingress.recordAttemptPressure(c, u, outcome.Result{Outcome: outcome.Answered, HasLoad: true, Load: load})
	}
	observe(0, 150*time.Millisecond)
	is.Equal(len(r.ingress.cfg.Pressure.Rows()), 0)
	observe(outcome.LongBody, 150*time.Millisecond)
	observe(0, 170*time.Millisecond)
	rows := r.ingress.cfg.Pressure.Rows()
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Wait, 170*time.Millisecond)
}
