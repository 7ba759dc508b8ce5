package retry

import (
	"net/http"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

// Attempts records the attempts of one call so far.
type Attempts struct {
	upstreams []string
	// reached is the number of attempts that an upstream may have received, refused the
	// number of those that an owner had no room for.
	reached int
	refused int
	// refusedIn are the failure domains of the owners that had no room. Refusals of suspects
	// say nothing about them.
	refusedIn []string
	last      outcome.Result
	// answer is the response of an upstream that failed, kept in case no attempt does
	// better.
	answer *outcome.Result
	// unknown is the last attempt that may have run without a response.
	unknown *outcome.Result
}

// Add records the result of an attempt at an upstream of a failure domain. It closes the body of
// an earlier answer that the new one replaces.
func (t *Attempts) Add(upstream, domain string, r outcome.Result) {
	t.upstreams = append(t.upstreams, upstream)
	if r.Reached() {
		t.reached++
	}
	if r.RefusedForCapacity() {
		t.refused++
	}
	if r.RefusedForCapacity() && !r.RefusedAsSuspect() {
		t.refusedIn = append(t.refusedIn, domain)
	}
	if t.answer != nil && r.Outcome == outcome.Answered {
		t.answer.Body.Close()
		t.answer = nil
	}
	t.last = r
	if r.Outcome == outcome.Answered {
		t.answer = &r
	}
	if r.Outcome == outcome.Unknown {
		t.unknown = &r
	}
}

// Upstreams returns the IDs of the upstreams tried so far.
func (t *Attempts) Upstreams() []string { return t.upstreams }

// RefusedIn returns the failure domains of the owners that had no room for the call, one entry for
// each.
func (t *Attempts) RefusedIn() []string { return t.refusedIn }

// Reached reports whether an upstream may have received one of the attempts.
func (t *Attempts) Reached() bool { return t.reached > 0 }

// Last returns the result of the last attempt.
func (t *Attempts) Last() outcome.Result { return t.last }

// Best returns the most useful result of the attempts: an upstream's response if there is
// one, otherwise a result that does not understate what happened. A call that was refused
// after an attempt that may have run must not be reported as not run.
func (t *Attempts) Best() outcome.Result {
	switch {
	case t.answer != nil:
		return *t.answer
	case t.last.Outcome == outcome.NotRun && t.unknown != nil:
		r := *t.unknown
		r.RetryAfter = t.last.RetryAfter
		return r
	}
	return t.last
}

// Exhausted returns the result of a call for which no upstream is left to try; refusal
// says why. If no owner was asked, the caller is told to retry after the time at which
// the first upstream may be asked again; if the call was refused, not before the time
// that its last owner gave. A refusal that only says that all are full does not replace the
// resource that the last owner named.
func (t *Attempts) Exhausted(refusal outcome.Result) outcome.Result {
	if len(t.upstreams) == 0 {
		return refusal
	}
	r := t.Best()
	if r.Outcome == outcome.NotRun {
		if refusal.Reason != outcome.ReasonOverload || !r.RefusedForCapacity() || r.RefusedAsSuspect() {
			r.Reason = refusal.Reason
		}
		r.RetryAfter = max(r.RetryAfter, refusal.RetryAfter)
	}
	return r
}

// OutOfTime returns the result of a call whose deadline passed between two attempts.
func (t *Attempts) OutOfTime() outcome.Result {
	if len(t.upstreams) > 0 && t.Best().Outcome != outcome.NotRun {
		return t.Best()
	}
	return outcome.Refuse(outcome.ReasonDeadline, outcome.MinRetryAfter)
}

// UpstreamFailed reports whether a response is an upstream's own failure, which another
// upstream might not have.
func UpstreamFailed(r outcome.Result) bool {
	return r.Outcome == outcome.Answered && r.Status >= http.StatusInternalServerError
}
