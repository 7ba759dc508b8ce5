package callpath

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// endedAsk bounds the look whether an upstream is still there: a connection on
	// the same VM is open or refused within a millisecond.
	endedAsk = 100 * time.Millisecond
	// endedTogether is within which attempts that broke at an upstream broke with the
	// same end of it: its connections all close at once, and no process is back so soon.
	endedTogether = 100 * time.Millisecond
)

// ending tells an upstream's process that has ended from a connection that broke.
// Safe for concurrent use.
type ending struct {
	mu sync.Mutex
	at time.Time
	// count is how many ends were seen.
	count uint64
}

// seen looks whether the upstream has ended, and returns which of its ends that is,
// from 1 on; zero: it is there. First says that nobody has seen this one before.
func (e *ending) seen(ctx context.Context, p *pool, now func() time.Time) (end uint64, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.count > 0 && now().Sub(e.at) < endedTogether {
		return e.count, false
	}
	ctx, cancel := context.WithTimeout(ctx, endedAsk)
	defer cancel()
	if !p.refused(ctx) {
		return 0, false
	}
	e.at = now()
	e.count++
	return e.count, true
}

// refused reports whether nobody takes connections at the address any more. One idle
// connection that is still open tells that somebody does, at no cost.
func (p *pool) refused(ctx context.Context) bool {
	c, err := p.get(ctx)
	if err == nil {
		p.put(c)
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
