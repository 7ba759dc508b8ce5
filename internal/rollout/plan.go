package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// tasteUntil, loadUntil and moveFrom divide the time of a roll-out. Until the first
	// the new version gets a thin part of the calls, until the second as much as shows
	// how it bears load; until the third what was seen of that is judged everywhere, and
	// then all calls move.
	tasteUntil = 0.4
	loadUntil  = 0.55
	moveFrom   = 0.72
	// tasteShare, loadShare and pauseShare are the parts of the calls in these times, as
	// multiples of the exposure allowed. Over the whole time they stay below it: the rest
	// covers repeats and daemons that hear of a phase late.
	tasteShare = 0.5
	loadShare  = 3.0
	pauseShare = 0.25
	// settlePart bounds how long calls may take to move, as a part of the time.
	settlePart = 0.2
	// warmPart is the part of the time in which new upstreams may be cold: slow answers
	// are no evidence before.
	warmPart = 0.3
	// longestWarm bounds that.
	longestWarm = 4 * time.Second
	// Canaries and leastCanaries bound how many upstreams of a new version are tried:
	// enough that those which are faulty by themselves do not look like the version.
	Canaries      = 5
	leastCanaries = 3
)

// Plan is what follows from an order and its deployment.
type Plan struct {
	Duration time.Duration
	// Exposure is the part of the calls, from the order to its deadline, that a bad
	// version may get.
	Exposure float64
	// Settle is how long it takes until every daemon has heard of a change and has
	// ended what it ran before.
	Settle time.Duration
}

// Share returns the part of the calls that the new version may get so long after the
// order, while so many of its upstreams are tried and there are so many others. Until all
// calls move it gets less than Exposure of those up to the deadline, if they go on as
// before, and none of its upstreams gets more than one of the others.
func (p Plan) Share(elapsed time.Duration, tried, others int) float64 {
	part := pauseShare
	switch at := float64(elapsed) / float64(p.Duration); {
	case at < tasteUntil:
		part = tasteShare
	case at < loadUntil:
		part = loadShare
	}
	return min(part*p.Exposure, float64(tried)/float64(max(1, tried+others)))
}

// Warm reports whether slow answers are evidence so long after the order.
func (p Plan) Warm(elapsed time.Duration) bool {
	return elapsed >= min(time.Duration(warmPart*float64(p.Duration)), longestWarm)
}

// MoveAt is how long after the order all calls move.
func (p Plan) MoveAt() time.Duration { return time.Duration(moveFrom * float64(p.Duration)) }

// CompleteAfter is how long calls are given to move.
func (p Plan) CompleteAfter() time.Duration {
	return min(p.Settle, time.Duration(settlePart*float64(p.Duration)))
}

// Choose returns the IDs of the upstreams that are tried, of those of the new version: the
// same ones on every daemon that knows the same upstreams.
func (p Plan) Choose(target []string, others int) []string {
	list := slices.Clone(target)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return list[:min(max(leastCanaries, p.AtOnce(Canaries, others)), len(list))]
}

// AtOnce returns how many of the upstreams chosen are tried at a time: as few as take the
// largest share with the load of one of the others, so that it shows how they bear it.
func (p Plan) AtOnce(chosen, others int) int {
	return min(chosen, max(1, int(math.Ceil(loadShare*p.Exposure*float64(others)))))
}

// Turn returns the first of the upstreams chosen that are tried so long after the order.
// Where a few of them take the whole share, they take turns.
func (p Plan) Turn(elapsed time.Duration, chosen int) int {
	turn := float64(chosen) * float64(elapsed) / ((loadUntil - tasteUntil) * float64(p.Duration))
	return int(turn) % max(1, chosen)
}
