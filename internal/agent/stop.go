package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/system"
)

// Shutdown stops the daemon gracefully within bounds.stop. It makes callers move to other
// daemons, then announces the stop to the other daemons and admits no new attempts, lets
// running attempts finish, and closes everything. If ctx ends first, whatever is left is
// aborted.
func (a *Agent) Shutdown(ctx context.Context) error {
	began := time.Now()
	plan := planStop(time.Duration(a.settings.Bounds.Stop), time.Duration(a.settings.Calls.Drain))
	a.logger.Info().Str("step", "drain").Dur("end_ms", plan.closeAt).Msg("stopping")
	a.stopping.Store(true)
	a.ready.Store(false)
	a.ingress.CloseConnections()
	cancelCalls := time.AfterFunc(plan.attemptsUntil, a.ingress.EndCalls)
	defer cancelCalls.Stop()
	sleep(ctx, plan.callersUntil)
	a.ingress.RefuseNewCalls()
	a.awaitCallers(ctx, began.Add(plan.peersUntil))
	a.announceLeave(ctx)
	a.await(ctx, began.Add(plan.attemptsUntil), a.idle)
	ctx, cancel := context.WithDeadline(ctx, began.Add(plan.closeAt))
	defer cancel()
	err := a.closeServers(ctx)
	a.Kill()
	return err
}

// stopPlan holds the latest time at which each step of a stop ends, as time since its start.
type stopPlan struct {
	// callersUntil is how long new calls of callers are accepted.
	callersUntil time.Duration
	// peersUntil is how long attempts from other daemons are accepted for the upstreams here.
	peersUntil time.Duration
	// attemptsUntil is how long running attempts may continue. The rest is then cancelled.
	attemptsUntil time.Duration
	// closeAt is when all connections are closed.
	closeAt time.Duration
}

// The steps of a stop as fractions of bounds.stop. The remaining time covers the exit of the
// process on a VM with little CPU time.
const (
	// callersFraction bounds calls.drain if bounds.stop is short.
	callersFraction = 0.4
	// peersFraction splits the time between accepting attempts and letting them finish. The
	// time left until attemptsFraction is 2.1 s of 6 s, for attempts that run up to 0.8 s, and
	// 3.5 s of 10 s, for attempts that run up to 4.4 s.
	peersFraction = 0.5
	// attemptsFraction is above 5/6: the platform that stops the process relies on the process
	// waiting for running attempts until 5/6 of bounds.stop.
	attemptsFraction = 0.85
	// closeFraction leaves 0.4 s of 6 s after running attempts are cancelled: time to send an
	// owner an inquiry about whether a call has run, and to answer the caller.
	closeFraction = 0.92
)

// planStop divides the total time for a stop into its steps. Callers are served for
// drainTime, the time that they need to notice that a daemon is stopping, but no longer than
// callersFraction of the total.
func planStop(total, drainTime time.Duration) stopPlan {
	part := func(fraction float64) time.Duration { return time.Duration(fraction * float64(total)) }
	return stopPlan{
		callersUntil: min(drainTime, part(callersFraction)), peersUntil: part(peersFraction),
		attemptsUntil: part(attemptsFraction), closeAt: part(closeFraction),
	}
}

const (
	// callerIdlePeriod is the time without calls after which all callers are assumed to have
	// moved to other daemons: a tenth of the time they need to notice that a daemon is stopping.
	callerIdlePeriod = 300 * time.Millisecond
	// stopPollInterval is the interval at which a stop checks whether a step is done.
	stopPollInterval = 20 * time.Millisecond
)

// awaitCallers waits until no calls arrive or are in progress here, at most until the given
// time. Some callers do not learn that this daemon is stopping, or have no other daemon to
// use. Their calls are refused as not run, with a time to retry after. A closed listener could
// not send that time. Meanwhile the upstreams here keep serving other daemons.
func (a *Agent) awaitCallers(ctx context.Context, until time.Time) {
	a.await(ctx, until, func() bool { return a.ingress.IdleTime() > callerIdlePeriod })
}

// announceLeave announces to the other daemons that this one is stopping, and admits no new
// attempts to the upstreams here. It returns after the time in which most daemons learn of it.
func (a *Agent) announceLeave(ctx context.Context) {
	a.input(system.Leave{})
	a.Inspect(noop)
	sleep(ctx, leaveGossipWindows*time.Duration(a.settings.Control.Window))
}

// leaveGossipWindows is how many gossip windows the announcement is given to spread: enough
// from a leaf of the distribution tree through its root to the leaves of another failure
// domain.
const leaveGossipWindows = 4

// idle reports whether no attempt runs or waits at the upstreams here and no call that entered
// here is in progress.
func (a *Agent) idle() bool { return a.owner.InFlight() == 0 && a.ingress.InFlight() == 0 }

// await waits until the condition holds, the given time has come, or ctx ends.
func (a *Agent) await(ctx context.Context, until time.Time, holds func() bool) {
	for time.Now().Before(until) && ctx.Err() == nil && !holds() {
		sleep(ctx, stopPollInterval)
	}
}

// closeServers closes the listeners and waits for the requests that are still being served.
func (a *Agent) closeServers(ctx context.Context) error {
	if err := a.listeners.callers.drain(); err != nil {
		a.logger.Warn().Str("step", "drain").Str("peer", a.Addresses().Callers).Err(err).Msg("callers' listener could not be drained; connections not yet accepted may be reset")
	}
	var failed error
	for _, srv := range a.servers {
		if err := srv.Shutdown(ctx); err != nil {
			failed = errors.Wrap(err, "drain")
			srv.Close()
		}
	}
	return failed
}

// Kill stops the daemon immediately. Further calls do nothing.
func (a *Agent) Kill() { a.killOnce.Do(a.kill) }

func (a *Agent) kill() {
	a.cancel()
	a.ingress.Close()
	a.owner.Close()
	for _, srv := range a.servers {
		srv.Close()
	}
	a.transport.Shutdown()
	a.goroutines.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
