package quota

import "time"

// tokenBucket counts calls against a rate and a burst that a limit allows in each window.
//
// It admits as many calls as a plain token bucket and more where the window permits: calls
// that are older than the window no longer count. In each window it admits at most its
// capacity and what it is refilled with, however the calls arrive.
type tokenBucket struct {
	// window is zero if the burst is allowed only once.
	window   time.Duration
	capacity float64
	// balance is the number of calls admitted less the refill, since the last reset.
	balance float64
	// lows holds the lowest balance of each slot of the window, oldest first. They ascend:
	// an entry that is not lower than a later one has no effect.
	lows []low
	// level is the number of tokens. It rises by no more than the rate and the burst spread
	// over the window: a workspace that always sends more than its limit would otherwise
	// get the whole burst at once in each window.
	level     float64
	updatedAt time.Duration
}

// low is the lowest balance of a slot, which is identified by its start.
type low struct {
	slot    time.Duration
	balance float64
}

// windowSlots is the number of slots of a window. A call counts for up to a slot longer
// than the window.
const windowSlots = 50

// newTokenBucket returns a bucket with the given tokens.
func newTokenBucket(now, window time.Duration, capacity, tokens float64) tokenBucket {
	b := tokenBucket{window: window, capacity: capacity}
	b.reset(now, tokens)
	return b
}

// reset sets the number of tokens.
func (b *tokenBucket) reset(now time.Duration, tokens float64) {
	b.balance = b.capacity - tokens
	b.level = tokens
	b.updatedAt = now
	b.lows = append(b.lows[:0], low{b.slot(now), 0})
}

// setCapacity changes the capacity. Tokens beyond it are lost; a higher one adds none.
func (b *tokenBucket) setCapacity(now time.Duration, capacity float64) {
	tokens := min(b.tokens(), capacity)
	b.capacity = capacity
	b.reset(now, tokens)
}

// tokens is the number of calls that the bucket can admit. It is negative if more calls
// were counted than it could admit.
func (b *tokenBucket) tokens() float64 { return b.level }

// full reports whether the bucket has all its tokens and no call of the window counts.
func (b *tokenBucket) full() bool { return b.tokens() >= b.capacity }

// refill adds the tokens for the time since the last call, at a rate per second.
func (b *tokenBucket) refill(now time.Duration, rate float64) {
	seconds := (now - b.updatedAt).Seconds()
	if seconds <= 0 {
		return
	}
	b.balance -= rate * seconds
	if b.window > 0 {
		rate += b.capacity / b.window.Seconds()
	}
	b.updatedAt = now
	b.recordLow()
	b.raise(rate * seconds)
}

// spend counts admitted calls; a negative number counts calls given back.
func (b *tokenBucket) spend(calls float64) {
	b.balance += calls
	if calls < 0 {
		b.recordLow()
	}
	b.raise(-calls)
}

// raise adds tokens, up to what the calls of the window leave of the capacity. A negative
// number takes tokens.
func (b *tokenBucket) raise(tokens float64) {
	b.level = min(b.level+tokens, b.capacity-(b.balance-b.lows[0].balance))
}

// slot returns the start of the slot of the window that contains a time.
func (b *tokenBucket) slot(now time.Duration) time.Duration {
	if b.window == 0 {
		return 0
	}
	return now.Truncate(b.window / windowSlots)
}

// recordLow updates the lowest balances and drops those that are older than the window.
func (b *tokenBucket) recordLow() {
	for n := len(b.lows); n > 0 && b.lows[n-1].balance >= b.balance; n = len(b.lows) {
		b.lows = b.lows[:n-1]
	}
	slot := b.slot(b.updatedAt)
	if n := len(b.lows); n == 0 || b.lows[n-1].slot < slot {
		b.lows = append(b.lows, low{slot, b.balance})
	}
	if b.window == 0 {
		return
	}
	for b.lows[0].slot+b.window/windowSlots+b.window < b.updatedAt {
		b.lows = b.lows[1:]
	}
}
