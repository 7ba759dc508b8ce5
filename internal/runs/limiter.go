// Package runs decides how many new runs of a route start at an upstream while the nested
// calls of its runs are refused elsewhere: a run whose nested call is refused is wasted,
// and with it the nested calls that were answered. It does no I/O; the clock is passed in.
package runs

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// maxRoutes bounds the routes that a Limiter tracks. Runs of further routes are not limited.
const maxRoutes = 64

// Change describes a route whose runs are limited from now on, or no longer.
type Change struct {
	Route string
	// Part is the fraction of the new runs that is admitted.
	Part float64
	// Starved and Ended are the numbers of runs on which the decision is based: those whose
	// nested call was refused, and all that ended.
	Starved, Ended float64
}

// Limiter limits the new runs of each route at one upstream. A route is tracked from its
// first starved run, which is one whose nested call was refused, until it has had none for
// a while. It is safe for concurrent use.
type Limiter struct {
	now      func() time.Time
	onChange func(Change)
	// tracked is the number of routes.
	tracked atomic.Int32

	mu     sync.Mutex
	routes map[string]*route
}

// New returns a Limiter that admits everything. It calls onChange when the admitted fraction
// of a route drops below 1 and when it returns to 1; onChange must not block or call the
// Limiter. It may be nil.
func New(now func() time.Time, onChange func(Change)) *Limiter {
	if onChange == nil {
		onChange = func(Change) {}
	}
	return &Limiter{now: now, onChange: onChange, routes: map[string]*route{}}
}

// Active reports whether any route is tracked. If not, Admit admits every run, and Ended
// needs to be called for starved runs only.
func (l *Limiter) Active() bool { return l.tracked.Load() > 0 }

// Admit reports whether a new run may start. More urgent runs are admitted first, then those
// with the lower fraction, which must be the same for all copies of one caller's request.
// If the run is refused, retryAfter is when it will be admitted if no more runs starve.
func (l *Limiter) Admit(name string, urgency config.Urgency, fraction float64) (retryAfter time.Duration, ok bool) {
	if !l.Active() {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.current(name)
	if r == nil {
		return 0, true
	}
	r.arrivals.add(urgency)
	excess := r.arrivals.position(urgency, fraction) - r.part()
	if !r.limited() || excess < 0 {
		return 0, true
	}
	after := time.Duration(excess / increasePerSecond * float64(time.Second))
	return min(max(after, outcome.MinRetryAfter), outcome.MaxRetryAfter), false
}

// Ended records that a run which began at the given time has ended, and whether it starved.
func (l *Limiter) Ended(name string, began time.Time, starved bool) {
	if !starved && !l.Active() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.current(name)
	if r == nil && starved {
		r = l.track(name)
	}
	if r != nil {
		r.ended(began, starved)
	}
}

// Lowest returns the lowest admitted fraction of all routes.
func (l *Limiter) Lowest() float64 {
	if !l.Active() {
		return 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	lowest := 1.0
	for name := range l.routes {
		if r := l.current(name); r != nil {
			lowest = min(lowest, r.part())
		}
	}
	return lowest
}

// track returns a new entry for a route, or nil if there are too many.
func (l *Limiter) track(name string) *route {
	if len(l.routes) >= maxRoutes {
		l.dropIdle()
	}
	if len(l.routes) >= maxRoutes {
		return nil
	}
	now := l.now()
	r := &route{windowEnd: now.Add(windowLength), starvedAt: now, rate: math.Inf(1)}
	l.routes[name] = r
	l.tracked.Store(int32(len(l.routes)))
	return r
}

// dropIdle drops the routes that are no longer limited and have had no starved run for
// trackingTime.
func (l *Limiter) dropIdle() {
	for name := range l.routes {
		l.current(name)
	}
}

// current returns the entry of a route as of now, or nil if the route is not tracked. It
// closes the windows that have ended, and drops the route if it is then idle.
func (l *Limiter) current(name string) *route {
	r := l.routes[name]
	if r == nil {
		return nil
	}
	now := l.now()
	for !now.Before(r.windowEnd) {
		l.closeWindow(name, r)
		if r.idle() {
			delete(l.routes, name)
			l.tracked.Store(int32(len(l.routes)))
			return nil
		}
	}
	return r
}

// closeWindow ends a window and reports whether the route became limited or unlimited.
func (l *Limiter) closeWindow(name string, r *route) {
	wasLimited := r.limited()
	evidence := r.closeWindow()
	if r.limited() != wasLimited {
		l.onChange(Change{Route: name, Part: r.part(), Starved: evidence.starved, Ended: evidence.ended})
	}
}
