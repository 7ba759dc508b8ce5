// Package egress schedules the long responses that a VM sends to other VMs, so that they
// share its network link with short messages that must not be delayed: responses to
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
)

const (
	// linkShare is the share of the link that responses may use. The rest is for control
	// traffic, acknowledgements and opening connections, which are not scheduled.
	linkShare = 0.85
	// maxShortBacklog is how far ahead short responses can book the link. They are sent
	// without waiting. If they alone exceeded the link, an unbounded backlog would keep
	// refusing long responses after the excess has ended.
	maxShortBacklog = time.Second
	// maxDuration bounds the time that a response is assumed to take, so that times stay
	// within the range of a time.Duration whatever the link and the size are.
	maxDuration = time.Hour

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
	// expected are the reservations of running attempts, by the time at which their
	// responses are due.
	expected []*reservation
	// booked are the responses that are waiting or being sent, in that order.
	booked []*booking
}

// New returns the schedule of a link with this speed in Mbit/s. Zero: the link has no
// limit.
func New(linkMbps float64, now func() time.Time) *Queue {
	return &Queue{rate: linkShare * linkMbps * bitsPerMegabit / bitsPerByte, now: now}
}

// Limited reports whether the link has a limit.
func (q *Queue) Limited() bool { return q.rate > 0 }

// Account records a short response, which is sent without waiting: the long ones that are
// scheduled later make room for it.
func (q *Queue) Account(bytes int) {
	if q.rate == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	free := q.freeFrom(now)
	limit := later(free, now.Add(maxShortBacklog))
	q.freeAt = earlier(limit, free.Add(q.duration(bytes)))
}

// Backlog returns how long a response that is complete now would wait for the link.
func (q *Queue) Backlog() time.Duration {
	if q.rate == 0 {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	return q.freeFrom(now).Sub(now)
}

// Wait returns how long the response of an attempt that arrives now and takes this time
// at its upstream would have to wait for the link.
func (q *Queue) Wait(service time.Duration) time.Duration {
	if q.rate == 0 {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	return q.waitAt(now.Add(service), now)
}

// freeFrom returns the first time from now on at which the link has sent all that is
// scheduled.
func (q *Queue) freeFrom(now time.Time) time.Time { return later(now, q.freeAt) }

// duration returns how long it takes to send this number of bytes.
func (q *Queue) duration(bytes int) time.Duration {
	seconds := float64(bytes) / q.rate
	return time.Duration(min(seconds, maxDuration.Seconds()) * float64(time.Second))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
