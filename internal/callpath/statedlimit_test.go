package callpath

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
	l := newStatedLimit()
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	observe := func(now, sentAt int, perSecond float64) bool {
		_, changed := l.observe(at(now), at(sentAt), perSecond)
		return changed
	}
	is.True(!observe(50, 0, admission.Unlimited)) // no limit yet
	is.True(observe(100, 0, 60))
	is.True(!observe(110, 50, admission.Unlimited)) // sent before the limit was known
	is.True(!observe(120, 99, 80))
	is.True(observe(130, 90, 40)) // lower
	is.Equal(l.current(), 40.0)
	is.True(observe(200, 140, 80))
	is.True(observe(300, 250, admission.Unlimited))
	is.Equal(l.current(), admission.Unlimited)
}
