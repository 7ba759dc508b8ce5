package soak

import (
	"sync"
	"time"
)

// interval is a time in which a daemon was killed or did not run.
type interval struct{ from, until time.Time }

// disruptions remembers when callers of a VM may be cut without a fault of ours.
type disruptions struct {
	mu        sync.Mutex
	intervals map[int][]*interval
}

func newDisruptions() *disruptions { return &disruptions{intervals: map[int][]*interval{}} }

// begin notes that the VM's daemon is treated violently until the returned
// function is called.
func (d *disruptions) begin(vm int) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &interval{from: time.Now()}
	d.intervals[vm] = append(d.intervals[vm], s)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		s.until = time.Now()
	}
}

// overlaps reports whether a call in this time may have been cut by violence.
func (d *disruptions) overlaps(vm int, from, until time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.intervals[vm] {
		if s.from.Before(until) && (s.until.IsZero() || s.until.After(from)) {
			return true
		}
	}
	return false
}
