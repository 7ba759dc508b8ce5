package admission

import (
	"math"
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

// Load returns the upstream's load, as reported to the daemons that send calls to it.
func (g *Gate) Load() outcome.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return outcome.Load{
		InFlight: g.inFlight,
		Queued:   len(g.queue),
		Slots:    g.usableSlots(),
		Service:  g.serviceTime(),
		Pace:     g.pace.current(g.now()),
	}
}

// usableSlots returns how many slots can be busy on average: no more than the rate limit
// keeps busy.
func (g *Gate) usableSlots() int {
	if !g.rate.limited() {
		return g.limit()
	}
	return min(g.limit(), max(1, int(math.Round(g.rate.perSecond*g.serviceTime().Seconds()))))
}

// RecordRunning records how many attempts the upstream reports that it is running. It is
// called for an answer whose attempt still counts as in flight.
func (g *Gate) RecordRunning(running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost.record(g.now(), g.inFlight-1-running)
	g.admitWaiting()
}

// recordAdmitted counts an attempt that got a slot.
func (g *Gate) recordAdmitted(a Request) {
	g.recordDirect(a, true)
	if g.nestedFirst {
		g.recordNested(a)
	}
}

// recordDirect counts a decision on a direct call. Nested calls do not count, since whether
// they are served follows from their rank.
func (g *Gate) recordDirect(a Request, admitted bool) {
	if !a.Nested {
		g.direct.record(g.now(), admitted)
	}
}

// ServedFraction returns the recently served fraction of the direct calls.
func (g *Gate) ServedFraction() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.direct.fraction(g.now())
}

// LoadAfter returns the load including the service time of an attempt that is not
// released yet, so that the answer which carries the load reflects its own attempt.
func (g *Gate) LoadAfter(took time.Duration) outcome.Load {
	l := g.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	l.Service = g.atCurrentPace(g.updatedMeanService(took))
	return l
}
