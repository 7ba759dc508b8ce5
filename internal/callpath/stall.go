package callpath

import (
	"sync/atomic"
	"time"
)

const (
	// stallCheckInterval is the interval at which a running daemon records that it is
	// running.
	stallCheckInterval = 50 * time.Millisecond
	// stallThreshold is the gap between two of these records that counts as a stall.
	stallThreshold = 250 * time.Millisecond
	// stallRefusalPeriod is how long after a stall new attempts are refused: requests
	// that were waiting in the sockets during the stall are read within it.
	stallRefusalPeriod = 20 * time.Millisecond
)

// stallGuard detects that this process was not running for a while, for example after
// SIGSTOP or while the VM was paused. The callers of requests that were waiting in its
// sockets may have given up, so these requests are refused as not run.
type stallGuard struct {
	lastTick    atomic.Int64
	refuseUntil atomic.Int64
	// count is the number of stalls so far.
	count atomic.Int64
	// now must keep advancing while the VM is suspended and must never jump: setting the
	// time of day is not a stall.
	now func() time.Time
}

func newStallGuard(now func() time.Time) *stallGuard {
	g := &stallGuard{now: now}
	g.lastTick.Store(now().UnixNano())
	return g
}

// run records regularly that the process is running, until stop is closed.
func (g *stallGuard) run(stop <-chan struct{}) {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.stalled()
			g.lastTick.Store(g.now().UnixNano())
		case <-stop:
			return
		}
	}
}

// stallCount returns the number of stalls so far. If it changes while an attempt waits,
// the attempt must not start: its caller may already have got a response, since the clock
// by which its deadline is checked may have stood still.
func (g *stallGuard) stallCount() int64 {
	g.stalled()
	return g.count.Load()
}

// stalled reports whether the process has resumed from a stall within stallRefusalPeriod.
func (g *stallGuard) stalled() bool {
	now := g.now().UnixNano()
	if now-g.lastTick.Load() > int64(stallThreshold) {
		g.count.Add(1)
		g.lastTick.Store(now)
		g.refuseUntil.Store(now + int64(stallRefusalPeriod))
	}
	return now < g.refuseUntil.Load()
}
