package soak

import (
	"sync"
	"time"
)

// span is a time in which a daemon was killed or did not run.
type span struct{ from, until time.Time }

// lives remembers when callers of a VM may be cut without a fault of ours.
type lives struct {
	mu    sync.Mutex
	spans map[int][]*span
}

func newLives() *lives { return &lives{spans: map[int][]*span{}} }

// begin notes that the VM's daemon is treated violently until the returned
// function is called.
func (l *lives) begin(vm int) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &span{from: time.Now()}
	l.spans[vm] = append(l.spans[vm], s)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.until = time.Now()
	}
}

// violent reports whether a call in this time may have been cut by violence.
func (l *lives) violent(vm int, from, until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.spans[vm] {
		if s.from.Before(until) && (s.until.IsZero() || s.until.After(from)) {
			return true
		}
	}
	return false
}
