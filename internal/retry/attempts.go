package retry

import (
	"net/http"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

// Attempts records the attempts of one call so far.
type Attempts struct {
	upstreams []string
	// reached is the number of attempts that an upstream may have received. refused is the
	// number of attempts that owners refused for lack of capacity.
	reached int
	refused int
	// refusedIn are the failure domains of the owners that refused the call for lack of
	// capacity, one entry for each owner. Refusals of suspects are left out: they depend on
	// the request, not on the capacity of the owner.
	refusedIn []string
	last      outcome.Result
	// answer is the last response of an upstream. A failed one is returned to the caller if no
	// later attempt gets a response.
	answer *outcome.Result
	// unknown is the last attempt that may have run without a response.
	unknown *outcome.Result
}

// Add records the result of an attempt at an upstream of a failure domain. It closes the body of
// an earlier answer that the new one replaces.
func (a *Attempts) Add(upstream, domain string, r outcome.Result) {
	a.upstreams = append(a.upstreams, upstream)
	if r.Reached() {
		a.reached++
	}
	if r.RefusedForCapacity() {
		a.refused++
	}
	if r.RefusedForCapacity() && !r.RefusedAsSuspect() {
		a.refusedIn = append(a.refusedIn, domain)
	}
	if a.answer != nil && r.Outcome == outcome.Answered {
		a.answer.Body.Close()
		a.answer = nil
	}
	a.last = r
	if r.Outcome == outcome.Answered {
		a.answer = &r
	}
	if r.Outcome == outcome.Unknown {
		a.unknown = &r
	}
}

// Upstreams returns the IDs of the upstreams tried so far.
func (a *Attempts) Upstreams() []string { return a.upstreams }

// RefusedIn returns the failure domains of the owners that refused the call for lack of capacity,
// one entry for each owner.
func (a *Attempts) RefusedIn() []string { return a.refusedIn }

// Reached reports whether an upstream may have received one of the attempts.
func (a *Attempts) Reached() bool { return a.reached > 0 }

// Last returns the result of the last attempt.
func (a *Attempts) Last() outcome.Result { return a.last }

// Best returns the most useful result of the attempts: an upstream's response if there is
// one, otherwise a result that does not understate what happened. A call that was refused
// after an attempt that may have run must not be reported as not run.
func (a *Attempts) Best() outcome.Result {
	switch {
	case a.answer != nil:
		return *a.answer
	case a.last.Outcome == outcome.NotRun && a.unknown != nil:
		r := *a.unknown
		r.RetryAfter = a.last.RetryAfter
		return r
	}
	return a.last
}

// Exhausted returns the result of a call for which no upstream is left to try; refusal
// says why. If no owner was asked, the caller is told to retry after the time at which
// the first upstream may be asked again; if the call was refused, not before the time
// that its last owner gave. The reason of the last owner names the scarce resource; a refusal
// with ReasonOverload does not replace it.
func (a *Attempts) Exhausted(refusal outcome.Result) outcome.Result {
	if len(a.upstreams) == 0 {
		return refusal
	}
	r := a.Best()
	if r.Outcome == outcome.NotRun {
		if refusal.Reason != outcome.ReasonOverload || !r.RefusedForCapacity() || r.RefusedAsSuspect() {
			r.Reason = refusal.Reason
		}
		r.RetryAfter = max(r.RetryAfter, refusal.RetryAfter)
	}
	return r
}

// OutOfTime returns the result of a call whose deadline passed between two attempts.
func (a *Attempts) OutOfTime() outcome.Result {
	if len(a.upstreams) > 0 && a.Best().Outcome != outcome.NotRun {
		return a.Best()
	}
	return outcome.Refuse(outcome.ReasonDeadline, outcome.MinRetryAfter)
}

// UpstreamFailed reports whether a response is an upstream's own failure, which another
// upstream might not have.
func UpstreamFailed(r outcome.Result) bool {
	return r.Outcome == outcome.Answered && r.Status >= http.StatusInternalServerError
}
