// Package egress schedules the long responses that a VM sends to other VMs, so that they
// share its network link with short messages that nobody should wait for: responses to
// nested calls, new connections and control traffic. It does no I/O; the clock is passed
// in.
//
// Long responses are sent one after the other, each at the rate of the link: all of them
// at once would arrive later on average. A request whose response could not be sent in
// time is refused before it runs.
package egress

import (
	"sync"
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

const (
	// linkShare is the share of the link that responses may use. The rest is for control
	// traffic, acknowledgements and opening connections, which are not scheduled.
	linkShare = 0.85
	// maxWaitFraction is the fraction of the time left for waiting that the expected wait may
	// take: actual waits vary to both sides of the expected one.
	maxWaitFraction = 0.6
	// ChunkBytes is the size of the parts in which a long response is written. A short
	// response waits for at most one part.
	ChunkBytes = 8 << 10

	bitsPerMegabit = 1e6
	bitsPerByte    = 8
)

// Queue is the schedule of one VM's link. It is safe for concurrent use.
type Queue struct {
	// rate is in bytes per second. Zero: the link has no limit.
	rate float64
	now  func() time.Time

	mu sync.Mutex
	// freeAt is when the last byte of all responses scheduled so far will have been sent.
	freeAt time.Time
	// expected is the size in bytes of the responses that are expected from running
	// attempts.
	expected float64
}

// New returns the schedule of a link with this speed in Mbit/s. Zero: the link has no
// limit.
func New(linkMbps float64, now func() time.Time) *Queue {
	return &Queue{rate: linkShare * linkMbps * bitsPerMegabit / bitsPerByte, now: now}
}

// Limited reports whether the link has a limit.
func (q *Queue) Limited() bool { return q.rate > 0 }

// Request describes an attempt whose response is expected to be long.
type Request struct {
	// Bytes is the expected size of the response.
	Bytes int
	// Service is the time that the upstream is expected to take, including the wait for a
	// slot.
	Service time.Duration
	// Deadline is the time after which nobody waits for the response; Objective is the time
	// by which it should have arrived, or zero if only the deadline matters.
	Deadline  time.Time
	Objective time.Time
}

// Ticket reserves room on the link for the response of an admitted attempt. Exactly one of
// Cancel and Begin must be called.
type Ticket struct {
	queue *Queue
	bytes float64
}

// Admit reserves room for the response of an attempt. If the response could not be sent
// early enough, it returns false and the time after which the attempt would be admitted.
func (q *Queue) Admit(r Request) (t Ticket, retryAfter time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.rate == 0 {
		return Ticket{}, 0, true
	}
	bytes := float64(r.Bytes)
	wait := q.waitAfter(r.Service)
	if excess := wait - q.maxWait(r); excess > 0 {
		return Ticket{}, min(max(excess, outcome.MinRetryAfter), outcome.MaxRetryAfter), false
	}
	q.expected += bytes
	return Ticket{queue: q, bytes: bytes}, 0, true
}

// waitAfter returns how long a response that is complete after the given time would wait
// for the link: behind those that are scheduled and those that are expected before it.
func (q *Queue) waitAfter(service time.Duration) time.Duration {
	return max(0, q.backlog()+q.duration(q.expected)-service)
}

// maxWait returns how long the response of an attempt may wait for the link: so that it can
// arrive within its objective, and in any case before its deadline. A longer queue would
// carry no more responses but make all of them late.
func (q *Queue) maxWait(r Request) time.Duration {
	busy := r.Service + q.duration(float64(r.Bytes))
	now := q.now()
	untilDeadline := r.Deadline.Sub(now) - busy
	if r.Objective.IsZero() {
		return untilDeadline
	}
	return min(untilDeadline, max(0, time.Duration(maxWaitFraction*float64(r.Objective.Sub(now)-busy))))
}

// Cancel gives back the room of an attempt that has no response to send.
func (t Ticket) Cancel() {
	if t.queue == nil {
		return
	}
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	t.queue.expected -= t.bytes
}

// Schedule is the time on the link that is reserved for one response.
type Schedule struct {
	start time.Time
	// rate is in bytes per second; zero: there is no limit.
	rate float64
}

// Begin schedules the response of an attempt, now that it is complete and its size in bytes
// is known.
func (q *Queue) Begin(t Ticket, bytes int) Schedule {
	t.Cancel()
	q.mu.Lock()
	defer q.mu.Unlock()
	s := Schedule{start: q.now(), rate: q.rate}
	if q.rate > 0 {
		s.start = s.start.Add(q.backlog())
		q.freeAt = s.start.Add(q.duration(float64(bytes)))
	}
	return s
}

// At returns when the part of the response that begins at the given offset may be written.
func (s Schedule) At(offset int) time.Time {
	if s.rate == 0 {
		return s.start
	}
	return s.start.Add(time.Duration(float64(offset) / s.rate * float64(time.Second)))
}

// Account records a short response, which is sent without waiting: the long ones that are
// scheduled later make room for it.
func (q *Queue) Account(bytes int) {
	if q.rate == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.freeAt = q.now().Add(q.backlog() + q.duration(float64(bytes)))
}

// Backlog returns how long a response that is complete now would wait for the link.
func (q *Queue) Backlog() time.Duration {
	if q.rate == 0 {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.backlog()
}

// Wait returns how long the response of an attempt that arrives now would have to wait for
// the link, which includes the responses that are still expected.
func (q *Queue) Wait() time.Duration {
	if q.rate == 0 {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waitAfter(0)
}

func (q *Queue) backlog() time.Duration { return max(0, q.freeAt.Sub(q.now())) }

func (q *Queue) duration(bytes float64) time.Duration {
	return time.Duration(bytes / q.rate * float64(time.Second))
}
