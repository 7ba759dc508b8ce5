package retry

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

var start = time.Unix(1000, 0)

// newTestPolicy returns a policy with the budgets of a daemon that has had one call, direct
// and nested.
func newTestPolicy(c Call) *Policy {
	p := New(Config{Ratio: 0.1, Burst: 50}, func() time.Time { return start })
	p.Earn(c)
	nested := c
	nested.Nested = true
	p.Earn(nested)
	return p
}

// after returns the attempts of a call that had these results, each at another upstream.
func after(results ...outcome.Result) *Attempts {
	var attempts Attempts
	for i, r := range results {
		attempts.Add(string(rune('a'+i)), "d", r)
	}
	return &attempts
}

func answer(status int) outcome.Result {
	return outcome.Result{Outcome: outcome.Answered, Status: status, Body: http.NoBody}
}

// TestDecisionsByResult covers which results of attempts let a call be retried. A wrong
// retry runs a call twice that must not run twice, or multiplies the load at a service; a
// missing one fails a call that another upstream would have served.
func TestDecisionsByResult(t *testing.T) {
	refuse := func(r outcome.Reason) outcome.Result { return outcome.Refuse(r, outcome.MinRetryAfter) }
	full := refuse(outcome.ReasonOverload)
	crashed := outcome.MayHaveRun(outcome.ReasonCrashed, nil)
	for _, tc := range []struct {
		name       string
		results    []outcome.Result
		repeatable bool
		want       Decision
	}{
		{"answered", []outcome.Result{answer(http.StatusOK)}, true, Decision{}},
		{"own failure", []outcome.Result{answer(http.StatusInternalServerError)}, true, Decision{Retry: true}},
		{"own failure, must not repeat", []outcome.Result{answer(http.StatusInternalServerError)}, false, Decision{}},
		{"may have run", []outcome.Result{crashed}, true, Decision{Retry: true}},
		{"may have run, must not repeat", []outcome.Result{crashed}, false, Decision{}},
		{"one run left", []outcome.Result{crashed, crashed}, true, Decision{Retry: true}},
		{"no run left", []outcome.Result{crashed, crashed, crashed}, true, Decision{}},
		{"upstream refused, which counts as a run", []outcome.Result{refuse(outcome.ReasonUpstreamRefused), crashed, crashed}, true, Decision{}},
		{"draining", []outcome.Result{refuse(outcome.ReasonDraining)}, false, Decision{Retry: true}},
		{"draining after runs", []outcome.Result{crashed, crashed, refuse(outcome.ReasonDraining)}, true, Decision{Retry: true}},
		{"full", []outcome.Result{full}, false, Decision{Retry: true}},
		{"three full", []outcome.Result{full, full, full}, false, Decision{Retry: true}},
		{"four full", []outcome.Result{full, full, full, full}, false, Decision{}},
		{"found room", []outcome.Result{full, answer(http.StatusOK)}, false, Decision{FoundRoom: true}},
		{"found room and failed", []outcome.Result{full, crashed}, true, Decision{Retry: true, FoundRoom: true}},
		{"other suspect", []outcome.Result{refuse(outcome.ReasonOtherSuspect)}, false, Decision{Retry: true}},
		{"suspect running", []outcome.Result{refuse(outcome.ReasonSuspectRunning)}, true, Decision{}},
		{"quarantined", []outcome.Result{refuse(outcome.ReasonQuarantined)}, true, Decision{}},
		{"nested overload", []outcome.Result{refuse(outcome.ReasonNestedOverload)}, true, Decision{}},
		{"deadline", []outcome.Result{refuse(outcome.ReasonDeadline)}, true, Decision{}},
		{"cancelled", []outcome.Result{refuse(outcome.ReasonCancelled)}, true, Decision{}},
		{"duplicate", []outcome.Result{outcome.MayHaveRun(outcome.ReasonDuplicate, nil)}, true, Decision{}},
	} {
		c := Call{Service: "s", Repeatable: tc.repeatable, MaxRetries: 2, Deadline: start.Add(time.Second)}
		if got := newTestPolicy(c).Decide(c, after(tc.results...)); got != tc.want {
			t.Errorf("%s: %+v, want %+v", tc.name, got, tc.want)
		}
	}
}

// TestCallVisitsFewOwners guards against a call that visits a whole fleet that is shutting down.
func TestCallVisitsFewOwners(t *testing.T) {
	is := is.New(t)
	c := Call{Service: "s", Deadline: start.Add(time.Second)}
	p := newTestPolicy(c)
	var a Attempts
	for n := 1; n <= maxOwners; n++ {
		a.Add("u", "d", outcome.Refuse(outcome.ReasonDraining, 0))
		is.Equal(p.Decide(c, &a).Retry, n < maxOwners)
	}
}

