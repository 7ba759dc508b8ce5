package suspect

import (
	"sync"
	"time"
)

const (
	// recentWindow is how long a request counts as answered lately, twice that at the
	// most: a request of which three copies run in a fifth of a fleet at once is
	// answered by each upstream every few seconds.
	recentWindow = 30 * time.Second
	// recentMost bounds the requests remembered of a window: what an upstream of 130
	// calls a second answers in it. In memory two full windows take 0.3 MB.
	recentMost = 4096
)

// Recent remembers the requests that were answered lately. Safe for concurrent use.
type Recent struct {
	now func() time.Time

	mu     sync.Mutex
	turned time.Time
	// current and before hold those of this window and of the one before it.
	current map[Digest]struct{}
	before  map[Digest]struct{}
}

// NewRecent returns an empty memory.
func NewRecent(now func() time.Time) *Recent {
	return &Recent{now: now, turned: now(), current: map[Digest]struct{}{}}
}

// Add takes note that a request was answered.
func (r *Recent) Add(d Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.now(); now.Sub(r.turned) >= recentWindow || len(r.current) >= recentMost {
		r.before, r.current, r.turned = r.current, map[Digest]struct{}{}, now
	}
	r.current[d] = struct{}{}
}

// Take reports whether a request was answered lately, and forgets it: what it is excused
// by counts once.
func (r *Recent) Take(d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Sub(r.turned) >= 2*recentWindow {
		return false
	}
	_, current := r.current[d]
	_, before := r.before[d]
	delete(r.current, d)
	delete(r.before, d)
	return current || before
}
