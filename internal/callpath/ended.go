package callpath

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/suspect"
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
	mu   sync.Mutex
	at   time.Time
	last end
}

// end is one end of an upstream.
type end struct {
	// n counts the upstream's ends; zero: it is there.
	n uint64
	// culprit is the request that it is put down to; zero: no particular one.
	culprit suspect.Digest
}

// seen looks whether the upstream has ended, and returns which of its ends that is. The
// first who sees it is told so, and culprit gives the request that it is put down to.
func (e *ending) seen(ctx context.Context, p *pool, now func() time.Time, culprit func() suspect.Digest) (last end, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.last.n > 0 && now().Sub(e.at) < endedTogether {
		return e.last, false
	}
	// Whether the attempt itself has time left tells nothing of the upstream.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endedAsk)
	defer cancel()
	if !p.refused(ctx) {
		return end{}, false
	}
	e.at = now()
	e.last = end{n: e.last.n + 1, culprit: culprit()}
	return e.last, true
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