// TestFutileRetriesAreNotMade refuses a call as overload beyond its deadline. With load control
// it is not tried elsewhere; an earlier retry-after, or another reason, lets it be tried.
func TestFutileRetriesAreNotMade(t *testing.T) {
	is := is.New(t)
	c := Call{Service: "s", Deadline: start.Add(time.Second)}
	p := newTestPolicy(c)
	retries := func(reason outcome.Reason, retryAfter time.Duration) bool {
		return p.Decide(c, after(outcome.Refuse(reason, retryAfter))).Retry
	}
	is.True(retries(outcome.ReasonOverload, 2*time.Second)) // without load control
	c.AvoidFutile = true
	is.True(!retries(outcome.ReasonOverload, 2*time.Second))
	is.True(retries(outcome.ReasonOverload, time.Second))
	is.True(retries(outcome.ReasonLink, 2*time.Second))
}

// TestBudgetsBoundRetries guards against retries that multiply the load when every attempt
// fails: they must stay within the earned fraction of the calls and the burst, and those after
// an upstream's own failure within a smaller one.
func TestBudgetsBoundRetries(t *testing.T) {
	const calls = 10_000
	c := Call{Service: "s", Repeatable: true, MaxRetries: 3, Deadline: start.Add(time.Second)}
	for _, tc := range []struct {
		name         string
		result       outcome.Result
		ratio, burst float64
	}{
		{"full", outcome.Refuse(outcome.ReasonOverload, 0), refusalRatio, refusalBurst},
		{"may have run", outcome.MayHaveRun(outcome.ReasonBroken, nil), budgetShare * 0.1, 50},
		{"own failure", answer(http.StatusBadGateway), FailureShare * 0.1, FailureBurst},
	} {
		p := New(Config{Ratio: 0.1, Burst: 50}, func() time.Time { return start })
		retries, denied := 0, 0
		for range calls {
			p.Earn(c)
			switch d := p.Decide(c, after(tc.result)); {
			case d.Retry:
				retries++
			case d.OverBudget:
				denied++
			}
		}
		if limit := tc.ratio*calls + tc.burst; float64(retries) > limit || float64(retries) < limit-2 || retries+denied != calls {
			t.Errorf("%s: %d retries and %d denied for %d calls, want %v retries", tc.name, retries, denied, calls, limit)
		}
	}
}

// TestRepeatedCallsUseUpTheBudget guards against nested calls of repeated runs that come on
// top of the retries which the budget of their service allows.
func TestRepeatedCallsUseUpTheBudget(t *testing.T) {
	is := is.New(t)
	c := Call{Service: "s", Repeatable: true, MaxRetries: 3, Deadline: start.Add(time.Second)}
	p := New(Config{Ratio: 0.1, Burst: 2}, func() time.Time { return start })
	p.Earn(c)
	broken := outcome.MayHaveRun(outcome.ReasonBroken, nil)
	p.ChargeRepeat("s")
	is.Equal(p.Decide(c, after(broken)), Decision{Retry: true})
	is.Equal(p.Decide(c, after(broken)), Decision{OverBudget: true})
	for range 10 {
		p.ChargeRepeat("s")
	}
	for range 100 { // 7 retries earned, 10 charged
		p.Earn(c)
	}
	is.Equal(p.Decide(c, after(broken)), Decision{OverBudget: true})
}

// TestRetriesThatFindRoomAreRefunded guards against a budget that denies retries which succeed:
// it limits only those that find no room.
func TestRetriesThatFindRoomAreRefunded(t *testing.T) {
	is := is.New(t)
	c := Call{Service: "s", Deadline: start.Add(time.Second)}
	p := newTestPolicy(c)
	full := outcome.Refuse(outcome.ReasonOverload, 0)
	for range 10 * refusalBurst {
		is.Equal(p.Decide(c, after(full)), Decision{Retry: true})
		is.Equal(p.Decide(c, after(full, answer(http.StatusOK))), Decision{FoundRoom: true})
	}
}

// TestNestedCallsHaveTheirOwnRefusalBudget guards against refusals of direct calls that use up
// the retries of nested calls, for which owners have room. Without load control, both share one
// budget.
func TestNestedCallsHaveTheirOwnRefusalBudget(t *testing.T) {
	is := is.New(t)
	for _, loadControl := range []bool{true, false} {
		direct := Call{Service: "s", NestedFirst: loadControl, Deadline: start.Add(time.Second)}
		p := newTestPolicy(direct)
		full := after(outcome.Refuse(outcome.ReasonOverload, 0))
		for range refusalBurst + 1 {
			p.Decide(direct, full)
		}
		is.Equal(p.Decide(direct, full), Decision{OverBudget: true})
		nested := direct
		nested.Nested = true
		is.Equal(p.Decide(nested, full).Retry, loadControl)
	}
}
