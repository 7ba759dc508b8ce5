package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRefundIsCountedOnce guards against a workspace that gets more calls than its limit: calls that were
// granted and did not run were given back twice, as the report that holds them got no reply.
func TestRefundIsCountedOnce(t *testing.T) {
	is := is.New(t)
	const notRun = 4
	c, l, now := NewCoordinator(fleetTolerance), NewLocalLimiter(), time.Minute
	c.Set(map[string]Limit{"w": {Rate: 100, Burst: 20}}, 1)
	for range 100 {
		c.HandleReport(now, Report{})
		now += 100 * time.Millisecond
	}
	const many = 10_000
	granted := c.HandleReport(now, Report{Wanted: map[string]int{"w": many}}).Granted["w"]
	is.True(granted > notRun)
	for range notRun {
		l.GiveBack("w")
	}
	unanswered := l.Report()
	c.HandleReport(now, unanswered)
	l.Restore(unanswered)
	again := l.Report()
	again.Wanted = map[string]int{"w": many}
	is.Equal(c.HandleReport(now, again).Granted["w"], notRun)
}
