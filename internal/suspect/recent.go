package suspect

import (
	"sync"
	"time"
)

const (
	// recentWindow is the length of a window. An answered request is remembered for one
	// to two windows, or for less if maxRecent is reached. That is long enough: a request of
	// which three copies run in a fifth of a fleet at once is answered by each upstream
	// every few seconds.
	recentWindow = 30 * time.Second
	// maxRecent bounds the requests remembered per window: as many as an upstream that
	// serves 130 calls a second answers in it. Two full windows take 0.3 MB of memory.
	maxRecent = 4096
)

// Recent remembers the requests that were answered recently. It is safe for concurrent
// use.
type Recent struct {
	now func() time.Time

	mu          sync.Mutex
	windowStart time.Time
	// current and previous hold the requests answered in this window and in the one
	// before it. The value is true if ExemptOnce has returned true since the last
	// answer.
	current  map[Digest]bool
	previous map[Digest]bool
}

// NewRecent returns a Recent without any requests.
func NewRecent(now func() time.Time) *Recent {
	return &Recent{now: now, windowStart: now(), current: map[Digest]bool{}}
}

// Add records that a request was answered.
func (r *Recent) Add(d Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.now(); now.Sub(r.windowStart) >= recentWindow || len(r.current) >= maxRecent {
		r.previous, r.current, r.windowStart = r.current, map[Digest]bool{}, now
	}
	r.current[d] = false
}

// Has reports whether a request was answered recently.
func (r *Recent) Has(d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.lookup(d)
	return known
}

// ExemptOnce reports whether a request is exempt from suspicion for one crash: it was
// answered recently, and ExemptOnce has not returned true for it since its last answer.
func (r *Recent) ExemptOnce(d Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	exempted, known := r.lookup(d)
	if known {
		r.current[d] = true
	}
	return known && !exempted
}

func (r *Recent) lookup(d Digest) (exempted, known bool) {
	if r.now().Sub(r.windowStart) >= 2*recentWindow {
		return false, false
	}
	if exempted, known = r.current[d]; !known {
		exempted, known = r.previous[d]
	}
	return exempted, known
}
