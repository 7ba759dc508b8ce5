// Package retry decides whether a call that got no good response is tried again at another
// upstream, and holds the budgets that tie the number of retries to the number of calls. It
// does no I/O; the clock is passed in.
package retry

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

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
	// budgetShare is the fraction of the permitted retries that daemons plan with.
	// The rest covers the bursts of daemons that restart and of calls that arrive in
	// waves.
	budgetShare = 0.7
	// FailureShare is the fraction of the permitted retries that may follow an
	// upstream's own failure. What made it fail once, usually a nested call that found no
	// room, is likely to make it fail again.
	FailureShare = 0.3
	// FailureBurst is the maximum number of unused retries after upstreams' own failures that a
	// daemon accumulates for a service.
	FailureBurst = 3
	// maxOwners is the maximum number of owners that one call tries, so that a call does
	// not visit a whole fleet that is shutting down.
	maxOwners = 6
)

// Config holds the settings of a Policy.
type Config struct {
	// Ratio is the number of retries allowed per call, over all daemons.
	Ratio float64
	// Burst is the maximum number of unused retries to a service that this daemon
	// accumulates.
	Burst float64
}

// Policy decides on the retries of a daemon's calls. It is safe for concurrent use.
type Policy struct {
	now func() time.Time
	// retries limits the retries that may reach upstreams, refusals those after an owner
	// refused an attempt because its upstream was full.
	retries  *budget
	refusals *budget
	// failures limits the retries after an upstream's own failure. They are charged to
	// retries as well.
	failures *budget
}

// New returns a policy whose budgets have no entries.
func New(cfg Config, now func() time.Time) *Policy {
	return &Policy{
		now:      now,
		retries:  newBudget(budgetShare*cfg.Ratio, cfg.Burst),
		refusals: newBudget(refusalRatio, refusalBurst),
		failures: newBudget(FailureShare*cfg.Ratio, FailureBurst),
	}
}

// Call is what the policy needs to know of a call.
type Call struct {
	Service string
	// Nested is set if an upstream makes the call for a request that it is running.
	Nested bool
	// NestedFirst is set if owners admit nested calls before direct ones, and AvoidFutile if
	// calls that no owner can serve before their deadline are not tried again.
	NestedFirst, AvoidFutile bool
	// Repeatable is set if the call may run more than once.
	Repeatable bool
	// MaxRetries is the maximum number of retries that may reach upstreams.
	MaxRetries int
	Deadline   time.Time
}

// Decision is the answer to the question whether a call may be tried again.
type Decision struct {
	Retry bool
	// FoundRoom is set if the last attempt was accepted after another owner had refused the
	// call as full.
	FoundRoom bool
	// OverBudget is set if a budget did not allow a retry that was allowed otherwise.
	OverBudget bool
}

// Earn credits the budgets with a call.
func (p *Policy) Earn(c Call) {
	p.retries.earn(c.Service)
	p.refusals.earn(refusalKey(c))
	p.failures.earn(c.Service)
}

// ChargeRepeat charges the budget of a service for a call that counts as a retry from its
// first attempt on.
func (p *Policy) ChargeRepeat(service string) { p.retries.charge(service) }

// Decide decides whether a call may be tried again after its last attempt. It spends the
// budgets that apply.
func (p *Policy) Decide(c Call, t *Attempts) Decision {
	foundRoom := t.refused > 0 && !t.last.RefusedForCapacity()
	if foundRoom {
		p.refusals.add(refusalKey(c), acceptedRefund)
	}
	d := p.decide(c, t)
	d.FoundRoom = foundRoom
	return d
}

// decide returns the decision without FoundRoom.
func (p *Policy) decide(c Call, t *Attempts) Decision {
	r := t.last
	switch {
	case r.Outcome == outcome.Answered && !UpstreamFailed(r):
		return Decision{}
	case r.Outcome != outcome.NotRun && !c.Repeatable:
		return Decision{}
	case r.Reason == outcome.ReasonQuarantined || r.Reason == outcome.ReasonSuspectRunning:
		return Decision{}
	case r.Reason == outcome.ReasonNestedOverload:
		// The runs of all owners call the same overloaded service.
		return Decision{}
	case p.futile(c, r):
		return Decision{}
	case r.Reason == outcome.ReasonDeadline || r.Reason == outcome.ReasonCancelled || r.Reason == outcome.ReasonDuplicate:
		return Decision{}
	case len(t.upstreams) >= maxOwners:
		return Decision{}
	case r.RefusedForCapacity():
		if t.refused >= maxFullOwners {
			return Decision{}
		}
		return spend(p.refusals, refusalKey(c))
	case !r.Reached():
		// An upstream that is draining or unreachable costs a call one hop, and a
		// planned stop must not use up the budget.
		return Decision{Retry: true}
	}
	if t.reached > c.MaxRetries {
		return Decision{}
	}
	if UpstreamFailed(r) {
		if d := spend(p.failures, c.Service); !d.Retry {
			return d
		}
	}
	return spend(p.retries, c.Service)
}

// spend takes a token from the budget and returns the decision that follows.
func spend(b *budget, key string) Decision {
	allowed := b.spend(key)
	return Decision{Retry: allowed, OverBudget: !allowed}
}

// futile reports whether a call that was refused as overload need not be tried elsewhere:
// the upstream that was expected to serve it first has no room before its deadline. It
// reports false unless AvoidFutile is set.
func (p *Policy) futile(c Call, r outcome.Result) bool {
	if r.Reason != outcome.ReasonOverload || !c.AvoidFutile {
		return false
	}
	return p.now().Add(r.RetryAfter).After(c.Deadline)
}

// refusalKey returns the key of the refusal budget for a call: that of its service. With
// NestedFirst, nested calls have their own: owners have room for them while they refuse direct
// calls, whose retries would use up the budget.
func refusalKey(c Call) string {
	if c.Nested && c.NestedFirst {
		return c.Service + "\x00nested"
	}
	return c.Service
}
