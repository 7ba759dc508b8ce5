package soak

import (
	"sync"
	"time"
)

// interval is a time during which a daemon was frozen, or killed and not yet restarted.
type interval struct{ from, until time.Time }

// disruptions records when a VM's daemon was killed or frozen, so that callers may lose
// their connections although the daemon handles them correctly.
type disruptions struct {
	mu        sync.Mutex
	intervals map[int][]*interval
}

func newDisruptions() *disruptions { return &disruptions{intervals: map[int][]*interval{}} }

// begin records that the VM's daemon is killed or frozen until the returned function is
// called.
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

// overlaps reports whether the VM's daemon was killed or frozen at any time between from
// and until.
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
