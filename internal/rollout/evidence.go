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
	// usual is how long answers of other versions take, by route.
	usual map[uint32]time.Duration
}

// controlKey is what calls to the other versions are counted for.
type controlKey struct {
	route uint32
	moved bool
}

// NewEvidence returns evidence without calls.
func NewEvidence() *Evidence {
	return &Evidence{tally: Tally{}, controls: map[controlKey]int{}, usual: map[uint32]time.Duration{}}
}

const (
	// slowTimes is from how many times the usual on an answer is slow: more than a busy
	// upstream takes, less than one that is several times slower.
	slowTimes = 2.5
	// slowBy is by how much it is longer at least: an upstream that gets few calls opens
	// a connection for many of them.
	slowBy = 2 * time.Millisecond
	// usualWeight is the weight of the newest answer in what is usual.
	usualWeight = 0.05
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
	// Took is how long the upstream took, as its owner has measured it: daemons call
	// upstreams on their own VM and on others. Zero: not told.
	Took time.Duration
}

// Note counts a call: each to the new version, and of the others the next few of the
// same route.
func (e *Evidence) Note(s Seen) {
	cell := Cell{Route: Hash(s.Route), Target: s.Target, Moved: s.Moved}
	if s.Upstream != "" {
		cell.Upstream = Hash(s.Upstream)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.count(cell, s)
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

// count returns what a call counts as, and learns from it what is usual.
func (e *Evidence) count(cell Cell, s Seen) Count {
	if s.Failed {
		return Count{N: 1, Failed: 1}
	}
	usual := e.usual[cell.Route]
	if !s.Target && s.Took > 0 {
		if usual == 0 {
			usual = s.Took
		}
		usual += time.Duration(usualWeight * float64(s.Took-usual))
		if _, known := e.usual[cell.Route]; known || len(e.usual) < cellsMost {
			e.usual[cell.Route] = usual
		}
	}
	if usual == 0 || s.Took == 0 {
		return Count{N: 1}
	}
	n := Count{N: 1, Timed: 1}
	if s.Took > usual+slowBy && float64(s.Took) > slowTimes*float64(usual) {
		n.Slow = 1
	}
	return n
}

// Rows returns what was seen so far.
func (e *Evidence) Rows() []Row {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tally.Rows()
}
