package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLoweredLimitLowersLeases guards against a lowered limit that is exceeded for as long as
// leases of the limit before it last: the domain that received them would use them in full,
// while the one that granted them can give up no more than its own part of the new limit.
func TestLoweredLimitLowersLeases(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 300, Burst: 30}
	requesting, granting := NewCoordinator(fleetTolerance), NewCoordinator(fleetTolerance)
	both := []*Coordinator{requesting, granting}
	setLimit := func() {
		for _, c := range both {
			c.Set(map[string]Limit{"ws": limit}, len(both))
		}
	}
	rates := func(now time.Duration) float64 {
		sum := 0.0
		for _, c := range both {
			sum += c.rate("ws", c.bucket(now, "ws"), now)
		}
		return sum
	}
	setLimit()
	now := time.Second
	for ; now < 4*time.Second; now += 500 * time.Millisecond {
		granting.HandleReport(now, Report{})
		requesting.HandleReport(now, Report{Used: map[string]int{"ws": 140}})
	}
	leased := granting.GrantLeases(now, LeaseRequest{Domain: "a", Needs: requesting.Needs(now)})
	is.True(leased["ws"] > 100)
	requesting.AddLeases(now, now, "b", leased)
	is.True(rates(now) <= 300*(1+1e-9))
	limit.Rate = 30
	setLimit()
	is.True(rates(now) <= 30*(1+1e-9))
}
