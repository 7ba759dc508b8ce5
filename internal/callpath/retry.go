package callpath

import (
	"net/http"
	"sync"

	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// budget is a token bucket that ties retries to calls: each call earns a part
// of a retry. However many calls fail, retries add no more than that part to
// the load. Safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens map[string]float64
}

func newBudget(ratio, burst float64) *budget {
	return &budget{ratio: ratio, burst: burst, tokens: map[string]float64{}}
}

// earn takes note of a call to the service.
func (b *budget) earn(service string) { b.add(service, b.ratio) }

// add allows so many more retries to the service.
func (b *budget) add(service string, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	have, ok := b.tokens[service]
	if !ok {
		have = b.burst
	}
	b.tokens[service] = min(b.burst, have+tokens)
}

// charge takes note of an attempt that counts as a retry and is sent in any case.
// What it takes beyond the tokens saved up is earned before the next retry.
func (b *budget) charge(service string) { b.add(service, -1) }

// spend reports whether a retry to the service may be sent.
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
	// refusalRatio and refusalBurst bound the further attempts after an owner
	// refused one because its upstream is full. They reach no upstream and
	// cost a hop each.
	refusalRatio = 0.1
	refusalBurst = 50
	// foundRoom is what an attempt earns back that found room after all: only those
	// that found none are bounded, which soon end where all upstreams are full.
	foundRoom = 1
	// maxRefused is the most owners without room that a call asks. A daemon among
	// a hundred hears of each upstream every few seconds, so the first ones asked
	// are full as often as any.
	maxRefused = 4
	// budgetPart is the part of the retries allowed that daemons plan for. The rest
	// is for the bursts of those that start anew and for calls that come in waves.
	budgetPart = 0.7
	// failurePart is the part for further attempts after an upstream's own failure:
	// what failed it once, mostly a call of its own that found no room, is likely
	// to fail it again.
	failurePart  = 0.3
	failureBurst = 3
	// maxOwners is the most owners that one call may ask, so that a call
	// cannot visit a whole fleet that is going away.
	maxOwners = 6
)

// tries are the attempts of one call so far.
type tries struct {
	upstreams []string
	// reached counts the attempts that an upstream may have got, refused those that
	// an owner had no room for.
	reached int
	refused int
	last    outcome.Result
	// answer is an upstream's failure, kept in case that nothing better comes.
	answer *outcome.Result
	// unknown is the last attempt that may have run without an answer.
	unknown *outcome.Result
}

func (t *tries) add(u view.Upstream, r outcome.Result) {
	t.upstreams = append(t.upstreams, u.ID)
	if r.Reached() {
		t.reached++
	}
	if r.Full() {
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

// best returns the most useful result of the attempts made: an upstream's
// answer, else one that does not claim less than happened. A call that was refused after
// an attempt that may have run is not one that has not run.
func (t *tries) best() outcome.Result {
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

// exhausted returns the result when no upstream is left to try, for this reason.
// A caller that nobody was asked for comes back when the first upstream may be
// asked again, one that was refused not before its last owner said.
func (t *tries) exhausted(refusal outcome.Result) outcome.Result {
	if len(t.upstreams) == 0 {
		return refusal
	}
	r := t.best()
	if r.Outcome == outcome.NotRun {
		r.Reason = refusal.Reason
		r.RetryAfter = max(r.RetryAfter, refusal.RetryAfter)
	}
	return r
}

// failed reports whether an answer is an upstream's failure, which another
// upstream might not have.
func failed(r outcome.Result) bool {
	return r.Outcome == outcome.Answered && r.Status >= http.StatusInternalServerError
}

// mayRetry reports whether a call may be tried again after its last attempt.
func (in *Ingress) mayRetry(c *call, t *tries) bool {
	r := t.last
	if t.refused > 0 && !r.Full() {
		in.cfg.Metrics.FoundRoom.Inc(1)
		in.refusals.add(c.service.Name, foundRoom)
	}
	switch {
	case r.Outcome == outcome.Answered && !failed(r):
		return false
	case r.Outcome != outcome.NotRun && !c.attempt.Repeatable:
		return false
	case r.Reason == outcome.ReasonQuarantined || r.Reason == outcome.ReasonTried:
		return false
	case r.Reason == outcome.ReasonDeadline || r.Reason == outcome.ReasonCancelled || r.Reason == outcome.ReasonDuplicate:
		return false
	case len(t.upstreams) >= maxOwners:
		return false
	case r.Full():
		return t.refused < maxRefused && in.spend(in.refusals, c)
	case !r.Reached():
		// An upstream that leaves or cannot be reached costs a call a hop,
		// and a planned stop must not use up the budget.
		return true
	}
	if t.reached > c.route.Policy.Retries {
		return false
	}
	if failed(r) && !in.spend(in.failures, c) {
		return false
	}
	return in.spend(in.budget, c)
}

func (in *Ingress) spend(b *budget, c *call) bool {
	if b.spend(c.service.Name) {
		return true
	}
	in.cfg.Metrics.RetryDenied.Inc(1)
	return false
}
