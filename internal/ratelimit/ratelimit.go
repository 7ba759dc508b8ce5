// Package ratelimit keeps the rate limit that an upstream states in its responses, and decides
// which of several stated limits is in force: responses may arrive in another order than the
// upstream wrote them, and other daemons may know of a limit first. It does no I/O; the clock is
// passed in.
package ratelimit

import (
	"sync"
	"time"

	"github.com/comfreygate/comfreygate/internal/admission"
)

// Limit is the rate limit that an upstream states in its responses, in requests per
// second. It is safe for concurrent use.
type Limit struct {
	// apply puts a changed limit in force. It is called with the mutex held, so that changes
	// are applied in the order in which they are recorded.
	apply func(perSecond float64)

	mu sync.Mutex
	// perSecond is admission.Unlimited while the upstream states no limit.
	perSecond float64
	// since is when the current limit was recorded.
	since time.Time
	// answered is set once the upstream has responded to a request of this process.
	answered bool
}

// New returns the limit of an upstream that states none. apply puts a changed limit in force.
// It must not call methods of the Limit.
func New(apply func(perSecond float64)) *Limit {
	return &Limit{apply: apply, perSecond: admission.Unlimited}
}

// Observe records the limit that a response states to a request sent at sentAt. It returns
// the previous limit and whether the limit changed. A higher limit counts only if the
// request was sent after the current limit was recorded: the upstream may have begun to
// send that response before it lowered its limit.
func (l *Limit) Observe(now, sentAt time.Time, perSecond float64) (previous float64, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered = true
	previous = l.perSecond
	if perSecond == previous || perSecond > previous && sentAt.Before(l.since) {
		return previous, false
	}
	l.change(now, perSecond)
	return previous, true
}

// Recall records the limit that another daemon knows of, unless the upstream has responded
// since this process started. It reports whether the limit changed.
func (l *Limit) Recall(now time.Time, perSecond float64) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answered || perSecond >= l.perSecond {
		return false
	}
	l.change(now, perSecond)
	return true
}

// Reset forgets the limit, when another incarnation of the upstream starts.
func (l *Limit) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered = false
	l.change(time.Time{}, admission.Unlimited)
}

func (l *Limit) change(now time.Time, perSecond float64) {
	l.perSecond, l.since = perSecond, now
	l.apply(perSecond)
}

// Current returns the limit in force.
func (l *Limit) Current() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.perSecond
}
