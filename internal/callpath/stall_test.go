package callpath

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStallIsReportedToAttemptsThatWaited advances the clock as a suspended VM does. An
// attempt that waited through the stall must see the stall count change, however late it
// checks, even if the guard's own goroutine noticed the stall first.
func TestStallIsReportedToAttemptsThatWaited(t *testing.T) {
	is := is.New(t)
	var at atomic.Int64
	at.Store(time.Unix(1000, 0).UnixNano())
	g := newStallGuard(func() time.Time { return time.Unix(0, at.Load()) })
	before := g.stallCount()
	at.Add(int64(3 * time.Second))
	is.True(g.stalled())
	for range 50 { // the guard's goroutine keeps recording
		at.Add(int64(stallCheckInterval))
		g.stalled()
		g.lastTick.Store(at.Load())
	}
	is.True(!g.stalled())              // new attempts are accepted again
	is.True(g.stallCount() != before)  // an attempt that waited through it is not run
	is.Equal(g.stallCount(), before+1) // the stall is counted once
}
