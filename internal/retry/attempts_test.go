package retry

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

// TestExhaustedCallHasTheLongestRetryAfter covers calls for which no upstream is left. If
// no owner was asked, the retry-after is when the first upstream may be asked again; if
// the call was refused, it must not be shorter than its last owner gave.
func TestExhaustedCallHasTheLongestRetryAfter(t *testing.T) {
	is := is.New(t)
	refusal := outcome.Refuse(outcome.ReasonOverload, 25*time.Millisecond)
	var untried Attempts
	is.Equal(untried.Exhausted(refusal), refusal)
	refused := Attempts{upstreams: []string{"a0"}, last: outcome.Refuse(outcome.ReasonOverload, 60*time.Millisecond)}
	is.Equal(refused.Exhausted(refusal).RetryAfter, 60*time.Millisecond)
}

// TestExhaustedCallNamesTheResourceOfItsLastRefusal guards against calls that all owners
// refused for their links and that are reported as overload, which is the reason where no
// upstream is left and nothing else is known.
func TestExhaustedCallNamesTheResourceOfItsLastRefusal(t *testing.T) {
	is := is.New(t)
	var calls Attempts
	calls.Add("a0", "d", outcome.Refuse(outcome.ReasonLink, 60*time.Millisecond))
	is.Equal(calls.Exhausted(outcome.Refuse(outcome.ReasonOverload, time.Second)).Reason, outcome.ReasonLink)
	is.Equal(calls.Exhausted(outcome.Refuse(outcome.ReasonNoUpstream, time.Second)).Reason, outcome.ReasonNoUpstream)
	calls.Add("a1", "d", outcome.Refuse(outcome.ReasonDraining, 0))
	is.Equal(calls.Exhausted(outcome.Refuse(outcome.ReasonOverload, time.Second)).Reason, outcome.ReasonOverload)
}

// TestRefusalAfterAnUnknownAttemptStaysUnknown covers a repeatable call whose first
// upstream crashed and that was then refused by the owner of the next. The call may have
// run, but was reported to its caller as not run.
func TestRefusalAfterAnUnknownAttemptStaysUnknown(t *testing.T) {
	is := is.New(t)
	var calls Attempts
	calls.Add("a0", "d", outcome.MayHaveRun(outcome.ReasonCrashed, nil))
	calls.Add("a1", "d", outcome.Refuse(outcome.ReasonOverload, 60*time.Millisecond))
	for _, r := range []outcome.Result{calls.Best(), calls.Exhausted(outcome.Refuse(outcome.ReasonQuarantined, 0))} {
		is.Equal(r.Outcome, outcome.Unknown)
		is.Equal(r.Reason, outcome.ReasonCrashed)
		is.Equal(r.RetryAfter, 60*time.Millisecond) // as the last owner gave
	}
	answer := outcome.Result{Outcome: outcome.Answered, Body: http.NoBody}
	calls.Add("a2", "d", answer)
	is.Equal(calls.Best().Outcome, outcome.Answered)
}

// TestRefusalsOfSuspectsDoNotCountForADomain guards against calls that leave their failure domain
// because of what the request is suspected of: the owners there may have room.
func TestRefusalsOfSuspectsDoNotCountForADomain(t *testing.T) {
	is := is.New(t)
	var calls Attempts
	for _, reason := range []outcome.Reason{outcome.ReasonOtherSuspect, outcome.ReasonDraining} {
		calls.Add("a", "d", outcome.Refuse(reason, 0))
	}
	is.Equal(len(calls.RefusedIn()), 0)
	calls.Add("b", "e", outcome.Refuse(outcome.ReasonOverload, 0))
	is.Equal(calls.RefusedIn(), []string{"e"})
}
