package staleness

import (
	"sync/atomic"
	"time"
)

const (
	// TickInterval is the interval at which a running daemon records with Tick that it is
	// running.
	TickInterval = 50 * time.Millisecond
	// stallThreshold is the gap between two of these records that counts as a stall.
	stallThreshold = 250 * time.Millisecond
	// stallRefusalPeriod is how long after a stall new attempts are refused: requests
	// that were waiting in the sockets during the stall are read within it.
	stallRefusalPeriod = 20 * time.Millisecond
)

// StallGuard detects that this process was not running for a while, for example after
// SIGSTOP or while the VM was paused. The callers of requests that were waiting in its
// sockets may have given up, so these requests are refused as not run.
type StallGuard struct {
	lastTick    atomic.Int64
	refuseUntil atomic.Int64
	// count is the number of stalls so far.
	count atomic.Int64
	// now must keep advancing while the VM is suspended and must never jump: setting the
	// time of day is not a stall.
	now func() time.Time
}

// NewStallGuard returns a guard for a process that is running now.
func NewStallGuard(now func() time.Time) *StallGuard {
	g := &StallGuard{now: now}
	g.lastTick.Store(now().UnixNano())
	return g
}

// Tick records that the process is running. It must be called every TickInterval.
func (g *StallGuard) Tick() {
	g.Stalled()
	g.lastTick.Store(g.now().UnixNano())
}

// StallCount returns the number of stalls so far. If it changes while an attempt waits,
// the attempt must not start: its caller may already have got a response, since the clock
// by which its deadline is checked may have stood still.
func (g *StallGuard) StallCount() int64 {
	g.Stalled()
	return g.count.Load()
}

// Stalled reports whether the process has resumed from a stall within stallRefusalPeriod.
func (g *StallGuard) Stalled() bool {
	now := g.now().UnixNano()
	if now-g.lastTick.Load() > int64(stallThreshold) {
		g.count.Add(1)
		g.lastTick.Store(now)
		g.refuseUntil.Store(now + int64(stallRefusalPeriod))
	}
	return now < g.refuseUntil.Load()
}
