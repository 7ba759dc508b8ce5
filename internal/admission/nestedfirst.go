package admission

import (
	"math"
	"time"
)

const (
	// directShare is the fraction of the slots that is left to waiting direct calls while
	// nested calls go first, if each direct call holds its slot until its objective. Without
	// it, a service whose nested calls need more than its slots would answer no direct call,
	// however urgent.
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

// nextWaiter returns the waiter that is admitted next: the head of the queue or, if no direct
// call was admitted for too long, the first direct one.
func (g *Gate) nextWaiter() *Waiter {
	if !g.nestedFirst {
		return g.queue[0]
	}
	if w := g.queue.firstDirect(); w != nil && g.now().Sub(g.directAt) >= g.directInterval(w) {
		return w
	}
	return g.queue[0]
}

// directInterval returns how long after the last direct call a waiting one goes before nested
// calls. It is zero if the objective of w had passed when it arrived.
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

// displacedNestedFirst is displaced for a gate with nestedFirst. The first direct call keeps
// its place, since directShare of the slots is for direct calls.
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

// directWaitFor estimates how long a direct call waits that is the n-th attempt in the queue
// and the direct-th direct one. Nested calls that arrive meanwhile go before it; without them
// in the estimate, direct calls would be queued that get no slot before their deadline.
func (g *Gate) directWaitFor(w *Waiter, n, direct int) time.Duration {
	wait := g.waitFor(n)
	longest := max(wait, time.Duration(direct)*g.directInterval(w))
	admissionInterval := wait.Seconds() / float64(n)
	nestedShare := g.nestedRate.perSecond(g.now()) * admissionInterval // of all admissions
	if nestedShare >= 1 {
		return longest
	}
	return time.Duration(min(float64(longest), float64(wait)/(1-nestedShare)))
}

// maxNestedWait returns how long a nested call may wait if nested calls go before all direct
// ones, given the time until its objective. The mean service time is not deducted: it is mostly
// that of direct calls, which take longer.
func (g *Gate) maxNestedWait(untilObjective time.Duration) time.Duration {
	return time.Duration(max(maxWaitFraction*float64(untilObjective), minWaitFraction*float64(g.serviceTime())))
}
