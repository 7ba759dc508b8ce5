package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// initialUntil, loadUntil and moveFrom divide a rollout into steps, as fractions of
	// its duration. Until initialUntil the new version gets a small share of the calls, and
	// until loadUntil a share that shows how it performs under load. Until moveFrom its
	// share is reduced while the results are gathered and judged; then all calls move.
	initialUntil = 0.4
	loadUntil    = 0.55
	moveFrom     = 0.72
	// initialShare, loadShare and pauseShare are the shares of the calls in the first
	// three steps, as multiples of the allowed exposure. Over the whole duration their
	// average stays below it: the rest covers retries and daemons that learn of a phase
	// late.
	initialShare = 0.5
	loadShare    = 3.0
	pauseShare   = 0.25
	// settleFraction bounds how long calls may take to move, as a fraction of the
	// duration.
	settleFraction = 0.2
	// warmUpFraction is the fraction of the duration in which new upstreams may still be
	// cold. Slow answers do not count as evidence until it is over.
	warmUpFraction = 0.3
	// maxWarmUp bounds the time given by warmUpFraction.
	maxWarmUp = 4 * time.Second
	// Canaries and minCanaries bound the number of canaries, the upstreams on which a new
	// version is tried. There are enough of them that single faulty upstreams do not make
	// the version look bad.
	Canaries    = 5
	minCanaries = 3
)

// Plan is the schedule of a rollout, which follows from its order and the deployment's
// settings.
type Plan struct {
	Duration time.Duration
	// Exposure is the fraction of the calls between the order and its deadline that a bad
	// version may get.
	Exposure float64
	// Settle is how long it takes until every daemon has received a change and has
	// finished the calls that it was running before.
	Settle time.Duration
}

// Share returns the share of the calls that the new version gets at the given time after the
// order, with that many active canaries and that many upstreams of other versions. Until all
// calls move, the version gets less than Exposure of all calls up to the deadline, provided
// that the rate of calls stays the same, and no canary gets more calls than an upstream of
// another version.
func (p Plan) Share(elapsed time.Duration, active, others int) float64 {
	multiple := pauseShare
	switch progress := float64(elapsed) / float64(p.Duration); {
	case progress < initialUntil:
		multiple = initialShare
	case progress < loadUntil:
		multiple = loadShare
	}
	return min(multiple*p.Exposure, float64(active)/float64(max(1, active+others)))
}

// WarmedUp reports whether the warm-up is over at the given time after the order, so that
// slow answers count as evidence.
func (p Plan) WarmedUp(elapsed time.Duration) bool {
	return elapsed >= min(time.Duration(warmUpFraction*float64(p.Duration)), maxWarmUp)
}

// MoveAfter returns the time after the order at which all calls move to the new version.
func (p Plan) MoveAfter() time.Duration { return time.Duration(moveFrom * float64(p.Duration)) }

// MoveTimeout returns how long the calls may take to move.
func (p Plan) MoveTimeout() time.Duration {
	return min(p.Settle, time.Duration(settleFraction*float64(p.Duration)))
}

// ChooseCanaries returns the IDs of the canaries among the new version's upstreams. Daemons
// that know the same upstreams choose the same canaries.
func (p Plan) ChooseCanaries(ids []string, others int) []string {
	list := slices.Clone(ids)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return list[:min(max(minCanaries, p.ActiveCanaries(Canaries, others)), len(list))]
}

// ActiveCanaries returns the number of canaries that get calls at the same time: as few as
// can take the largest share at the load of an upstream of another version, so that they are
// tested under that load.
func (p Plan) ActiveCanaries(canaries, others int) int {
	return min(canaries, max(1, int(math.Ceil(loadShare*p.Exposure*float64(others)))))
}

// FirstActive returns the index of the first active canary at the given time after the
// order. If not all canaries are active at the same time, they take turns.
func (p Plan) FirstActive(elapsed time.Duration, canaries int) int {
	step := float64(canaries) * float64(elapsed) / ((loadUntil - initialUntil) * float64(p.Duration))
	return int(step) % max(1, canaries)
}
