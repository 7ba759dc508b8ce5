package callpath

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/crossdomain"
	"github.com/comfreygate/comfreygate/internal/ledger"
	"github.com/comfreygate/comfreygate/internal/response"
	"github.com/comfreygate/comfreygate/internal/view"
)

const (
	// inquiryTimeout limits how long an inquiry about an attempt may take.
	inquiryTimeout = 500 * time.Millisecond
	// inquiryRetryDelay is the pause after a failed inquiry: long enough that one lost
	// packet or one full accept queue does not fail two inquiries.
	inquiryRetryDelay = 100 * time.Millisecond
	// maxFailedInquiries is how many inquiries in a row may fail before the connection is
	// given up.
	maxFailedInquiries = 2
	// maxOwnerSilence is how long an owner may send nothing at all before attempts that cannot
	// be repeated are given up. An attempt that is sent to a partitioned VM fails after the same
	// time.
	maxOwnerSilence = ownerAckTimeout + inquiryTimeout
)

// voidOnShutdown ends an attempt because the process is about to exit. It first asks the
// owner to void the attempt. If the connections were simply closed, those of a waiting
// attempt and of the one running before it would close together: the waiting one could be
// given the slot of the running one before its own disconnection is noticed, and nobody
// could say that it has not run.
func (r *remote) voidOnShutdown(ctx context.Context, cancel context.CancelCauseFunc, u view.Upstream, a *Attempt) {
	graceEnd := time.Now().Add(shutdownGrace)
	inquiryCtx, cancelInquiry := context.WithDeadline(context.WithoutCancel(ctx), graceEnd)
	defer cancelInquiry()
	if state, err := r.inquire(inquiryCtx, pathVoid, u, a); err == nil && state == ledger.Voided {
		cancel(errVoided)
		return
	}
	// The attempts that are still waiting at the owner are being voided meanwhile.
	pause(ctx, time.Until(graceEnd))
	cancel(errStopping)
}

// shutdownGrace is how long running attempts are left alone at shutdown while waiting ones
// are voided: dozens of round trips between failure domains. The outcome of those that
// have not finished by then is reported as unknown: a process that stops has 0.4 s left
// for all its last responses, and over a slow link an inquiry may take longer.
const shutdownGrace = 150 * time.Millisecond

// voidAfterAnswer voids an attempt whose caller has already been answered, so that it
// does not start any more.
func (r *remote) voidAfterAnswer(ctx context.Context, u view.Upstream, a *Attempt) {
	if _, err := r.inquire(ctx, pathVoid, u, a); err != nil {
		r.onOwnerUnreachable(u, timedOut(err))
	}
}

// inquiryLatencyFactor is the multiple of the typical latency after which an attempt's
// owner is asked about it. Each inquiry opens a connection. At twice the typical latency
// few ordinary calls cause one, and a silent connection is still detected within the
// objective of a route whose calls usually meet it.
const inquiryLatencyFactor = 2

// inquiryInterval returns the interval of inquiries about an attempt.
func (r *remote) inquiryInterval(a *Attempt) time.Duration {
	return max(r.inquireAfter, inquiryLatencyFactor*a.TypicalLatency)
}

// monitorAttempt asks the owner over new connections whether it is working on an attempt
// that has had no response, and cancels the attempt if its connection turns out to be
// silent. It ends with ctx, when the head of the response has come: the owner may then call
// the attempt finished while the rest of the response waits for its link. If the owner cannot
// be asked, a repeatable call is better sent elsewhere; the
// response to a call that is not repeatable may still arrive, so that it is given up only
// once the owner has sent nothing to any attempt for maxOwnerSilence, and not while this daemon
// stops. A repeatable attempt that has finished at the owner but whose response does not arrive
// is treated as if the owner could not be asked.
func (r *remote) monitorAttempt(ctx context.Context, cancel context.CancelCauseFunc, u view.Upstream, a *Attempt, interval time.Duration) {
	p := r.pool(u.Owner)
	unansweredSince := time.Now().Add(-interval) // the first inquiry is due an interval after the attempt
	failed := 0
	for failed < maxFailedInquiries && ctx.Err() == nil {
		asked := time.Now()
		state, err := r.inquire(ctx, pathAttempt, u, a)
		silent := err != nil && p.lastHeard().Before(asked)
		if silent && ctx.Err() == nil {
			r.onOwnerUnreachable(u, timedOut(err))
		}
		delay := interval
		switch {
		case err == nil && (state == ledger.Waiting || state == ledger.Started):
			failed = 0
		case err == nil && (state == ledger.Unseen || state == ledger.Voided):
			failed = maxFailedInquiries
			continue
		case a.Repeatable:
			failed++
			delay = inquiryRetryDelay
		case silent:
			delay = inquiryRetryDelay
		}
		if !pause(ctx, delay) {
			return
		}
		if silent && !a.Repeatable && !r.leaving.Load() && time.Since(later(p.lastHeard(), unansweredSince)) >= maxOwnerSilence {
			cancel(errOwnerSilent)
			return
		}
	}
	if ctx.Err() == nil {
		cancel(errSilent)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// pause waits for the duration. False: ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// inquire sends an inquiry about an attempt to its owner: pathAttempt asks for its state,
// pathVoid voids it unless it has started and then asks for its state.
func (r *remote) inquire(ctx context.Context, path string, u view.Upstream, a *Attempt) (ledger.State, error) {
	ctx, cancel := context.WithTimeout(crossdomain.WithPurpose(ctx, r.purpose(u, a)), inquiryTimeout)
	defer cancel()
	body, err := json.Marshal(Inquiry{Attempt: a.ID, Incarnation: u.Incarnation, LeftMs: time.Until(a.Deadline).Milliseconds()})
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Owner+path, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	res, err := r.inquiryTransport.RoundTrip(req)
	if err != nil {
		return "", errors.Wrapf(err, "inquire at owner %s", u.Daemon)
	}
	defer res.Body.Close()
	r.pool(u.Owner).recordHeard()
	if err := response.Check(res); err != nil {
		return "", errors.Wrapf(err, "inquire at owner %s", u.Daemon)
	}
	if res.StatusCode != http.StatusOK {
		return "", errors.Errorf("inquire at owner %s: want status 200 OK, got %s", u.Daemon, res.Status)
	}
	var reply InquiryReply
	err = json.NewDecoder(io.LimitReader(res.Body, maxInquiryBytes)).Decode(&reply)
	return reply.State, err
}
