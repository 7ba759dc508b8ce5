package callpath

import (
	"sync"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
)

const (
	// belowDown is by how much of itself the part of the requests that are let
	// in falls when one of their calls fails, belowUp by how much it grows when
	// one is served. They balance where one call in 8 fails, and get from all
	// to half in 17 failures and back in 125 calls, 2.5 s of an upstream that
	// makes 50 a second. With room below for 0.7 of the calls 0.59 of the
	// requests succeed, 0.51 without; half or twice of either gives 0.55 to
	// 0.59. A rule that followed the failure rate itself overshot: 0.47.
	belowDown = 0.04
	belowUp   = 0.004
	// belowForget is the time after which, without news, all are let in.
	belowForget = 2 * time.Second
	// belowLeast is the part of the requests that is let in however many
	// calls fail, to find out when that ends.
	belowLeast = 0.1
	// belowRetry is when a request that was refused for this may come back:
	// about what it takes to see a change.
	belowRetry = 500 * time.Millisecond
)

// below keeps requests out whose calls to other services would be refused: the
// slot and the calls that they take would be lost. It learns from the calls that
// the upstreams of this VM make, by the urgency of the requests they make them
// for. Safe for concurrent use.
type below struct {
	now    func() time.Time
	random func() float64

	mu     sync.Mutex
	levels [config.MostUrgent + 1]level
}

// level is what is known of the calls for requests of one urgency.
type level struct {
	// part of the requests is let in.
	part float64
	at   time.Time
}

// current returns the part of the requests to let in now.
func (l *level) current(now time.Time) float64 {
	if now.Sub(l.at) > belowForget {
		return 1
	}
	return l.part
}

func newBelow(now func() time.Time, random func() float64) *below {
	return &below{now: now, random: random}
}

// note takes in what became of a nested call.
func (b *below) note(u config.Urgency, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	part := b.levels[u].current(now)
	if failed {
		part = max(belowLeast, part*(1-belowDown))
	} else {
		part = min(1, part+belowUp)
	}
	b.levels[u] = level{part: part, at: now}
}

// admits reports whether a request of this urgency may run.
func (b *below) admits(u config.Urgency) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := b.levels[u].current(b.now())
	return part >= 1 || b.random() < part
}
