package callpath

import (
	"context"
	"sync"
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

const (
	// longBodyLinkShare is the share of a VM's link that long bodies may use. The rest is
	// for the calls that upstreams make while they hold slots, for responses and for
	// control traffic: these are short, and each one that waits behind a long body delays
	// whoever waits for it. At 0.7 of 6 Mbit/s a body of 60 KB takes 114 ms.
	longBodyLinkShare = 0.7
	// maxBodyWait is the longest time that a body waits before it may be sent. Longer
	// queues transfer no more bodies; they only make all of them late.
	maxBodyWait = time.Second
	// bitsPerMegabit and bitsPerByte convert the link speed in Mbit/s to bytes per
	// second.
	bitsPerMegabit = 1e6
	bitsPerByte    = 8
)

// intake schedules the long bodies that arrive from other VMs, one after the other and no
// faster than their share of the link. Senders do not send a body before its scheduled
// time, so that one that is refused does not use the link at all. It is safe for
// concurrent use.
type intake struct {
	// rate is in bytes per second. Zero: the link has no limit.
	rate float64
	now  func() time.Time

	mu sync.Mutex
	// freeAt is when the last of the bodies scheduled so far has arrived.
	freeAt time.Time
}

// newIntake returns an intake for a link with this speed in Mbit/s. Zero: the link has no
// limit.
func newIntake(linkMbps float64, now func() time.Time) *intake {
	return &intake{rate: longBodyLinkShare * linkMbps * bitsPerMegabit / bitsPerByte, now: now}
}

// reservation is the time on the link that is reserved for one body.
type reservation struct {
	start    time.Time
	duration time.Duration
}

// reserve schedules a body. False: it would wait too long or arrive after the deadline;
// after is then the retry-after.
func (i *intake) reserve(size int64, deadline time.Time) (t reservation, after time.Duration, ok bool) {
	if i.rate == 0 {
		return reservation{}, 0, true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	t = reservation{start: later(now, i.freeAt), duration: time.Duration(float64(size) / i.rate * float64(time.Second))}
	wait := t.start.Sub(now)
	if wait > maxBodyWait || t.start.Add(t.duration).After(deadline) {
		return reservation{}, min(max(wait, outcome.MinRetryAfter), outcome.MaxRetryAfter), false
	}
	i.freeAt = t.start.Add(t.duration)
	return t, 0, true
}

// cancel frees a reservation that was not used.
func (i *intake) cancel(t reservation) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.freeAt = i.freeAt.Add(-t.duration)
}

// await waits until a reserved body may be sent. False: ctx ended first, and the
// reservation is cancelled.
func (i *intake) await(ctx context.Context, t reservation) bool {
	wait := t.start.Sub(i.now())
	if t.start.IsZero() || wait <= 0 {
		return true
	}
	if pause(ctx, wait) {
		return true
	}
	i.cancel(t)
	return false
}

// wait returns how long a body that arrives now would have to wait.
func (i *intake) wait() time.Duration {
	if i.rate == 0 {
		return 0
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return max(0, i.freeAt.Sub(i.now()))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
