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
func (t *servedAverage) decay(now time.Time) {
	if elapsed := now.Sub(t.updatedAt); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(servedDecayTime))
		t.offered *= factor
		t.served *= factor
	}
	t.updatedAt = now
}

// record counts a call that was served or refused.
func (t *servedAverage) record(now time.Time, served bool) {
	t.decay(now)
	t.offered++
	if served {
		t.served++
	}
}

// fraction returns the recently served fraction of the calls.
func (t *servedAverage) fraction(now time.Time) float64 {
	t.decay(now)
	served := min(t.offered, t.served+toleratedRefusals)
	return (served + priorServed) / (t.offered + priorServed)
}
