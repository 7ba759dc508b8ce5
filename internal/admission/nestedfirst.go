package admission

import (
	"math"
	"time"
)

const (
	// directShare is the share of the slots that waiting direct calls may use if all nested
	// calls go first. Without it, a service whose nested calls alone exceed its slots would
	// answer no direct call, however urgent. The owners of the nested calls' parents then
	// start fewer runs. A direct call counts as if it took as long as its objective allows.
	directShare = 0.1
	// nestedRateTime is the time constant of the mean rate at which nested calls are
	// admitted.
	nestedRateTime = time.Second
)

// nestedRate is the mean rate at which nested calls are admitted. Guarded by the mutex of the
// owning Gate.
type nestedRate struct {
	// recent is the number of nested calls that were admitted, decaying with nestedRateTime.
	recent    float64
	updatedAt time.Time
}

// add counts a nested call.
func (r *nestedRate) add(now time.Time) {
	r.recent = r.perSecond(now)*nestedRateTime.Seconds() + 1
	r.updatedAt = now
}

// perSecond returns the mean rate.
func (r *nestedRate) perSecond(now time.Time) float64 {
	decay := math.Exp(-float64(now.Sub(r.updatedAt)) / float64(nestedRateTime))
	return r.recent * decay / nestedRateTime.Seconds()
}

// flowsOf returns the flows among which an attempt takes turns. With nestedFirst, those of
// nested calls are separate: otherwise a nested call would wait for the direct calls of its
// flow, which come after the nested calls of all other flows.
func (g *Gate) flowsOf(a Request) *flows {
	if g.nestedFirst && a.Nested {
		return &g.nestedFlows
	}
	return &g.flows
}

// recordNested counts an admitted attempt towards the order of nested and direct calls.
func (g *Gate) recordNested(a Request) {
	now := g.now()
	if !a.Nested {
		g.directAt = now
		return
	}
	g.nestedRate.add(now)
}

// nextWaiter returns the waiter that is admitted next.
func (g *Gate) nextWaiter() *Waiter {
	if !g.nestedFirst {
		return g.queue[0]
	}
	if w := g.queue.firstDirect(); w != nil && g.now().Sub(g.directAt) >= g.directInterval(w) {
		return w
	}
	return g.queue[0]
}

// directInterval returns the longest time from one direct call to the next while they wait.
func (g *Gate) directInterval(w *Waiter) time.Duration {
	return time.Duration(max(0, float64(w.allowed)) / (directShare * float64(max(1, g.limit()))))
}

// firstDirect returns the direct call that would be admitted first, or nil.
func (q waiters) firstDirect() *Waiter {
	var first *Waiter
	for _, w := range q {
		if !w.Nested && (first == nil || w.before(first)) {
			first = w
		}
	}
	return first
}

// nested returns the number of nested calls.
func (q waiters) nested() int {
	n := 0
	for _, w := range q {
		if w.Nested {
			n++
		}
	}
	return n
}

// displacedNestedFirst is displaced where all nested calls go first. The first direct call
// keeps its place, since a share of the slots is for direct calls.
func (g *Gate) displacedNestedFirst(w *Waiter) *Waiter {
	kept := g.queue.firstDirect()
	if !w.Nested && (kept == nil || w.before(kept)) {
		kept = w
	}
	var last *Waiter
	for _, q := range g.queue {
		if q != kept && (last == nil || last.before(q)) {
			last = q
		}
	}
	if last == nil || w != kept && !w.before(last) {
		return nil
	}
	return last
}

// directWaitFor estimates the time until a direct call will have been admitted that has n-1
// attempts ahead of it, direct-1 of them direct, while further nested calls arrive and go
// first. Otherwise a direct call could be queued that gets no slot before its deadline.
func (g *Gate) directWaitFor(w *Waiter, n, direct int) time.Duration {
	wait := g.waitFor(n)
	longest := max(wait, time.Duration(direct)*g.directInterval(w))
	nested := g.nestedRate.perSecond(g.now()) * wait.Seconds() / float64(n)
	if nested >= 1 {
		return longest
	}
	return time.Duration(min(float64(longest), float64(wait)/(1-nested)))
}

// maxNestedWait returns how long a nested call may wait that goes before all direct calls,
// given the time until its objective. The mean service time is not deducted: it is mostly
// that of direct calls, which take longer.
func (g *Gate) maxNestedWait(untilObjective time.Duration) time.Duration {
	return time.Duration(max(maxWaitFraction*float64(untilObjective), minWaitFraction*float64(g.serviceTime())))
}
