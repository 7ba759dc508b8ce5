package admission

import (
	"math"
	"time"
)

const (
	// servedDecayTime is the time constant with which counted calls decay: long enough
	// for dozens of calls at an upstream of ten slots, and short enough to follow a
	// burst.
	servedDecayTime = time.Second
	// priorServed is the number of served calls assumed before any were counted.
	priorServed = 5
	// toleratedRefusals is how many refusals within servedDecayTime do not count as a
	// shortage: they come from a burst at an upstream with little load.
	toleratedRefusals = 1
)

// servedAverage counts offered and served calls, both decaying over time. Guarded by the
// mutex of the owning Gate.
type servedAverage struct {
	offered, served float64
	updatedAt       time.Time
}

// decay reduces the counts by the time since the last update.
func (a *servedAverage) decay(now time.Time) {
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(servedDecayTime))
		a.offered *= factor
		a.served *= factor
	}
	a.updatedAt = now
}

// record counts a call that was served or refused.
func (a *servedAverage) record(now time.Time, served bool) {
	a.decay(now)
	a.offered++
	if served {
		a.served++
	}
}

// fraction returns the recently served fraction of the calls.
func (a *servedAverage) fraction(now time.Time) float64 {
	a.decay(now)
	served := min(a.offered, a.served+toleratedRefusals)
	return (served + priorServed) / (a.offered + priorServed)
}
