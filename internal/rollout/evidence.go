package rollout

import (
	"sync"
	"time"
)

// Evidence counts the results of a service's calls that one daemon sees during a rollout. It
// is safe for concurrent use.
type Evidence struct {
	mu    sync.Mutex
	tally Tally
	// controlsDue is the number of calls to other versions that are still to be counted.
	controlsDue map[controlKey]int
	// typicalLatency is the moving average of how long other versions take to answer, by
	// the hash of the route.
	typicalLatency map[uint32]time.Duration
}

// controlKey identifies the calls to the new version that calls to other versions are
// compared with.
type controlKey struct {
	route uint32
	moved bool
}

// NewEvidence returns an Evidence without any calls.
func NewEvidence() *Evidence {
	return &Evidence{tally: Tally{}, controlsDue: map[controlKey]int{}, typicalLatency: map[uint32]time.Duration{}}
}

const (
	// slowFactor is the multiple of the typical latency above which an answer is slow:
	// more than a busy upstream takes, less than one that is several times slower.
	slowFactor = 2.5
	// slowMargin is the least time by which a slow answer exceeds the typical latency: an
	// upstream that gets few calls needs a new connection for many of them.
	slowMargin = 2 * time.Millisecond
	// latencyWeight is the weight of the newest answer in the average.
	latencyWeight = 0.05
	// maxCells bounds the cells of the tally and the routes with a typical latency.
	// Further cells are not counted.
	maxCells = 4096
)

// Call describes a call that an upstream has run.
type Call struct {
	Route string
	// Upstream is the upstream's ID if it is a canary, else "".
	Upstream string
	// Target is set if the upstream is of the new version.
	Target bool
	// Moved is set if all calls are moving to the new version.
	Moved  bool
	Failed bool
	// Took is how long the upstream took, as measured by its owner, since daemons call
	// upstreams on their own VM and on others. Zero if unknown.
	Took time.Duration
}

// Note counts the call if it went to the new version. For each such call, it also counts the
// next ControlsPerCall calls of the same route to other versions.
func (e *Evidence) Note(call Call) {
	cell := Cell{Route: Hash(call.Route), Target: call.Target, Moved: call.Moved}
	if call.Upstream != "" {
		cell.Upstream = Hash(call.Upstream)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.count(cell, call)
	key := controlKey{cell.Route, cell.Moved}
	switch {
	case call.Target:
		e.controlsDue[key] += ControlsPerCall
	case e.controlsDue[key] > 0:
		e.controlsDue[key]--
	default:
		return
	}
	if _, known := e.tally[cell]; known || len(e.tally) < maxCells {
		e.tally[cell] = e.tally[cell].add(n)
	}
}

// count returns the counts of one call, and updates the typical latency.
func (e *Evidence) count(cell Cell, call Call) Count {
	if call.Failed {
		return Count{N: 1, Failed: 1}
	}
	typical := e.typicalLatency[cell.Route]
	if !call.Target && call.Took > 0 {
		if typical == 0 {
			typical = call.Took
		}
		typical += time.Duration(latencyWeight * float64(call.Took-typical))
		if _, known := e.typicalLatency[cell.Route]; known || len(e.typicalLatency) < maxCells {
			e.typicalLatency[cell.Route] = typical
		}
	}
	if typical == 0 || call.Took == 0 {
		return Count{N: 1}
	}
	n := Count{N: 1, Timed: 1}
	if call.Took > typical+slowMargin && float64(call.Took) > slowFactor*float64(typical) {
		n.Slow = 1
	}
	return n
}

// Rows returns the counts so far.
func (e *Evidence) Rows() []Row {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tally.Rows()
}
