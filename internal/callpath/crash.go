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
	// crashProbeTimeout limits the check whether an upstream's process still accepts
	// connections: on the same VM a connection is opened or refused within a millisecond.
	crashProbeTimeout = 100 * time.Millisecond
	// crashGroupWindow is the time after a detected crash within which further broken
	// attempts are counted to the same crash: all connections of a process close at once,
	// and no process restarts this fast.
	crashGroupWindow = 100 * time.Millisecond
)

// crashDetector distinguishes a crash of an upstream's process from a broken connection.
// It is safe for concurrent use.
type crashDetector struct {
	mu         sync.Mutex
	detectedAt time.Time
	last       crash
}

// crash identifies one crash of an upstream.
type crash struct {
	// n is the number of the crash at this upstream, from 1; zero means that it has not
	// crashed.
	n uint64
	// culprit is the request to which the crash is attributed; zero if to none.
	culprit suspect.Digest
}

// detect checks whether the upstream crashed and returns that crash, or the zero value if
// it did not. first is true only for the call that detects a new crash; that call uses
// the function culprit to attribute it to a request.
func (d *crashDetector) detect(ctx context.Context, p *pool, now func() time.Time, culprit func() suspect.Digest) (last crash, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last.n > 0 && now().Sub(d.detectedAt) < crashGroupWindow {
		return d.last, false
	}
	// The check must also work after the attempt's own deadline has passed.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
	defer cancel()
	if !p.refusesConnections(ctx) {
		return crash{}, false
	}
	d.detectedAt = now()
	d.last = crash{n: d.last.n + 1, culprit: culprit()}
	return d.last, true
}

// since returns the last crash if it was detected after the given time, or the zero value.
func (d *crashDetector) since(began time.Time) crash {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.detectedAt.After(began) {
		return crash{}
	}
	return d.last
}

// refusesConnections reports whether connections to the address are refused. An idle
// connection that is still open shows at no cost that the process is running.
func (p *pool) refusesConnections(ctx context.Context) bool {
	c, err := p.get(ctx)
	if err == nil {
		p.put(c)
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
