// Package retry decides whether a call whose last attempt failed is retried at another
// upstream, and holds the budgets that tie the number of retries to the number of calls. It
// does no I/O; the clock is passed in.
package retry

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

const (
	// refusalRatio and refusalBurst limit the retries after an owner refused an attempt for
	// lack of capacity. A refused attempt reaches no upstream and costs one hop.
	refusalRatio = 0.1
	refusalBurst = 50
	// acceptedRefund is the number of tokens returned for a retry that an owner accepted. The
	// budget thus limits only the retries that are refused again. Where all upstreams are
	// full, it is soon exhausted, and the retries stop.
	acceptedRefund = 1
	// maxFullOwners is the number of refusals for lack of capacity after which a call is not
	// retried. With a hundred daemons, each receives the load of an upstream only every few
	// seconds, so that the first owners tried are as likely to be full as any.
	maxFullOwners = 4
	// budgetShare is the fraction of the permitted retries that the budgets grant. The rest
	// covers the bursts of daemons that restart and bursts of calls.
	budgetShare = 0.7
	// FailureShare is the fraction of the permitted retries that may follow an
	// upstream's own failure. Its cause, usually a nested call that was refused, is likely to
	// make the retry fail too.
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
	// retries limits the retries that may reach upstreams. refusals limits the retries after an
	// owner refused an attempt for lack of capacity.
	retries  *budget
	refusals *budget
	// failures limits the retries after an upstream's own failure. These retries are charged to
	// the budget retries as well.
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
	// NestedFirst is set if owners admit nested calls before direct ones. AvoidFutile is set if
	// calls refused as overload with a retry-after beyond their deadline are not retried.
	NestedFirst, AvoidFutile bool
	// Repeatable is set if the call may run more than once.
	Repeatable bool
	// MaxRetries is the maximum number of retries that may reach upstreams.
	MaxRetries int
	Deadline   time.Time
}

// Decision says whether a call may be retried.
type Decision struct {
	Retry bool
	// FoundRoom is set if the last attempt was not refused for lack of capacity, after another
	// owner had refused the call for it.
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

// Decide decides whether a call may be retried after its last attempt. It spends tokens of the
// budgets that apply.
func (p *Policy) Decide(c Call, attempts *Attempts) Decision {
	foundRoom := attempts.refused > 0 && !attempts.last.RefusedForCapacity()
	if foundRoom {
		p.refusals.add(refusalKey(c), acceptedRefund)
	}
	d := p.decide(c, attempts)
	d.FoundRoom = foundRoom
	return d
}

// decide returns the decision without FoundRoom.
func (p *Policy) decide(c Call, attempts *Attempts) Decision {
	r := attempts.last
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
	case len(attempts.upstreams) >= maxOwners:
		return Decision{}
	case r.RefusedForCapacity():
		if attempts.refused >= maxFullOwners {
			return Decision{}
		}
		return spend(p.refusals, refusalKey(c))
	case !r.Reached():
		// An upstream that is draining or unreachable costs a call one hop, and a
		// planned stop must not use up the budget.
		return Decision{Retry: true}
	}
	if attempts.reached > c.MaxRetries {
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

// futile reports whether a retry of a call that was refused as overload is futile: the upstream
// that was expected to serve the call first has no free slot before the deadline of the call.
// It reports false unless AvoidFutile is set.
func (p *Policy) futile(c Call, r outcome.Result) bool {
	if r.Reason != outcome.ReasonOverload || !c.AvoidFutile {
		return false
	}
	return p.now().Add(r.RetryAfter).After(c.Deadline)
}

// refusalKey returns the key of the refusal budget for a call: its service. With NestedFirst,
// nested calls have a budget of their own: owners accept nested calls while they refuse direct
// calls, whose retries would use up a common budget.
func refusalKey(c Call) string {
	if c.Nested && c.NestedFirst {
		return c.Service + "\x00nested"
	}
	return c.Service
}
