// Package admission decides which attempts run at an upstream: as many at once as it has
// slots and as many per second as it accepts, the next ones in the order of their urgency,
// and none whose answer would come too late. It does no I/O; the clock is passed in.
package admission

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

const (
	// serviceWeight is the weight of the newest attempt in the mean service time.
	serviceWeight = 0.1
	// initialServiceTime is the mean service time before the first measurement.
	initialServiceTime = 10 * time.Millisecond
	// AnswerMargin is how long before its deadline a waiting attempt is refused: the
	// refusal must reach the ingress before the ingress gives up and reports an unknown
	// outcome. No attempt completes in so short a time.
	AnswerMargin = 15 * time.Millisecond
)

// Gate admits attempts to one upstream: at most as many at once as it has slots, and as many
// per second as its rate limit allows, plus a short queue. In the queue, nested calls whose
// parent upstream is shorter of slots than this one go first, then the more urgent attempts,
// then flows take turns, then the first to arrive. The queue is not ordered by deadline:
// calls with short deadlines would then starve calls of equal urgency with long ones. All
// other attempts are refused at once. Safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	now      func() time.Time
	slots    int
	maxQueue int
	// readySince and ramp limit the slots of an upstream that has just started.
	readySince time.Time
	ramp       time.Duration
	inFlight   int
	queue      waiters
	arrivals   uint64
	flows      flows
	// meanService is the mean service time at pace 1.
	meanService     time.Duration
	serviceMeasured bool
	pace            *paceHistory
	closed          outcome.Reason
	// direct is the served fraction of the direct calls, which are those that are not
	// nested.
	direct servedAverage
	// nestedFirst is set if all nested calls go before all direct ones. The nested calls then
	// take turns among themselves, by nestedFlows.
	nestedFirst bool
	nestedFlows flows
	nestedRate  nestedRate
	// directAt is when the last direct call was admitted.
	directAt time.Time
	// lost estimates the attempts in flight that no longer hold a slot at the upstream.
	lost lostAnswers
	// rate bounds the attempts per second.
	rate rateLimiter
	// afterFunc calls a function after a time; admitAt is when it will next call admitDue, or
	// zero.
	afterFunc func(time.Duration, func())
	admitAt   time.Time
}

// New returns the gate of an upstream that has been ready since readySince, with the given
// numbers of slots and of places in its queue.
func New(now func() time.Time, slots, maxQueue int, readySince time.Time) *Gate {
	return &Gate{
		now: now, slots: slots, maxQueue: maxQueue, readySince: readySince, meanService: initialServiceTime,
		rate:      rateLimiter{perSecond: Unlimited},
		afterFunc: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
	}
}

// SetTimer replaces time.AfterFunc, for a gate whose clock is not the system's. It must be
// called before the gate is used.
func (g *Gate) SetTimer(afterFunc func(time.Duration, func())) { g.afterFunc = afterFunc }

// SetRate sets how many attempts per second the upstream accepts; Unlimited: any number.
func (g *Gate) SetRate(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rate.set(g.now(), perSecond)
	g.admitWaiting()
}

// Resize applies new settings of the upstream.
func (g *Gate) Resize(slots int, ramp time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = slots
	g.ramp = ramp
	g.admitWaiting()
}

// SetNestedFirst sets whether all nested calls go before all direct ones. Otherwise only
// those do whose parent upstream is shorter of slots than this one.
func (g *Gate) SetNestedFirst(first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nestedFirst = first
}

// Close refuses all waiting and all further attempts for the given reason.
func (g *Gate) Close(reason outcome.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = reason
	for len(g.queue) > 0 {
		g.refuseWaiter(g.queue[0], reason)
	}
}

// Open undoes Close.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = ""
}

// Rate returns how many attempts per second are admitted; zero: there is no limit.
func (g *Gate) Rate() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.rate.limited() {
		return 0
	}
	return g.rate.perSecond
}

// limit returns how many attempts may be in flight now. Each attempt in flight whose answer
// is estimated to be lost allows one more.
func (g *Gate) limit() int {
	return g.rampedSlots() + min(g.lost.count(g.now()), maxLostFactor*g.slots)
}

// rampedSlots returns how many attempts the upstream may run now, given how long it has
// been ready.
func (g *Gate) rampedSlots() int {
	age := g.now().Sub(g.readySince)
	if g.ramp <= 0 || age >= g.ramp {
		return g.slots
	}
	return max(1, int(float64(g.slots)*float64(age)/float64(g.ramp)))
}

// Acquire waits for a slot. An empty reason means that the attempt has one and must
// release it; otherwise it was refused and must not run.
func (g *Gate) Acquire(ctx context.Context, a Request) (outcome.Reason, time.Duration) {
	w, reason, retryAfter := g.Enter(a)
	if w == nil {
		return reason, retryAfter
	}
	refuseTimer := time.NewTimer(a.Deadline.Sub(g.now()) - AnswerMargin)
	defer refuseTimer.Stop()
	select {
	case <-w.decided:
	case <-refuseTimer.C:
		g.Withdraw(w, outcome.ReasonDeadline)
	case <-ctx.Done():
		g.Withdraw(w, outcome.CancelReason(ctx))
	}
	<-w.decided
	if w.refused == "" {
		return "", 0
	}
	return w.refused, g.RetryAfterOf(a)
}

