package admission

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// rank orders attempts that wait for the same upstream.
type rank struct {
	urgency config.Urgency
	// priority is set for nested calls that go before all direct ones. See Gate.hasPriority.
	priority bool
}

// Request describes an attempt that requests a slot from a Gate.
type Request struct {
	Urgency config.Urgency
	// Flow names the flow that the attempt belongs to: the attempts of one flow wait for
	// each other, and flows of equal urgency take turns.
	Flow   string
	Nested bool
	// ParentServedFraction is the recently served fraction of the direct calls, those that
	// are not nested, at the upstream that makes a nested call.
	ParentServedFraction float64
	// WaitFraction is the fraction, from 0 to 1, of the allowed wait that a nested call
	// without priority may use. It is the same for all nested calls of one caller's request.
	WaitFraction float64
	Deadline     time.Time
	// Objective is the time by which the answer should arrive, or zero if only the
	// deadline matters.
	Objective time.Time
}

// allowedTime returns the time until the objective or, without one, the deadline.
func (a Request) allowedTime(now time.Time) time.Duration {
	if a.Objective.IsZero() {
		return a.Deadline.Sub(now)
	}
	return a.Objective.Sub(now)
}

// outranks reports whether r goes before o regardless of the order of arrival.
func (r rank) outranks(o rank) bool {
	if r.priority != o.priority {
		return r.priority
	}
	return r.urgency > o.urgency
}

// Waiter is an attempt in the queue.
type Waiter struct {
	Request
	rank
	// allowed is the time from the arrival until the objective, or else the deadline.
	allowed time.Duration
	// flows are those among which the attempt takes turns, and start is its start tag there.
	flows *flows
	start uint64
	// arrival is the attempt's number among all arrivals.
	arrival uint64
	decided chan struct{}
	refused outcome.Reason
	index   int
}

// Decided returns a channel that is closed once the attempt was admitted or refused.
func (w *Waiter) Decided() <-chan struct{} { return w.decided }

// Refused returns the reason for which a decided attempt was refused; empty: it has a
// slot.
func (w *Waiter) Refused() outcome.Reason { return w.refused }

// waiters is a heap of waiters, the next to be admitted first.
type waiters []*Waiter

func (w *Waiter) before(o *Waiter) bool {
	if w.outranks(o.rank) || o.outranks(w.rank) {
		return w.outranks(o.rank)
	}
	if w.start != o.start {
		return w.start < o.start
	}
	return w.arrival < o.arrival
}

// last returns the waiter that would be admitted last, or nil.
func (q waiters) last() *Waiter {
	var last *Waiter
	for _, w := range q {
		if last == nil || last.before(w) {
			last = w
		}
	}
	return last
}

// Len implements heap.Interface.
func (q waiters) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waiters) Less(i, j int) bool { return q[i].before(q[j]) }

// Swap implements heap.Interface.
func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *waiters) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	return w
}
