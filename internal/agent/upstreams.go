package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/response"
	"github.com/comfreygate/comfreygate/internal/system"
	"github.com/comfreygate/comfreygate/internal/table"
)

// Health is an upstream's answer to a health check.
type Health struct {
	// Process identifies the process that has answered, or is empty if it does not say.
	Process string
	// Healthy is set if the upstream says that it is healthy and does not leave.
	Healthy bool
}

// HealthChecker asks the upstream at addr, given as IP:port, for its health at a path.
type HealthChecker func(ctx context.Context, client http.RoundTripper, addr, path string) (Health, error)

const (
	// healthCheckTimeout bounds one health check.
	healthCheckTimeout = 500 * time.Millisecond
	// maxHealthHeaderBytes bounds the headers of a response to a health check. Its body is not
	// read. A faulty upstream may send bytes without end.
	maxHealthHeaderBytes = 16 << 10
)

// newHealthClient returns the client of health checks. Each has a connection of its own, as
// few are made and the upstream's connections are limited.
func newHealthClient(connectTimeout time.Duration) http.RoundTripper {
	return response.Transport{RoundTripper: &http.Transport{
		DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext, DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: maxHealthHeaderBytes,
	}}
}

// checkHealth makes a health check that a tick has requested. One that gets no answer tells
// nothing of the upstream; a later tick requests another.
func (a *Agent) checkHealth(c system.HealthCheck) {
	ctx, cancel := context.WithTimeout(a.ctx, healthCheckTimeout)
	defer cancel()
	h, err := a.healthChecker(ctx, a.healthClient, c.Addr, c.Path)
	if err != nil {
		a.logger.Warn().Str("step", "health check").Str("peer", c.ID).Str("addr", c.Addr).Err(err).Msg("upstream has not answered a health check")
		return
	}
	a.input(system.HealthChecked{ID: c.ID, Process: h.Process, Healthy: h.Healthy})
}

// Errors of announcements and removals that are not in force, or would not survive this daemon.
var (
	errStopped       = errors.New("the daemon has stopped")
	errNotReplicated = errors.New("the store and another daemon have not both confirmed yet that the upstream leaves")
)

const (
	// departureTimeout is how long an upstream that leaves waits for others to know of it.
	// Upstreams wait a second for the answer.
	departureTimeout = 800 * time.Millisecond
	// secondHolderTimeout is how long it waits for both another daemon and the store before one
	// of them may suffice, see system.DeparturesHeld.
	secondHolderTimeout = 300 * time.Millisecond
)

// departureWaiter waits until others hold the departures of a revision of this daemon's record.
type departureWaiter struct {
	seq   uint64
	since time.Time
	held  chan struct{}
}

// awaitApplied waits until the inputs queued so far are in force.
func (a *Agent) awaitApplied() error {
	if !a.Inspect(noop) {
		return errStopped
	}
	return nil
}

// awaitDeparture waits until a departure that was queued before is in force and survives this
// daemon. Otherwise the daemon could promise that the upstream gets no more calls, restart, and
// know nothing of it.
func (a *Agent) awaitDeparture() error {
	waiter := departureWaiter{since: time.Now(), held: make(chan struct{})}
	applied := a.Inspect(func(w *table.World) {
		waiter.seq = w.Memory.Changed
		a.departureWaiters = append(a.departureWaiters, waiter)
		a.notifyDepartureWaiters()
	})
	if !applied {
		return errStopped
	}
	timer := time.NewTimer(departureTimeout)
	defer timer.Stop()
	select {
	case <-waiter.held:
		return nil
	case <-timer.C:
		return errNotReplicated
	case <-a.ctx.Done():
		return errStopped
	}
}

// notifyDepartureWaiters releases the waiters whose departures others hold, and drops those that no
// longer wait. Only the goroutine of the loop calls it.
func (a *Agent) notifyDepartureWaiters() {
	if len(a.departureWaiters) == 0 {
		return
	}
	var waiting []departureWaiter
	for _, d := range a.departureWaiters {
		waited := time.Since(d.since)
		switch {
		case system.DeparturesHeld(a.world, d.seq, waited >= secondHolderTimeout):
			close(d.held)
		case waited < departureTimeout:
			waiting = append(waiting, d)
		}
	}
	a.departureWaiters = waiting
}
