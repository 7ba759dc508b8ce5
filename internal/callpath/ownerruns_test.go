package callpath

import (
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/admission"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/retry"
	"github.com/comfreygate/comfreygate/internal/view"
)

// setLoadControl puts load control in force at all daemons of the rig.
func (r *rig) setLoadControl() {
	routes := r.ingress.view.Load().Routes
	for _, w := range r.workers {
		v := *w.owner.view.Load()
		v.LoadControl, v.Routes = true, routes
		w.owner.Update(&v)
	}
	v := *r.ingress.view.Load()
	v.LoadControl = true
	r.ingress.Update(&v)
}

// starve records starved runs of a route at a worker's owner until new ones are limited.
func (w *worker) starve(t *testing.T, route string) {
	t.Helper()
	w.owner.mu.Lock()
	loc := w.owner.upstreams[w.id]
	w.owner.mu.Unlock()
	for at := time.Now(); time.Since(at) < 5*time.Second; time.Sleep(20 * time.Millisecond) {
		loc.runs.Ended(route, time.Now(), true)
		if _, ok := loc.runs.Admit(route, config.Normal, 1); !ok {
			return
		}
	}
	t.Fatal("new runs are not limited")
}

// TestStarvedRunsAreRefusedBeforeTheyRun limits the runs of a route at one of two owners.
// Refused calls must not run, not be tried at the other owner, which shares the service
// below, and not keep calls of other routes away from the upstream. The failure: the owner
// that refused them was the least busy one and got 190 of 201 calls.
func TestStarvedRunsAreRefusedBeforeTheyRun(t *testing.T) {
	is := is.New(t)
	// A slot for each call: after a pause of the process the calls that are due come at once,
	// and one that finds no slot is rightly tried at the other owner.
	r := newRig(t, 2, 256, time.Millisecond)
	r.setLoadControl()
	r.workers[0].starve(t, config.Normal.String())
	samples := r.offer(200, time.Second, config.Normal)
	answered, refused := 0, 0
	reasons := map[string]int{}
	for _, s := range samples {
		switch s.outcome {
		case string(outcome.Answered):
			answered++
		case string(outcome.NotRun):
			refused++
			reasons[s.reason]++
			is.True(s.retryAfter != "")
		}
	}
	runs := int(r.workers[0].runs.Load() + r.workers[1].runs.Load())
	t.Logf("%d answered, %d refused %v, %d and %d runs", answered, refused, reasons, r.workers[0].runs.Load(), r.workers[1].runs.Load())
	is.Equal(answered+refused, len(samples))
	is.Equal(runs, answered)
	is.Equal(int(r.metrics.RefusedRuns.Count()), refused)
	is.Equal(int(r.metrics.Retries.Count()), 0)
	is.True(refused > 0)
	is.True(answered > len(samples)/2) // an owner that refuses does not attract the calls
	other := r.offer(100, 200*time.Millisecond, config.Critical)
	for _, s := range other {
		is.Equal(s.outcome, string(outcome.Answered)) // another route of the same upstreams
	}
}

// TestRunsAreNotLimitedWithoutLoadControl starves runs where load control is not in force.
func TestRunsAreNotLimitedWithoutLoadControl(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 8, time.Millisecond)
	r.workers[0].starve(t, config.Normal.String())
	for _, s := range r.offer(100, 200*time.Millisecond, config.Normal) {
		is.Equal(s.outcome, string(outcome.Answered))
	}
}

// TestAdmittedPartEndsWithTheLimit reads the metric of the admitted part while runs are limited
// and once load control is no longer in force. The failure: it kept the part at the last end of
// a run.
func TestAdmittedPartEndsWithTheLimit(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 8, time.Millisecond)
	r.setLoadControl()
	o := r.workers[0].owner
	r.workers[0].starve(t, config.Normal.String())
	a := &Attempt{Request: "ended", Host: "h", URL: &url.URL{Path: "/normal"}}
	o.recordRun(o.upstreams["w0"], a, &parentRequest{}, time.Now(), outcome.Result{Outcome: outcome.Answered})
	is.True(r.metrics.AdmittedRuns.Value() < 1)
	v := *o.view.Load()
	v.LoadControl = false
	o.Update(&v)
	is.Equal(r.metrics.AdmittedRuns.Value(), 1.0)
}

