package callpath

import (
	"net/http"
	"sync"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// budget is a token bucket per service that ties retries to calls: each call earns a
// fraction of a retry. However many calls fail, retries increase the load by no more than
// that fraction. It is safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens map[string]float64
}

func newBudget(ratio, burst float64) *budget {
	return &budget{ratio: ratio, burst: burst, tokens: map[string]float64{}}
}

// earn credits the service with a call.
func (b *budget) earn(service string) { b.add(service, b.ratio) }

// add credits the service with a number of retries, up to the burst.
func (b *budget) add(service string, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	have, ok := b.tokens[service]
	if !ok {
		have = b.burst
	}
	b.tokens[service] = min(b.burst, have+tokens)
}

// charge deducts a token for an attempt that counts as a retry but is sent in any case.
// The balance may become negative; it must be earned back before the next retry.
func (b *budget) charge(service string) { b.add(service, -1) }

// spend takes one token and reports whether a retry to the service may be sent.
func (b *budget) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}

const (
	// refusalRatio and refusalBurst limit the retries after an owner refused an attempt
	// because its upstream was full. They reach no upstream and cost one hop each.
	refusalRatio = 0.1
	refusalBurst = 50
	// acceptedRefund is the number of tokens returned for a retry that found room. The
	// budget thus limits only the retries that found none; where all upstreams are full
	// it is soon exhausted and these stop.
	acceptedRefund = 1
	// maxFullOwners is the maximum number of owners without room that a call tries. With
	// a hundred daemons, each receives the load of an upstream only every few seconds, so
	// that the first owners tried are as likely to be full as any.
	maxFullOwners = 4
	// retryBudgetShare is the fraction of the permitted retries that daemons plan with.
	// The rest covers the bursts of daemons that restart and of calls that arrive in
	// waves.
	retryBudgetShare = 0.7
	// failureRetryShare is the fraction of the permitted retries that may follow an
	// upstream's own failure. What made it fail once, usually a nested call that found no
	// room, is likely to make it fail again.
	failureRetryShare = 0.3
	failureRetryBurst = 3
	// maxOwners is the maximum number of owners that one call tries, so that a call does
	// not visit a whole fleet that is shutting down.
	maxOwners = 6
)

// callAttempts records the attempts of one call so far.
type callAttempts struct {
	upstreams []string
	// reached is the number of attempts that an upstream may have received, refused the
	// number of those that an owner had no room for.
	reached int
	refused int
	last    outcome.Result
	// answer is the response of an upstream that failed, kept in case no attempt does
	// better.
	answer *outcome.Result
	// unknown is the last attempt that may have run without a response.
	unknown *outcome.Result
}

// add records the result of an attempt at an upstream.
func (t *callAttempts) add(u view.Upstream, r outcome.Result) {
	t.upstreams = append(t.upstreams, u.ID)
	if r.Reached() {
		t.reached++
	}
	if r.RefusedForCapacity() {
		t.refused++
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

// best returns the most useful result of the attempts: an upstream's response if there is
// one, otherwise a result that does not understate what happened. A call that was refused
// after an attempt that may have run must not be reported as not run.
func (t *callAttempts) best() outcome.Result {
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

// exhausted returns the result of a call for which no upstream is left to try; refusal
// says why. If no owner was asked, the caller is told to retry after the time at which
// the first upstream may be asked again; if the call was refused, not before the time
// that its last owner gave. A refusal that only says that all are full does not replace the
// resource that the last owner named.
func (t *callAttempts) exhausted(refusal outcome.Result) outcome.Result {
	if len(t.upstreams) == 0 {
		return refusal
	}
	r := t.best()
	if r.Outcome == outcome.NotRun {
		if refusal.Reason != outcome.ReasonOverload || !r.RefusedForCapacity() || r.RefusedAsSuspect() {
			r.Reason = refusal.Reason
		}
		r.RetryAfter = max(r.RetryAfter, refusal.RetryAfter)
	}
	return r
}

// upstreamFailed reports whether a response is an upstream's own failure, which another
// upstream might not have.
func upstreamFailed(r outcome.Result) bool {
	return r.Outcome == outcome.Answered && r.Status >= http.StatusInternalServerError
}

// mayRetry reports whether a call may be tried again after its last attempt. It spends
// the retry budgets that apply.
func (in *Ingress) mayRetry(c *call, t *callAttempts) bool {
	r := t.last
	if t.refused > 0 && !r.RefusedForCapacity() {
		in.cfg.Metrics.RetriesFoundRoom.Inc(1)
		in.refusalBudget.add(in.refusalKey(c), acceptedRefund)
	}
	switch {
	case r.Outcome == outcome.Answered && !upstreamFailed(r):
		return false
	case r.Outcome != outcome.NotRun && !c.attempt.Repeatable:
		return false
	case r.Reason == outcome.ReasonQuarantined || r.Reason == outcome.ReasonSuspectRunning:
		return false
	case r.Reason == outcome.ReasonNestedOverload:
		// The runs of all owners call the same overloaded service.
		return false
	case in.futile(c, r):
		return false
	case r.Reason == outcome.ReasonDeadline || r.Reason == outcome.ReasonCancelled || r.Reason == outcome.ReasonDuplicate:
		return false
	case len(t.upstreams) >= maxOwners:
		return false
	case r.RefusedForCapacity():
		return t.refused < maxFullOwners && in.spend(in.refusalBudget, in.refusalKey(c))
	case !r.Reached():
		// An upstream that is draining or unreachable costs a call one hop, and a
		// planned stop must not use up the budget.
		return true
	}
	if t.reached > c.route.Policy.Retries {
		return false
	}
	if upstreamFailed(r) && !in.spend(in.failureBudget, c.service.Name) {
		return false
	}
	return in.spend(in.retryBudget, c.service.Name)
}

// futile reports whether a call that was refused as overload need not be tried elsewhere:
// the upstream that was expected to serve it first has no room before its deadline. It
// reports false where load control is not in force.
func (in *Ingress) futile(c *call, r outcome.Result) bool {
	if r.Reason != outcome.ReasonOverload || !in.view.Load().Controls(config.FutileRetries) {
		return false
	}
	return in.cfg.Now().Add(r.RetryAfter).After(c.attempt.Deadline)
}

// earn credits the budgets with a call.
func (in *Ingress) earn(c *call) {
	in.retryBudget.earn(c.service.Name)
	in.refusalBudget.earn(in.refusalKey(c))
	in.failureBudget.earn(c.service.Name)
}

// refusalKey returns the key of the refusal budget for a call: that of its service. Where
// load control is in force, nested calls have their own: owners have room for them while
// they refuse direct calls, whose retries would use up the budget.
func (in *Ingress) refusalKey(c *call) string {
	if c.attempt.Nested && in.view.Load().Controls(config.NestedFirst) {
		return c.service.Name + "\x00nested"
	}
	return c.service.Name
}

// spend takes a token from the budget and counts the retries that it does not allow.
func (in *Ingress) spend(b *budget, key string) bool {
	if b.spend(key) {
		return true
	}
	in.cfg.Metrics.RetryDenied.Inc(1)
	return false
}
