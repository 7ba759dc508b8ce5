package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/admission"
)

// TestStatedLimitChanges: a lower limit counts at once. A higher one, or none, counts only in
// the response to a request that was sent after the current limit was stated: the upstream
// may have written an earlier response before it lowered its limit.
func TestStatedLimitChanges(t *testing.T) {
	is := is.New(t)
	applied := admission.Unlimited
	l := New(func(perSecond float64) { applied = perSecond })
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	observe := func(now, sentAt int, perSecond float64) bool {
		_, changed := l.Observe(at(now), at(sentAt), perSecond)
		return changed
	}
	is.True(!observe(50, 0, admission.Unlimited)) // no limit yet
	is.True(observe(100, 0, 60))
	is.True(!observe(110, 50, admission.Unlimited)) // sent before the limit was known
	is.True(!observe(120, 99, 80))
	is.True(observe(130, 90, 40)) // lower
	is.Equal(l.Current(), 40.0)
	is.True(observe(200, 140, 80))
	is.True(observe(300, 250, admission.Unlimited))
	is.Equal(l.Current(), admission.Unlimited)
	is.Equal(applied, admission.Unlimited)
}

// TestLimitIsRecalledUntilTheUpstreamAnswers: a daemon that has just started takes the lowest
// limit that other daemons know of, until the upstream responds itself.
func TestLimitIsRecalledUntilTheUpstreamAnswers(t *testing.T) {
	is := is.New(t)
	l := New(func(float64) {})
	at := time.Unix(1000, 0)
	is.True(l.Recall(at, 60))
	is.True(!l.Recall(at, 80))
	is.True(l.Recall(at, 40))
	_, changed := l.Observe(at.Add(2), at.Add(1), 90)
	is.True(changed)
	is.True(!l.Recall(at.Add(3), 10))
	is.Equal(l.Current(), 90.0)
}

// TestResetForgetsTheLimit guards against an upstream that is held to the limit of an earlier
// incarnation, or that is taken to have answered because that one had.
func TestResetForgetsTheLimit(t *testing.T) {
	is := is.New(t)
	applied := admission.Unlimited
	l := New(func(perSecond float64) { applied = perSecond })
	at := time.Unix(1000, 0)
	l.Observe(at, at, 30)
	is.Equal(applied, 30.0)
	l.Reset()
	is.Equal(applied, admission.Unlimited)
	is.True(l.Recall(at, 20))
	is.Equal(applied, 20.0)
}
