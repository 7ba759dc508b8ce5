package callpath

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// TestUpstreamFailuresAreRetriedWithinTheirBudget lets all upstreams fail. A failed run
// has already made its nested calls, so that each retry here is multiplied at the
// services below. Retries after failures must stay within their share of the budget and
// its burst.
func TestUpstreamFailuresAreRetriedWithinTheirBudget(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, 8, time.Millisecond)
	for _, w := range r.workers {
		w.fail.Store(true)
	}
	r.method = http.MethodGet
	calls := len(r.offer(300, 2*time.Second, config.Normal))
	runs := 0
	for _, w := range r.workers {
		runs += int(w.runs.Load())
	}
	t.Logf("%d runs for %d calls", runs, calls)
	is.True(runs > calls) // some are retried
	is.True(float64(runs-calls) <= failureRetryShare*rigRetryRatio*float64(calls)+failureRetryBurst)
}

// TestExhaustedCallHasTheLongestRetryAfter covers calls for which no upstream is left. If
// no owner was asked, the retry-after is when the first upstream may be asked again; if
// the call was refused, it must not be shorter than its last owner gave.
func TestExhaustedCallHasTheLongestRetryAfter(t *testing.T) {
	is := is.New(t)
	refusal := outcome.Refuse(outcome.ReasonOverload, 25*time.Millisecond)
	var untried callAttempts
	is.Equal(untried.exhausted(refusal), refusal)
	refused := callAttempts{upstreams: []string{"a0"}, last: outcome.Refuse(outcome.ReasonOverload, 60*time.Millisecond)}
	is.Equal(refused.exhausted(refusal).RetryAfter, 60*time.Millisecond)
}

// TestExhaustedCallNamesTheResourceOfItsLastRefusal guards against calls that all owners
// refused for their links and that are reported as overload, which is the reason where no
// upstream is left and nothing else is known.
func TestExhaustedCallNamesTheResourceOfItsLastRefusal(t *testing.T) {
	is := is.New(t)
	var calls callAttempts
	calls.add(view.Upstream{ID: "a0"}, outcome.Refuse(outcome.ReasonLink, 60*time.Millisecond))
	is.Equal(calls.exhausted(outcome.Refuse(outcome.ReasonOverload, time.Second)).Reason, outcome.ReasonLink)
	is.Equal(calls.exhausted(outcome.Refuse(outcome.ReasonNoUpstream, time.Second)).Reason, outcome.ReasonNoUpstream)
	calls.add(view.Upstream{ID: "a1"}, outcome.Refuse(outcome.ReasonDraining, 0))
	is.Equal(calls.exhausted(outcome.Refuse(outcome.ReasonOverload, time.Second)).Reason, outcome.ReasonOverload)
}

// TestRefusalAfterAnUnknownAttemptStaysUnknown covers a repeatable call whose first
// upstream crashed and that was then refused by the owner of the next. The call may have
// run, but was reported to its caller as not run.
func TestRefusalAfterAnUnknownAttemptStaysUnknown(t *testing.T) {
	is := is.New(t)
	var calls callAttempts
	calls.add(view.Upstream{ID: "a0"}, outcome.MayHaveRun(outcome.ReasonCrashed, nil))
	calls.add(view.Upstream{ID: "a1"}, outcome.Refuse(outcome.ReasonOverload, 60*time.Millisecond))
	for _, r := range []outcome.Result{calls.best(), calls.exhausted(outcome.Refuse(outcome.ReasonQuarantined, 0))} {
		is.Equal(r.Outcome, outcome.Unknown)
		is.Equal(r.Reason, outcome.ReasonCrashed)
		is.Equal(r.RetryAfter, 60*time.Millisecond) // as the last owner gave
	}
	answer := outcome.Result{Outcome: outcome.Answered, Body: http.NoBody}
	calls.add(view.Upstream{ID: "a2"}, answer)
	is.Equal(calls.best().Outcome, outcome.Answered)
}
