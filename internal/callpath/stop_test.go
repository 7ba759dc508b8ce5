package callpath

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// TestEndCallsRefusesQueuedAttemptsAsNotRun ends a daemon's calls while one is running and
// one is waiting for the slot. The waiting one must be reported as not run rather than
// dropped; the outcome of the running one is unknown.
func TestEndCallsRefusesQueuedAttemptsAsNotRun(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 1, 5*time.Second)
	outcomes := make(chan string, 2)
	for range 2 {
		go func() { outcomes <- r.send(config.Normal).outcome }()
	}
	w := r.workers[0]
	for w.owner.InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	r.ingress.EndCalls()
	got := map[string]int{<-outcomes: 1}
	got[<-outcomes]++
	is.Equal(got, map[string]int{string(outcome.NotRun): 1, string(outcome.Unknown): 1})
	is.True(time.Since(began) < time.Second)
	is.Equal(w.runs.Load(), int64(1))
}

// TestLateCallsToAStoppingDaemonAreRefused covers a call that arrives when the process
// may exit before it could answer the call.
func TestLateCallsToAStoppingDaemonAreRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 1, time.Millisecond)
	r.ingress.RefuseNewCalls()
	s := r.send(config.Normal)
	is.Equal(s.outcome, string(outcome.NotRun))
	is.Equal(s.retryAfter, "2000")
	is.Equal(r.workers[0].runs.Load(), int64(0))
}

// TestEndCallsDoesNotWaitForUnreachableOwner covers a running attempt whose owner does
// not answer inquiries any more, for example because the link drops packets. Its caller
// must be answered within the time that a stopping process has for its last answers.
func TestEndCallsDoesNotWaitForUnreachableOwner(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 1, 5*time.Second)
	got := make(chan string, 1)
	go func() { got <- r.send(config.Normal).outcome }()
	for r.workers[0].owner.InFlight() < 1 {
		time.Sleep(time.Millisecond)
	}
	// Inquiries to the owner get no connection until they time out.
	r.ingress.remote.inquiryTransport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	began := time.Now()
	r.ingress.EndCalls()
	is.Equal(<-got, string(outcome.Unknown))
	is.True(time.Since(began) < 2*shutdownGrace)
}
