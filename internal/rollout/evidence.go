package rollout

import (
	"sync"
	"time"
)

// Evidence counts what one daemon sees of a service's calls during a roll-out. Safe for
// concurrent use.
type Evidence struct {
	mu       sync.Mutex
	tally    Tally
	controls map[controlKey]int
}

// controlKey is what calls to the other versions are counted for.
type controlKey struct {
	route uint32
	moved bool
}

// NewEvidence returns evidence without calls.
func NewEvidence() *Evidence {
	return &Evidence{tally: Tally{}, controls: map[controlKey]int{}}
}

const (
	// slowTimes is from how many times the usual on an answer is slow: more than a busy
	// upstream takes, less than one that is several times slower.
	slowTimes = 2.5
	// cellsMost bounds the cells kept: what is beyond is not counted.
	cellsMost = 4096
)

// Seen is a call that an upstream has run.
type Seen struct {
	Route string
	// Upstream is its ID if it is tried.
	Upstream string
	Target   bool
	// Moved says that calls move to the new version.
	Moved  bool
	Failed bool
	// Took is how long the answer took, Usual how long it takes as a rule; zero: it
	// tells nothing.
	Took, Usual time.Duration
}

// Note counts a call: each to the new version, and of the others the next few of the
// same route.
func (e *Evidence) Note(s Seen) {
	cell := Cell{Route: Hash(s.Route), Target: s.Target, Moved: s.Moved}
	if s.Upstream != "" {
		cell.Upstream = Hash(s.Upstream)
	}
	n := Count{N: 1}
	switch {
	case s.Failed:
		n.Failed = 1
	case s.Took > 0 && s.Usual > 0:
		n.Timed = 1
		if float64(s.Took) > slowTimes*float64(s.Usual) {
			n.Slow = 1
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	key := controlKey{cell.Route, cell.Moved}
	switch {
	case s.Target:
		e.controls[key] += Controls
	case e.controls[key] > 0:
		e.controls[key]--
	default:
		return
	}
	if _, known := e.tally[cell]; known || len(e.tally) < cellsMost {
		e.tally[cell] = e.tally[cell].plus(n)
	}
}

// Rows returns what was seen so far.
func (e *Evidence) Rows() []Row {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tally.Rows()
}
