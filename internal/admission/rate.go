package admission

import (
	"math"
	"time"
)

// Unlimited is the rate of an upstream that states no rate limit.
var Unlimited = math.Inf(1)

const (
	// rateBurst is the time for which an unused rate accumulates, so that attempts which
	// arrive close together need not wait for each other.
	rateBurst = 100 * time.Millisecond
	// minRate is the rate, in requests per second, at which requests are sent under any
	// limit: only an answer can tell that the upstream accepts more again.
	minRate = 0.5
)

// rateLimiter is a token bucket that bounds the requests sent to an upstream in any span of
// time. Guarded by the mutex of the owning Gate.
type rateLimiter struct {
	// perSecond is the rate; Unlimited: there is no bound.
	perSecond float64
	tokens    float64
	updatedAt time.Time
}

// limited reports whether there is a bound.
func (l *rateLimiter) limited() bool { return l.perSecond != Unlimited }

// set changes the rate. A bucket starts empty: how many requests were sent just before is
// not known.
func (l *rateLimiter) set(now time.Time, perSecond float64) {
	l.refill(now)
	if !l.limited() {
		l.tokens = 0
	}
	l.perSecond, l.updatedAt = max(perSecond, minRate), now
	l.tokens = min(l.tokens, l.capacity())
}

// capacity is the most tokens that the bucket holds.
func (l *rateLimiter) capacity() float64 { return max(1, l.perSecond*rateBurst.Seconds()) }

func (l *rateLimiter) refill(now time.Time) {
	if l.limited() {
		l.tokens = min(l.tokens+l.perSecond*max(0, now.Sub(l.updatedAt)).Seconds(), l.capacity())
	}
	l.updatedAt = now
}

// take takes a token. False: there is none now.
func (l *rateLimiter) take(now time.Time) bool {
	if !l.limited() {
		return true
	}
	if l.wait(now, 1) > 0 {
		return false
	}
	l.tokens--
	return true
}

// giveBack returns a token that was taken for a request which was not sent.
func (l *rateLimiter) giveBack() {
	if l.limited() {
		l.tokens = min(l.tokens+1, l.capacity())
	}
}

// wait returns the time until n tokens will have become available.
func (l *rateLimiter) wait(now time.Time, n int) time.Duration {
	if !l.limited() {
		return 0
	}
	l.refill(now)
	missing := float64(n) - l.tokens
	if missing <= tokenRounding {
		return 0
	}
	return time.Duration(math.Ceil(missing / l.perSecond * float64(time.Second)))
}

// tokenRounding is the part of a token that may be missing through rounding errors.
const tokenRounding = 1e-6
