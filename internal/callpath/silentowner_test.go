package callpath

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/compress"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// silentListener accepts connections that deliver nothing more in either direction once
// silent is set, as if the failure domain of the listener were cut off behind a device that
// still acknowledges packets.
type silentListener struct {
	net.Listener
	silent atomic.Bool
}

func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &silentConn{Conn: c, silent: &l.silent}, err
}

type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

// Read discards what arrives while the connection is silent.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write discards what is written while the connection is silent.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// newSilentRig returns a rig of two workers with calls of ten seconds, and the listener of the
// first worker's owner.
func newSilentRig(t *testing.T, service time.Duration) (*rig, *silentListener) {
	t.Helper()
	r := newRig(t, 2, 8, service)
	r.timeout = 10 * time.Second
	r.ingress.remote.inquireAfter = silentInquireAfter
	w := r.workers[0]
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &silentListener{Listener: ln}
	srv := &http.Server{Handler: w.owner}
	go srv.Serve(compress.Listener(l))
	t.Cleanup(func() { srv.Close() })
	w.srv.Listener.Close()
	w.srv.Listener = l
	r.update()
	return r, l
}

const (
	silentInquireAfter = 300 * time.Millisecond
	// silenceMargin is added to the times after which an owner counts as silent, for the
	// scheduling of the test.
	silenceMargin = 500 * time.Millisecond
)

// TestCallersOfASilentOwnerDoNotWaitForTheirDeadline guards against callers that wait until
// their deadline for an owner that is cut off. An attempt that may not be repeated was not
// given up even if its owner answered no inquiry, so that all callers of a daemon could be
// waiting for one owner.
func TestCallersOfASilentOwnerDoNotWaitForTheirDeadline(t *testing.T) {
	const service = 200 * time.Millisecond
	r, l := newSilentRig(t, service)
	results := make(chan sample, 16)
	for range cap(results) {
		go func() { results <- r.send(config.Normal) }()
	}
	time.Sleep(service / 2) // every call has started at one of the workers
	l.silent.Store(true)
	unknown := 0
	for range cap(results) {
		s := <-results
		if s.outcome == string(outcome.Answered) {
			continue
		}
		unknown++
		if s.outcome != string(outcome.Unknown) {
			t.Errorf("outcome %q of a call that was running at the silent owner, want unknown", s.outcome)
		}
		if limit := maxOwnerSilence + inquiryTimeout + silenceMargin; s.took > limit {
			t.Errorf("caller was told after %v that the outcome is unknown, want %v or less", s.took, limit)
		}
	}
	if unknown == 0 {
		t.Error("no call was running at the silent owner")
	}
}

// TestSilentOwnerGetsNoNewCalls guards against calls that are sent to an owner that is cut off
// because the others refuse them: a refusal can be retried, a call that may have run cannot.
func TestSilentOwnerGetsNoNewCalls(t *testing.T) {
	const service = 20 * time.Millisecond
	const rate = 600 // per second; the worker that remains serves 400
	r, l := newSilentRig(t, service)
	r.offer(rate, 300*time.Millisecond, config.Normal)
	l.silent.Store(true)
	early := make(chan []sample)
	go func() { early <- r.offer(rate, time.Second, config.Normal) }()
	time.Sleep(silentInquireAfter + inquiryTimeout + silenceMargin)
	unknown := 0
	for _, s := range r.offer(rate, time.Second, config.Normal) {
		if s.outcome == string(outcome.Unknown) {
			unknown++
		}
	}
	if unknown > 0 {
		t.Errorf("%d calls were sent to the owner that had become silent", unknown)
	}
	<-early
}

// newSilentInquiriesRig returns a rig of one worker with calls of ten seconds, and a flag that
// makes inquiries go unanswered while it is set.
func newSilentInquiriesRig(t *testing.T, service time.Duration) (*rig, *atomic.Bool) {
	t.Helper()
	r := newRig(t, 1, 8, service)
	r.timeout = 10 * time.Second
	r.ingress.remote.inquireAfter = silentInquireAfter
	r.update()
	silent := new(atomic.Bool)
	dial := r.ingress.remote.inquiryTransport.DialContext
	r.ingress.remote.inquiryTransport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if silent.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dial(ctx, network, addr)
	}
	return r, silent
}

// TestCallsOutliveAShortSilenceOfTheirOwner guards against calls that are given up although
// their owner sends again soon, for example after a pause of its process.
func TestCallsOutliveAShortSilenceOfTheirOwner(t *testing.T) {
	const service = 2 * time.Second
	r, silent := newSilentInquiriesRig(t, service)
	got := make(chan sample, 1)
	go func() { got <- r.send(config.Normal) }()
	time.Sleep(silentInquireAfter / 2)
	silent.Store(true)
	time.Sleep(maxOwnerSilence - silenceMargin)
	silent.Store(false)
	if s := <-got; s.outcome != string(outcome.Answered) {
		t.Errorf("outcome %q after %v, want answered", s.outcome, s.took)
	}
}

// TestStoppingDaemonKeepsCallsAtASilentOwner guards against calls that a stopping daemon gives up
// although it has time to wait for their responses: the owner is silent for longer than a
// daemon waits that does not stop.
func TestStoppingDaemonKeepsCallsAtASilentOwner(t *testing.T) {
	const service = 3 * time.Second
	r, silent := newSilentInquiriesRig(t, service)
	got := make(chan sample, 1)
	go func() { got <- r.send(config.Normal) }()
	time.Sleep(silentInquireAfter / 2)
	silent.Store(true)
	r.ingress.CloseConnections()
	if s := <-got; s.outcome != string(outcome.Answered) {
		t.Errorf("outcome %q after %v, want answered", s.outcome, s.took)
	}
}
