package callpath

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/ledger"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/tcp"
	"github.com/comfreygate/comfreygate/internal/view"
)

// slowDialer returns a dialer that connects only once wait has returned, as over a
// congested link or to a process that gets no processor time to accept.
func slowDialer(wait func()) *net.Dialer {
	return &net.Dialer{Timeout: time.Minute, Control: func(string, string, syscall.RawConn) error {
		wait()
		return nil
	}}
}

// waitingAttempt returns an attempt at the upstream with this deadline.
func waitingAttempt(id, upstream string, deadline time.Time) *Attempt {
	return &Attempt{
		ID: id, Upstream: upstream, Incarnation: 1, Urgency: config.Normal, Deadline: deadline,
		Method: http.MethodPost, URL: &url.URL{Path: "/normal"}, Header: http.Header{},
	}
}

// disconnectingCaller returns the context of a request whose caller closes its connection
// when disconnect is called, without the HTTP server noticing.
func disconnectingCaller(t *testing.T) (ctx context.Context, disconnect func()) {
	client, server := connPair(t)
	return WithConn(context.Background(), server), func() {
		client.Close()
		for !tcp.ClosedByPeer(server) { // the close takes a moment to arrive
			time.Sleep(time.Millisecond)
		}
	}
}

// TestAttemptIsCheckedAgainAfterASlowUpstreamDial lets attempts that hold a slot wait for
// a connection to their upstream until their caller has disconnected or their deadline
// has passed. They must not start then: nested calls whose callers had given up ran more
// than half a second later.
func TestAttemptIsCheckedAgainAfterASlowUpstreamDial(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 1, time.Millisecond)
	w := r.workers[0]
	connect := func(wait func()) {
		p := w.owner.upstreams[w.id].pool
		p.closeIdle()
		p.dialer = slowDialer(wait)
	}

	ctx, disconnect := disconnectingCaller(t)
	connect(func() {
		disconnect()
		time.Sleep(2 * idleConnWaitMax)
	})
	disconnected := w.owner.execute(ctx, waitingAttempt("gone", w.id, time.Now().Add(time.Minute)))
	is.Equal(disconnected.Outcome, outcome.NotRun)
	is.Equal(disconnected.Reason, outcome.ReasonCancelled)

	connect(func() { time.Sleep(60 * time.Millisecond) })
	late := w.owner.execute(context.Background(), waitingAttempt("late", w.id, time.Now().Add(50*time.Millisecond)))
	is.Equal(late.Outcome, outcome.NotRun)
	is.Equal(late.Reason, outcome.ReasonDeadline)

	is.Equal(w.runs.Load(), int64(0))
	is.Equal(w.owner.ledger.State("gone"), ledger.Voided)
	is.Equal(w.owner.ledger.State("late"), ledger.Voided)
	is.Equal(w.owner.InFlight(), 0) // the slots were released
}

// ownerStub records the time left that attempts arrive with.
type ownerStub struct {
	mu   sync.Mutex
	left []time.Duration
}

// ServeHTTP implements http.Handler.
func (o *ownerStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	us, _ := strconv.ParseInt(r.Header.Get(headerLeft), 10, 64)
	o.mu.Lock()
	o.left = append(o.left, time.Duration(us)*time.Microsecond)
	o.mu.Unlock()
	w.Header().Set(HeaderOutcome, string(outcome.Answered))
}

// TestAttemptIsCheckedAgainAfterASlowOwnerDial lets attempts wait for a connection to
// their owner. The time left must be taken when the attempt is sent, less the expected
// delay on the way, and nothing may be sent for callers that have disconnected. The first
// attempt from a daemon was queued on its way for a time that its owner could not know
// of, and ran half a second after its deadline.
func TestAttemptIsCheckedAgainAfterASlowOwnerDial(t *testing.T) {
	is := is.New(t)
	stub := &ownerStub{}
	srv := httptest.NewServer(stub)
	defer srv.Close()
	u := view.Upstream{ID: "u", Owner: srv.Listener.Addr().String(), Incarnation: 1}
	send := func(ctx context.Context, a *Attempt, wait func()) outcome.Result {
		r := newRemote(slowDialer(wait), time.Minute, event.NewRing("vm", event.NewClock(time.Now), 8), NewMetrics(metrics.NewRegistry()))
		r.callsCtx, r.suspects = context.Background(), suspect.NewTable(time.Now)
		r.onOwnerUnreachable = func(view.Upstream, bool) {}
		res := r.send(ctx, u, a)
		if res.Body != nil {
			res.Body.Close()
		}
		return res
	}
	const slow = 100 * time.Millisecond
	wait := func() { time.Sleep(slow) }
	there := send(context.Background(), waitingAttempt("l-1", "u", time.Now().Add(time.Second)), wait)
	is.Equal(there.Outcome, outcome.Answered)
	is.True(stub.left[0] <= time.Second-2*slow) // the wait, and the same again for the way

	far := send(context.Background(), waitingAttempt("l-2", "u", time.Now().Add(slow+slow/2)), wait)
	is.Equal(far.Outcome, outcome.NotRun)
	is.Equal(far.Reason, outcome.ReasonUnreachable) // there is time to try another owner
	is.True(!far.OwnerDown)
	late := send(context.Background(), waitingAttempt("l-5", "u", time.Now().Add(slow/2)), wait)
	is.Equal(late.Outcome, outcome.NotRun)
	is.Equal(late.Reason, outcome.ReasonDeadline)

	ctx, disconnect := disconnectingCaller(t)
	disconnected := send(ctx, waitingAttempt("l-3", "u", time.Now().Add(time.Minute)), disconnect)
	is.Equal(disconnected.Outcome, outcome.NotRun)
	is.Equal(disconnected.Reason, outcome.ReasonCancelled)

	ended, end := context.WithTimeout(context.Background(), slow/2)
	defer end()
	unsent := send(ended, waitingAttempt("l-4", "u", time.Now().Add(slow/2)), wait)
	is.Equal(unsent.Outcome, outcome.NotRun) // it was never sent, so the caller may retry
	is.Equal(unsent.Reason, outcome.ReasonDeadline)
	is.Equal(len(stub.left), 1)
}