// Enter admits, queues or refuses an attempt. The waiter is nil if the decision is final.
func (g *Gate) Enter(a Request) (*Waiter, outcome.Reason, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != "" {
		return nil, g.closed, g.retryAfter(a)
	}
	if g.inFlight < g.limit() && len(g.queue) == 0 && g.rate.take(g.now()) {
		g.inFlight++
		g.recordAdmitted(a)
		return nil, "", 0
	}
	g.arrivals++
	w := g.newWaiter(a)
	if !g.mayQueue(w) {
		g.recordDirect(a, false)
		return nil, g.capacityReason(), g.retryAfter(a)
	}
	if len(g.queue) >= g.maxQueue {
		g.refuseWaiter(g.displaced(w), g.capacityReason())
		w.start = w.flows.start(w.Flow)
	}
	w.flows.enqueue(w.Flow, w.start)
	heap.Push(&g.queue, w)
	g.scheduleAdmission()
	return w, "", 0
}

// newWaiter returns a waiter for an attempt, with its rank.
func (g *Gate) newWaiter(a Request) *Waiter {
	f, now := g.flowsOf(a), g.now()
	return &Waiter{
		Request: a,
		rank:    rank{urgency: a.Urgency, priority: g.hasPriority(a)},
		allowed: a.allowedTime(now),
		flows:   f,
		start:   f.start(a.Flow),
		arrival: g.arrivals,
		decided: make(chan struct{}),
	}
}

// Check returns the reason for which an attempt would be refused if it arrived now. An
// empty reason means that it would be admitted, or wait.
func (g *Gate) Check(a Request) (outcome.Reason, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.closed != "":
		return g.closed, g.retryAfter(a)
	case g.inFlight < g.limit() && g.rate.wait(g.now(), 1) == 0:
		return "", 0
	case !g.mayQueue(g.newWaiter(a)):
		return g.capacityReason(), g.retryAfter(a)
	}
	return "", 0
}

// Release returns a slot after the attempt ran for the given time, and admits the next
// one. If took is zero, the attempt does not count in the mean service time.
func (g *Gate) Release(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if took > 0 {
		g.meanService = g.updatedMeanService(took)
		g.serviceMeasured = true
	}
	g.admitWaiting()
}

// ReleaseUnsent releases the slot of an attempt that was admitted and not sent to the
// upstream, so that it does not count against the rate limit either.
func (g *Gate) ReleaseUnsent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.rate.giveBack()
	g.admitWaiting()
}

// updatedMeanService returns the mean service time at pace 1 with one more measurement.
func (g *Gate) updatedMeanService(took time.Duration) time.Duration {
	usual := g.pace.usualTime(g.now(), took)
	if !g.serviceMeasured {
		return usual
	}
	return g.meanService + time.Duration(serviceWeight*float64(usual-g.meanService))
}

func (g *Gate) admitWaiting() {
	now := g.now()
	for len(g.queue) > 0 && g.inFlight < g.limit() {
		w := g.nextWaiter()
		if now.After(w.Deadline) {
			g.refuseWaiter(w, outcome.ReasonDeadline)
			continue
		}
		if !g.rate.take(now) {
			g.scheduleAdmission()
			return
		}
		heap.Remove(&g.queue, w.index)
		w.flows.dequeue(w.start)
		g.inFlight++
		g.recordAdmitted(w.Request)
		close(w.decided)
	}
}

// scheduleAdmission makes the first waiter be admitted once the rate limit allows it. If all
// slots are in use, the release of one does that.
func (g *Gate) scheduleAdmission() {
	if !g.rate.limited() || g.inFlight >= g.limit() {
		return
	}
	now := g.now()
	wait := g.rate.wait(now, 1)
	if at := now.Add(wait); g.admitAt.IsZero() || at.Before(g.admitAt) {
		g.admitAt = at
		g.afterFunc(wait, g.admitDue)
	}
}

// admitDue admits the waiters that the rate limit has come to allow.
func (g *Gate) admitDue() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitAt = time.Time{}
	g.admitWaiting()
}

// Withdraw refuses a waiter that gave up, unless it has been decided in the meantime.
func (g *Gate) Withdraw(w *Waiter, reason outcome.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.decided:
	default:
		g.refuseWaiter(w, reason)
	}
}

func (g *Gate) refuseWaiter(w *Waiter, reason outcome.Reason) {
	heap.Remove(&g.queue, w.index)
	w.flows.withdraw(w.Flow, w.start)
	if reason != outcome.ReasonCancelled {
		g.recordDirect(w.Request, false)
	}
	w.refused = reason
	close(w.decided)
}