// TestStarvedRunsAreCounted runs parent requests, some of whose nested calls are refused:
// each such run counts once, by the final result of the nested call.
func TestStarvedRunsAreCounted(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 8, time.Millisecond)
	r.setLoadControl()
	o := r.workers[0].owner
	loc := o.upstreams["w0"]
	for reason, starved := range map[outcome.Reason]bool{
		outcome.ReasonOverload: true, outcome.ReasonNoUpstream: true, outcome.ReasonUnreachable: true, outcome.ReasonDeadline: true,
		outcome.ReasonOverLimit: false, outcome.ReasonBadRequest: false, outcome.ReasonCancelled: false,
	} {
		before := r.metrics.StarvedRuns.Count()
		parent := &Attempt{Request: "parent", Host: "h", URL: &url.URL{Path: "/normal"}}
		p := o.running.begin(parent, loc.gate)
		for range 2 {
			recordNested(&Attempt{Nested: true, parent: p}, outcome.Refuse(reason, 0))
		}
		recordNested(&Attempt{Nested: true, parent: p}, outcome.Result{Outcome: outcome.Answered})
		recordNested(&Attempt{}, outcome.Refuse(outcome.ReasonOverload, 0)) // not nested
		o.recordRun(loc, parent, p, time.Now(), outcome.Result{Outcome: outcome.Answered})
		is.Equal(r.metrics.StarvedRuns.Count()-before == 1, starved)
	}
	is.True(loc.runs.Active())
}

// TestNestedCallsAreNotRefusedForRunsThatStarve asks for a nested attempt of a route whose
// runs starve: its parent is already running.
func TestNestedCallsAreNotRefusedForRunsThatStarve(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 8, time.Millisecond)
	r.setLoadControl()
	r.workers[0].starve(t, config.Normal.String())
	o := r.workers[0].owner
	for _, nested := range []bool{true, false} {
		refused := 0
		for range 100 {
			a := &Attempt{Request: time.Now().String(), Host: "h", URL: &url.URL{Path: "/normal"}, Urgency: config.Normal, Nested: nested}
			if _, ok := o.admitRun(o.upstreams["w0"], a); !ok {
				refused++
			}
		}
		is.Equal(refused > 0, !nested)
	}
}

// TestFutileRetriesAreNotMade refuses a call as overload beyond its deadline. With load
// control it is not tried elsewhere; an earlier retry-after, or a refusal that says nothing
// about other owners, lets it be tried.
func TestFutileRetriesAreNotMade(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 8, time.Millisecond)
	c := &call{route: &view.Route{}, service: &view.Service{}, attempt: Attempt{Deadline: time.Now().Add(time.Second)}}
	late := outcome.Refuse(outcome.ReasonOverload, 2*time.Second)
	r.ingress.retries.Earn(r.ingress.retryCall(c))
	mayRetry := func(refusal outcome.Result) bool {
		attempts := &retry.Attempts{}
		attempts.Add("a", "d", refusal)
		return r.ingress.mayRetry(c, attempts)
	}
	is.True(mayRetry(late)) // without load control
	r.setLoadControl()
	is.True(!mayRetry(late))
	is.True(mayRetry(outcome.Refuse(outcome.ReasonOverload, 100*time.Millisecond)))
	is.True(mayRetry(outcome.Refuse(outcome.ReasonLink, 2*time.Second)))
	is.True(!mayRetry(outcome.Refuse(outcome.ReasonNestedOverload, 100*time.Millisecond)))
}

// TestDirectRefusalsDoNotKeepNestedCallsAway lets all owners refuse direct calls. The
// failure: daemons took nested calls to be refused as well, did not send them, and had used
// up the budget for trying other owners.
func TestDirectRefusalsDoNotKeepNestedCallsAway(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2, 8, time.Millisecond)
	r.setLoadControl()
	v := r.ingress.view.Load()
	direct := &call{route: &view.Route{}, service: v.Services["s"], attempt: Attempt{Urgency: config.Normal, Deadline: time.Now().Add(time.Second)}}
	nested := *direct
	nested.attempt.Nested = true
	r.ingress.retries.Earn(r.ingress.retryCall(direct))
	r.ingress.retries.Earn(r.ingress.retryCall(&nested))
	mayRetry := func(c *call) bool {
		attempts := &retry.Attempts{}
		attempts.Add("w0", "d", outcome.Refuse(outcome.ReasonOverload, 0))
		return r.ingress.mayRetry(c, attempts)
	}
	for range 100 { // twice the budget of a service
		for _, u := range v.Services["s"].Upstreams {
			refusal := outcome.Refuse(outcome.ReasonOverload, time.Second)
			refusal.Load, refusal.HasLoad = admission.New(time.Now, 8, 8, time.Time{}).Load(), true
			r.ingress.picker.Observe(u, r.ingress.rankUrgency(&direct.attempt), refusal)
		}
		mayRetry(direct)
	}
	is.True(!mayRetry(direct))
	_, _, ok := r.ingress.next(direct, &retry.Attempts{})
	is.True(!ok)
	_, _, ok = r.ingress.next(&nested, &retry.Attempts{})
	is.True(ok)
	is.True(mayRetry(&nested))
}
