package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/system"
)

// Shutdown stops the daemon gracefully: upstreams and callers are sent
// elsewhere, calls in flight finish, then everything is closed. When ctx
// ends first, what is left is cut.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.logger.Info().Str("step", "drain").Msg("stopping")
	a.input(system.Leave{})
	a.ready.Store(false)
	a.ingress.Leave()
	deadline := time.Now().Add(time.Duration(a.settings.Calls.Drain) + time.Duration(a.settings.Calls.DrainMax))
	finish := time.AfterFunc(time.Until(deadline)-lastAnswers, a.ingress.Finish)
	defer finish.Stop()
	sleep(ctx, time.Duration(a.settings.Calls.Drain))
	a.ingress.Refuse()
	a.awaitLastCaller(ctx, time.Duration(a.settings.Calls.DrainWait))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := a.listeners.callers.drain(); err != nil {
		a.logger.Warn().Str("step", "drain").Str("peer", a.Addresses().Callers).Err(err).Msg("connections being opened may be cut")
	}
	var failed error
	for _, srv := range a.servers {
		if err := srv.Shutdown(ctx); err != nil {
			failed = errors.Wrap(err, "drain")
			srv.Close()
		}
	}
	a.Kill()
	return failed
}

const (
	// lastAnswers is how long before the end calls in flight are ended: time to
	// ask an owner whether one has run, and to say so.
	lastAnswers = 400 * time.Millisecond
	// lastCallerIdle is how long no call has come when callers are taken to
	// be gone: a tenth of what they take to notice that a daemon leaves.
	lastCallerIdle = 300 * time.Millisecond
	lastCallerPoll = 50 * time.Millisecond
)

// awaitLastCaller waits while callers still come: some are not told that this
// daemon leaves, or have nowhere else to go. They are refused as not run, which
// tells them when to come back; a closed listener would not.
func (a *Agent) awaitLastCaller(ctx context.Context, most time.Duration) {
	for end := time.Now().Add(most); time.Now().Before(end) && ctx.Err() == nil; {
		if a.ingress.Idle() > lastCallerIdle {
			return
		}
		sleep(ctx, lastCallerPoll)
	}
}

// Kill stops the daemon at once. Further calls do nothing.
func (a *Agent) Kill() { a.killed.Do(a.kill) }

func (a *Agent) kill() {
	a.end()
	a.ingress.Close()
	a.owner.Close()
	for _, srv := range a.servers {
		srv.Close()
	}
	a.transport.Shutdown()
	a.running.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
