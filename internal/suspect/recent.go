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
	// current and before hold those of this window and of the one before it, and whether
	// they were excused since.
	current map[Digest]bool
	before  map[Digest]bool
}

// NewRecent returns an empty memory.
func NewRecent(now func() time.Time) *Recent {
	return &Recent{now: now, turned: now(), current: map[Digest]bool{}}
}

// Add takes note that a request was answered.
func (r *Recent) Add(d Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.now(); now.Sub(r.turned) >= recentWindow || len(r.current) >= recentMost {
		r.before, r.current, r.turned = r.current, map[Digest]bool{}, now
	}
	r.current[d] = false
}

// Has reports whether a request was answered lately.
func (r *Recent) Has(d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.look(d)
	return known
}

// Excuse reports whether a request was answered lately and not excused since its last
// answer.
func (r *Recent) Excuse(d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	excused, known := r.look(d)
	if known {
		r.current[d] = true
	}
	return known && !excused
}

func (r *Recent) look(d Digest) (excused, known bool) {
	if r.now().Sub(r.turned) >= 2*recentWindow {
		return false, false
	}
	if excused, known = r.current[d]; !known {
		excused, known = r.before[d]
	}
	return excused, known
}
