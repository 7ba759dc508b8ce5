package runs

import (
	"math"
	"time"
)

const (
	// windowLength is the interval at which the admitted rate is adapted.
	windowLength = 500 * time.Millisecond
	// retained is the weight that the counts of a window keep in the next one. Together they
	// cover about two seconds: at an upstream with few runs a second, one window has too few.
	retained = 0.7
	// starvedThreshold is the starved fraction of the runs that is tolerated. Up to a
	// twentieth, a retry within the retry budget serves the caller.
	starvedThreshold = 0.05
	// toleratedStarved is how many starved runs are tolerated beyond that fraction: at an
	// upstream with few runs a second, two may be a coincidence.
	toleratedStarved = 2
	// increasePerSecond is the increase of the admitted rate per second, as a fraction of the
	// arrival rate.
	increasePerSecond = 0.1
	// minPart is the fraction of the arrivals that is always admitted, to notice when nested
	// calls are served again.
	minPart = 0.05
	// fullPart is the admitted fraction from which on all runs are admitted: the rest is no
	// more than the starved fraction that is tolerated.
	fullPart = 1 - starvedThreshold
	// partTolerance absorbs rounding errors in comparisons of rates.
	partTolerance = 1e-9
	// trackingTime is how long a route that is not limited is tracked after its last starved
	// run.
	trackingTime = 5 * time.Second
)

// counts are numbers of runs that ended.
type counts struct{ starved, ended float64 }

// fraction returns the starved fraction.
func (c counts) fraction() float64 {
	if c.ended == 0 {
		return 0
	}
	return c.starved / c.ended
}

// route is the state of one route. It limits the rate of new runs rather than the admitted
// fraction of the arrivals: how many nested calls can be served does not depend on how many
// runs arrive. When a peak of arrivals ends, the limit thus stops refusing runs at once.
type route struct {
	// rate is how many new runs per second are admitted, infinite if all of them.
	rate     float64
	arrivals arrivals
	// window counts the runs that ended in the current window, recent those of the
	// windows before it with decaying weight.
	window, recent counts
	// stale is the number of runs that ended in the current window and are not counted,
	// because they began before decreasedAt.
	stale     int
	windowEnd time.Time
	// decreasedAt is when the rate was last decreased. Runs that began earlier do not show
	// the effect of that.
	decreasedAt time.Time
	// starvedAt is the end of the last window with a starved run.
	starvedAt time.Time
}

// limited reports whether the rate of new runs is limited.
func (r *route) limited() bool { return !math.IsInf(r.rate, 1) }

// part returns the fraction of the arrivals that is admitted.
func (r *route) part() float64 {
	if !r.limited() {
		return 1
	}
	perSecond := r.arrivals.perSecond()
	if perSecond == 0 {
		return 1
	}
	return min(max(r.rate/perSecond, minPart), 1)
}

// idle reports whether the route need not be tracked.
func (r *route) idle() bool { return !r.limited() && r.windowEnd.Sub(r.starvedAt) > trackingTime }

// ended counts a run.
func (r *route) ended(began time.Time, starved bool) {
	if began.Before(r.decreasedAt) {
		r.stale++
		return
	}
	r.window.ended++
	if starved {
		r.window.starved++
		r.starvedAt = r.windowEnd
	}
}

// closeWindow adapts the rate at the end of a window and begins the next one. It returns the
// counts on which the decision is based.
func (r *route) closeWindow() counts {
	r.arrivals.closeWindow()
	evidence := counts{
		starved: retained*r.recent.starved + r.window.starved,
		ended:   retained*r.recent.ended + r.window.ended,
	}
	last, stale := r.window, r.stale
	r.recent, r.window, r.stale = evidence, counts{}, 0
	switch {
	case evidence.starved > toleratedStarved+starvedThreshold*evidence.ended:
		r.decrease(evidence.fraction())
	case last.fraction() > starvedThreshold || last.ended == 0 && stale > 0:
		// Too few runs starved to decrease the rate, or none shows the effect of the last
		// decrease yet.
	default:
		r.increase()
	}
	r.windowEnd = r.windowEnd.Add(windowLength)
	return evidence
}

// decrease reduces the rate by the starved fraction of the runs. Without any measured arrival
// it only discards the counts: a rate derived from no arrivals would refuse the next ones.
func (r *route) decrease(starved float64) {
	r.recent = counts{}
	perSecond := r.arrivals.perSecond()
	if perSecond == 0 {
		return
	}
	before := min(r.rate, perSecond)
	r.rate = max(before*(1-starved), minPart*perSecond)
	if r.rate < before {
		r.decreasedAt = r.windowEnd
	}
}

// increase raises the rate, and ends the limit if it admits nearly all arrivals.
func (r *route) increase() {
	if !r.limited() {
		return
	}
	perSecond := r.arrivals.perSecond()
	r.rate = max(r.rate, minPart*perSecond) + increasePerSecond*windowLength.Seconds()*perSecond
	if r.rate >= fullPart*perSecond-partTolerance {
		r.rate = math.Inf(1)
	}
}
