// Package intake schedules the long request bodies that arrive at a VM, so that they share
// its network link with short messages that must not be delayed. It does no I/O; the clock is
// passed in.
package intake

import (
	"sync"
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

const (
	// longBodyLinkShare is the share of a VM's link that long bodies may use. The rest is
	// for the calls that upstreams make while they hold slots, for responses and for
	// control traffic: these messages are short, and a long body ahead of one delays its
	// receiver. At 0.7 of 6 Mbit/s a body of 60 KB takes 114 ms.
	longBodyLinkShare = 0.7
	// maxBodyWait is the longest time that a body waits before it may be sent. Longer
	// queues transfer no more bodies and only add delay.
	maxBodyWait = time.Second
	// bitsPerMegabit and bitsPerByte convert the link speed in Mbit/s to bytes per
	// second.
	bitsPerMegabit = 1e6
	bitsPerByte    = 8
)

// Queue schedules the long bodies that arrive from other VMs, one after the other and no
// faster than their share of the link. Senders do not send a body before its scheduled
// time, so that one that is refused does not use the link at all. It is safe for
// concurrent use.
type Queue struct {
	// rate is in bytes per second. Zero: the link has no limit.
	rate float64
	now  func() time.Time

	mu sync.Mutex
	// freeAt is when the last of the bodies scheduled so far has arrived.
	freeAt time.Time
}

// New returns a queue for a link with this bandwidth in Mbit/s. Zero: the link has no limit.
func New(linkMbps float64, now func() time.Time) *Queue {
	return &Queue{rate: longBodyLinkShare * linkMbps * bitsPerMegabit / bitsPerByte, now: now}
}

// Reservation is the time on the link that is reserved for one body.
type Reservation struct {
	start    time.Time
	duration time.Duration
}

// Reserve schedules a body. False: it would wait too long or arrive after the deadline;
// after is then the retry-after.
func (q *Queue) Reserve(size int64, deadline time.Time) (r Reservation, after time.Duration, ok bool) {
	if q.rate == 0 {
		return Reservation{}, 0, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	r = Reservation{start: later(now, q.freeAt), duration: time.Duration(float64(size) / q.rate * float64(time.Second))}
	wait := r.start.Sub(now)
	if wait > maxBodyWait || r.start.Add(r.duration).After(deadline) {
		return Reservation{}, min(max(wait, outcome.MinRetryAfter), outcome.MaxRetryAfter), false
	}
	q.freeAt = r.start.Add(r.duration)
	return r, 0, true
}

// Cancel frees a reservation that was not used.
func (q *Queue) Cancel(r Reservation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.freeAt = q.freeAt.Add(-r.duration)
}

// Remaining returns how long it takes until a reserved body may be sent; zero or less: it may
// be sent now.
func (q *Queue) Remaining(r Reservation) time.Duration {
	if r.start.IsZero() {
		return 0
	}
	return r.start.Sub(q.now())
}

// Wait returns how long a body that arrives now would have to wait.
func (q *Queue) Wait() time.Duration {
	if q.rate == 0 {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(0, q.freeAt.Sub(q.now()))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
