package egress

import (
	"slices"
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

// maxWaitFraction is the fraction of the time left for waiting that the expected wait may
// take: actual waits vary to both sides of the expected one.
const maxWaitFraction = 0.5

// Request describes an attempt whose response is expected to be long.
type Request struct {
	// Bytes is the expected size of the response.
	Bytes int
	// Service is the time that the upstream is expected to take, including the wait for a
	// slot.
	Service time.Duration
	// Deadline is the time after which the response is useless; Objective is the time by
	// which it should have arrived, or zero if only the deadline matters.
	Deadline  time.Time
	Objective time.Time
}

// Refusal says why an attempt was not admitted.
type Refusal struct {
	// Wait is how long the response would wait for the link, MaxWait how long it may.
	Wait    time.Duration
	MaxWait time.Duration
	// RetryAfter is the time after which the attempt would be admitted.
	RetryAfter time.Duration
}

// reservation is the room on the link for the response of a running attempt.
type reservation struct {
	bytes int
	// due is when the response is expected to be complete.
	due time.Time
}

// Ticket is the reservation of an admitted attempt. The zero Ticket reserves nothing.
type Ticket struct {
	queue *Queue
	r     *reservation
}

// Admit reserves room for the response of an attempt, until Cancel or Begin is called with
// the ticket. False: the response could not be sent early enough.
func (q *Queue) Admit(r Request) (Ticket, Refusal, bool) {
	if q.rate == 0 {
		return Ticket{}, Refusal{}, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	due := now.Add(r.Service)
	wait, limit := q.waitAt(due, now), q.maxWait(r, now)
	if wait > limit {
		return Ticket{}, Refusal{Wait: wait, MaxWait: limit, RetryAfter: q.retryAfter(due, limit, now)}, false
	}
	t := Ticket{queue: q, r: &reservation{bytes: r.Bytes, due: due}}
	q.insert(t.r)
	return t, Refusal{}, true
}

// Cancel gives back the room of an attempt that has no response to send. After Begin it
// has no effect.
func (t Ticket) Cancel() {
	if t.queue == nil {
		return
	}
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	t.queue.remove(t.r)
}

// Expected returns the number of admitted attempts whose response is not complete.
func (q *Queue) Expected() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.expected)
}

// insert adds a reservation in the order of due times.
func (q *Queue) insert(r *reservation) {
	i := len(q.expected)
	for i > 0 && q.expected[i-1].due.After(r.due) {
		i--
	}
	q.expected = slices.Insert(q.expected, i, r)
}

// remove removes a reservation unless that has been done.
func (q *Queue) remove(r *reservation) {
	if i := slices.Index(q.expected, r); i >= 0 {
		q.expected = slices.Delete(q.expected, i, i+1)
	}
}

// waitAt returns how long a response that is complete at the given time would wait for the
// link: behind those that are scheduled and those that are due before it.
func (q *Queue) waitAt(t, now time.Time) time.Duration {
	return max(0, q.freeAfter(t, now).Sub(t))
}

// freeAfter returns when the link will have sent all that is scheduled and all responses
// that are due by the given time. A response that is overdue counts as due now.
func (q *Queue) freeAfter(t, now time.Time) time.Time {
	due := 0
	for due < len(q.expected) && !q.expected[due].due.After(t) {
		due++
	}
	return q.freeAfterSending(q.expected[:due], now)
}

// freeAfterSending returns when the link will have sent all that is scheduled and, after
// that, the responses of these reservations, which are in the order of due times.
func (q *Queue) freeAfterSending(reserved []*reservation, now time.Time) time.Time {
	free := q.freeFrom(now)
	for _, r := range reserved {
		free = later(free, r.due).Add(q.duration(r.bytes))
	}
	return free
}

// retryAfter returns how long after now an attempt would be admitted if no other is admitted
// before it. due is when its response would be complete if it started now; limit is how long
// the response may wait for the link.
func (q *Queue) retryAfter(due time.Time, limit time.Duration, now time.Time) time.Duration {
	free := q.freeAfterSending(q.expected, now)
	return min(max(free.Sub(due)-limit, outcome.MinRetryAfter), outcome.MaxRetryAfter)
}

// maxWait returns how long the response of an attempt may wait for the link: so that it can
// arrive within its objective, and in any case before its deadline. A longer queue would
// carry no more responses but make all of them late. An attempt that would be late without
// any wait is still admitted if the link is idle.
func (q *Queue) maxWait(r Request, now time.Time) time.Duration {
	busy := r.Service + q.duration(r.Bytes)
	limit := r.Deadline.Sub(now) - busy
	if !r.Objective.IsZero() {
		limit = min(limit, time.Duration(maxWaitFraction*float64(r.Objective.Sub(now)-busy)))
	}
	return max(0, limit)
}
