package staleness

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStallIsReportedToAttemptsThatWaited advances the clock as a suspended VM does. An
// attempt that waited through the stall must see the stall count change, however late it
// checks, even if Tick noticed the stall first.
func TestStallIsReportedToAttemptsThatWaited(t *testing.T) {
	is := is.New(t)
	var at atomic.Int64
	at.Store(time.Unix(1000, 0).UnixNano())
	g := NewStallGuard(func() time.Time { return time.Unix(0, at.Load()) })
	before := g.StallCount()
	at.Add(int64(3 * time.Second))
	is.True(g.Stalled())
	for range 50 { // the process keeps recording
		at.Add(int64(TickInterval))
		g.Tick()
	}
	is.True(!g.Stalled())              // new attempts are accepted again
	is.True(g.StallCount() != before)  // an attempt that waited through it is not run
	is.Equal(g.StallCount(), before+1) // the stall is counted once
	at.Add(int64(3 * time.Second))
	g.Tick()
	is.Equal(g.StallCount(), before+2) // Tick noticed this one first
}
