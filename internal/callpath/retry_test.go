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

// TestFailuresOfUpstreamsAreRepeatedSparingly lets all upstreams fail. A run
// that fails has made its calls to the services below, so that what is
// repeated here is multiplied there: at most their part of the budget and a burst.
func TestFailuresOfUpstreamsAreRepeatedSparingly(t *testing.T) {
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
	is.True(runs > calls) // some are repeated
	is.True(float64(runs-calls) <= failurePart*rigRetryRatio*float64(calls)+failureBurst)
}

// TestCallerIsToldWhatWasRefused: one whom nobody was asked for is told when the first
// upstream may be asked again; one that was refused, not before its last owner said.
func TestCallerIsToldWhatWasRefused(t *testing.T) {
	is := is.New(t)
	refusal := outcome.Refuse(outcome.ReasonOverload, 25*time.Millisecond)
	var nobody tries
	is.Equal(nobody.exhausted(refusal), refusal)
	refused := tries{upstreams: []string{"a0"}, last: outcome.Refuse(outcome.ReasonOverload, 60*time.Millisecond)}
	is.Equal(refused.exhausted(refusal).RetryAfter, 60*time.Millisecond)
}

// TestRefusalAfterARunIsNotCalledNotRun: a call that may be repeated was cut off at one
// upstream and refused by the next one's owner. It may have run, and its caller was told
// that it had not.
func TestRefusalAfterARunIsNotCalledNotRun(t *testing.T) {
	is := is.New(t)
	var calls tries
	calls.add(view.Upstream{ID: "a0"}, outcome.Unsure(outcome.ReasonEnded, nil))
	calls.add(view.Upstream{ID: "a1"}, outcome.Refuse(outcome.ReasonOverload, 60*time.Millisecond))
	for _, r := range []outcome.Result{calls.best(), calls.exhausted(outcome.Refuse(outcome.ReasonQuarantined, 0))} {
		is.Equal(r.Outcome, outcome.Unknown)
		is.Equal(r.Reason, outcome.ReasonEnded)
		is.Equal(r.RetryAfter, 60*time.Millisecond) // as the owner said
	}
	answer := outcome.Result{Outcome: outcome.Answered, Body: http.NoBody}
	calls.add(view.Upstream{ID: "a2"}, answer)
	is.Equal(calls.best().Outcome, outcome.Answered)
}
