package admission

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

// capacityReason returns the reason for which an attempt that may not wait is refused: the
// upstream has no free slot, or its rate limit is used up.
func (g *Gate) capacityReason() outcome.Reason {
	if g.inFlight < g.limit() && g.rate.limited() {
		return outcome.ReasonUpstreamLimit
	}
	return outcome.ReasonOverload
}

// shortageThreshold is the recently served fraction of an upstream's calls below which it
// is short of slots: above it, few calls are refused and their order makes no difference.
const shortageThreshold = 0.97

// hasPriority reports whether a nested call goes before all direct calls, whatever their
// urgency: if its parent's upstream is short of slots, and serves a smaller fraction of
// its calls than this one. If the nested call is refused, its parent's run is wasted, and
// with it a slot at the parent's upstream. Where slots are scarcer there, that costs more
// than a slot here; otherwise priority would only take a slot here from calls that may be
// more urgent.
//
// With nestedFirst, every nested call goes first: the part of its parent's run that is done is
// wasted if it is refused, and so are the nested calls beside it.
func (g *Gate) hasPriority(a Request) bool {
	if g.nestedFirst {
		return a.Nested
	}
	return a.Nested && a.ParentServedFraction < shortageThreshold && a.ParentServedFraction < g.direct.fraction(g.now())
}

// mayQueue reports whether an attempt may wait: it would be admitted in time, and there
// is a place in the queue, or a waiter of lower rank that can be displaced.
func (g *Gate) mayQueue(w *Waiter) bool {
	if g.expectedWait(w) > g.maxWait(w.Request) {
		return false
	}
	if len(g.queue) < g.maxQueue {
		return true
	}
	return g.displaced(w) != nil
}

// displaced returns the waiter in a full queue that a new one takes the place of, or nil.
func (g *Gate) displaced(w *Waiter) *Waiter {
	if g.nestedFirst {
		return g.displacedNestedFirst(w)
	}
	if last := g.queue.last(); last != nil && w.before(last) {
		return last
	}
	return nil
}

// minWaitFraction is the wait that is always allowed, as a fraction of the service time,
// even if the answer then comes late: without any queue, slots would be idle between one
// attempt and the next.
const minWaitFraction = 0.25

// maxWaitFraction is the fraction of the time left for waiting that the expected wait may
// take: under overload the queue is always as long as allowed, and actual waits vary to
// both sides of the expected one.
const maxWaitFraction = 0.6

// maxWait returns how long an attempt may wait for a slot: as long as its answer can
// still come within its objective. A longer queue would not serve more calls but make all
// of them late.
//
// Nested calls without priority may wait for the fraction of that time that their
// WaitFraction says. A run that makes several calls fails if one of them is refused, and the
// work of the others is wasted; since all of them have the same WaitFraction, they are
// refused together or not at all.
func (g *Gate) maxWait(a Request) time.Duration {
	now := g.now()
	untilDeadline := a.Deadline.Sub(now)
	if a.Objective.IsZero() {
		return untilDeadline
	}
	if a.Nested && g.nestedFirst {
		return min(untilDeadline, g.maxNestedWait(a.Objective.Sub(now)))
	}
	service := g.serviceTime()
	allowed := max(maxWaitFraction*float64(a.Objective.Sub(now)-service), minWaitFraction*float64(service))
	if a.Nested && !g.hasPriority(a) {
		allowed *= a.WaitFraction
	}
	return min(untilDeadline, time.Duration(allowed))
}

// expectedWait estimates how long an attempt would wait to be admitted.
func (g *Gate) expectedWait(w *Waiter) time.Duration {
	ahead, direct := 1, 1
	for _, q := range g.queue {
		if !q.before(w) {
			continue
		}
		ahead++
		if !q.Nested {
			direct++
		}
	}
	if g.nestedFirst && !w.Nested {
		return g.directWaitFor(w, ahead, direct)
	}
	return g.waitFor(ahead)
}

// waitFor estimates the time until the next n attempts will have been admitted.
func (g *Gate) waitFor(n int) time.Duration {
	forSlots := g.serviceTime() * time.Duration(n) / time.Duration(max(1, g.limit()))
	return max(forSlots, g.rate.wait(g.now(), n))
}

// RetryAfter is the time until the attempts that are queued now will have been admitted.
func (g *Gate) RetryAfter() time.Duration { return g.RetryAfterOf(Request{}) }

// RetryAfterOf is the time until those attempts that are queued now and would go before the
// given one will have been admitted.
func (g *Gate) RetryAfterOf(a Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryAfter(a)
}

// retryAfter is RetryAfterOf for callers that hold the mutex.
func (g *Gate) retryAfter(a Request) time.Duration {
	ahead := len(g.queue)
	if g.nestedFirst && a.Nested {
		ahead = g.queue.nested()
	}
	return min(max(g.waitFor(ahead+1), outcome.MinRetryAfter), outcome.MaxRetryAfter)
}
