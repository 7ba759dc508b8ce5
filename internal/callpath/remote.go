package callpath

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/boottime"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/suspect"
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
	// ownerIdleTimeout is how long an idle connection to an owner is kept. Owners keep
	// theirs longer.
	ownerIdleTimeout = 60 * time.Second
	// ownerAckTimeout is how long data sent to an owner may stay unacknowledged. A VM that
	// is partitioned or has lost power acknowledges nothing, and without this limit calls
	// to it would wait until their deadline. Links of 5 Mbit/s under load were seen to
	// hold packets for half a second.
	ownerAckTimeout = time.Second
	// maxOwnerPools is the maximum number of owners to which connections are kept.
	maxOwnerPools = 2048
)

var (
	// errSilent is the cancellation cause of an attempt whose connection delivers nothing
	// and whose owner is not working on it or does not answer inquiries.
	errSilent = errors.New("connection is silent")
	// errVoided is the cancellation cause of an attempt that its owner has voided.
	errVoided = errors.New("attempt voided by its owner")
)

// remote sends attempts to owners on other VMs. It is safe for concurrent use.
type remote struct {
	dialer       *net.Dialer
	inquireAfter time.Duration
	events       *event.Ring
	metrics      *Metrics
	// onOwnerUnreachable is called for the upstream of an attempt if its owner does not
	// answer an inquiry about the attempt either.
	onOwnerUnreachable func(view.Upstream)
	// suspects is the table of suspects that the whole daemon shares.
	suspects *suspect.Table
	// callsCtx is cancelled when attempts must end because the process is about to exit.
	callsCtx context.Context
	// inquiryTransport opens a new connection for each inquiry, so that a silent one
	// cannot delay it.
	inquiryTransport *http.Transport

	mu     sync.Mutex
	owners map[string]*pool
}

func newRemote(dialer *net.Dialer, inquireAfter time.Duration, events *event.Ring, m *Metrics) *remote {
	return &remote{
		dialer: dialer, inquireAfter: inquireAfter, events: events, metrics: m,
		inquiryTransport: &http.Transport{
			DialContext:       dialer.DialContext,
			DisableKeepAlives: true,
		},
		owners: map[string]*pool{},
	}
}

// pool returns the connection pool for an owner.
func (r *remote) pool(owner string) *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.owners[owner]
	if p != nil {
		return p
	}
	if len(r.owners) >= maxOwnerPools {
		r.evictPool()
	}
	p = newPool(r.dialer, owner, 0, ownerIdleTimeout, Dialect{})
	p.unackedTimeout = ownerAckTimeout
	r.owners[owner] = p
	return p
}

// evictPool closes the pool of an arbitrary owner. The caller holds the lock.
func (r *remote) evictPool() {
	for owner, p := range r.owners {
		p.closeIdle()
		delete(r.owners, owner)
		return
	}
}

// send sends an attempt to the upstream's owner and waits for the result.
func (r *remote) send(ctx context.Context, u view.Upstream, a *Attempt) outcome.Result {
	p := r.pool(u.Owner)
	ctx, cancelCtx := context.WithCancelCause(ctx)
	stopHook := context.AfterFunc(r.callsCtx, func() { r.voidOnShutdown(ctx, cancelCtx, u, a) })
	cancel := func(cause error) {
		stopHook()
		cancelCtx(cause)
	}
	interval := r.inquiryInterval(a)
	timer := time.AfterFunc(interval, func() { r.monitorAttempt(ctx, cancel, u, a, interval) })
	res, err := p.do(ctx, r.ownerRequest(u, a), func(req *http.Request, waited time.Duration) outcome.Reason {
		return setTimeHeaders(ctx, req.Header, a, waited)
	})
	timer.Stop()
	if err != nil {
		defer cancel(nil)
		return r.resolveFailure(ctx, p, u, a, err)
	}
	return r.parseResult(res, cancel)
}

// ownerRequest returns the HTTP request that carries the attempt to the upstream's owner,
// without the headers that setTimeHeaders sets.
func (r *remote) ownerRequest(u view.Upstream, a *Attempt) *http.Request {
	req := newRequest(a, u.Owner)
	h := req.Header
	h.Set(headerAttempt, a.ID)
	h.Set(HeaderRequest, a.Request)
	h.Set(HeaderCaller, a.Caller)
	if a.Workspace != "" {
		h.Set(HeaderWorkspace, a.Workspace)
	}
	h.Set(headerUpstream, a.Upstream)
	h.Set(headerIncarnation, strconv.FormatUint(a.Incarnation, 10))
	h.Set(headerUrgency, strconv.Itoa(int(a.Urgency)))
	if a.Flow != a.Workspace {
		h.Set(headerFlow, a.Flow)
	}
	if a.Nested {
		h.Set(headerNested, strconv.Itoa(a.ParentServedPermille))
	}
	if a.Repeated {
		h.Set(headerRepeated, "1")
	}
	setRateLimitHeader(h, a.RateLimit)
	h.Set(HeaderDepth, strconv.Itoa(a.Depth))
	if a.AnyHost {
		h.Set(headerAnyHost, "1")
	}
	setSuspectHeader(h, r.suspects, a)
	if len(a.Body) >= outcome.LongBody {
		h.Set("Expect", expectContinue)
	}
	setClockHeader(h, r.events)
	return req
}

// setTimeHeaders sets the headers that hold the attempt's remaining times, as of now,
// when it is sent. If it must not be sent any more, it returns why. An owner deducts the
// delay of a message beyond the shortest one from the same sender, but has nothing to
// compare the first messages with. The time that opening the connection took is therefore
// deducted here as an estimate of the delay.
func setTimeHeaders(ctx context.Context, h http.Header, a *Attempt, waited time.Duration) outcome.Reason {
	left := time.Until(a.Deadline)
	switch {
	case left <= 0:
		return outcome.ReasonDeadline
	case left <= waited:
		return outcome.ReasonUnreachable // would arrive late; another owner may be closer
	case callerDisconnected(ctx):
		return outcome.ReasonCancelled
	}
	h.Set(headerLeft, strconv.FormatInt((left-waited).Microseconds(), 10))
	h.Set(headerSent, strconv.FormatInt(boottime.Now().Microseconds(), 10))
	if !a.Objective.IsZero() {
		h.Set(headerObjective, strconv.FormatInt(time.Until(a.Objective).Microseconds(), 10))
	}
	return ""
}

// parseResult reads the attempt's result from the owner's response.
func (r *remote) parseResult(res *http.Response, cancel context.CancelCauseFunc) outcome.Result {
	observeClock(res.Header, r.events)
	mergeSuspectHeader(res.Header, r.suspects)
	out := outcome.Result{Outcome: outcome.Kind(res.Header.Get(HeaderOutcome))}
	out.Load, out.HasLoad = outcome.DecodeLoad(res.Header.Get(headerLoad))
	out.RateLimit = rateLimitHeader(res.Header)
	out.Draining = res.Header.Get(HeaderDraining) != ""
	if out.Outcome == outcome.Answered {
		if us, err := strconv.ParseInt(res.Header.Get(headerTook), 10, 64); err == nil && us > 0 {
			out.Took = time.Duration(us) * time.Microsecond
		}
		out.Status = res.StatusCode
		out.Header = res.Header
		out.Body = &answerBody{ReadCloser: res.Body, onClose: func() { cancel(nil) }}
		return out
	}
	defer cancel(nil)
	defer res.Body.Close()
	// Reading to the end allows the connection to be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxInquiryBytes))
	out.Reason = outcome.Reason(res.Header.Get(HeaderReason))
	if out.Outcome == outcome.Unknown {
		return out
	}
	ms, err := strconv.ParseInt(res.Header.Get(HeaderRetryAfter), 10, 64)
	if out.Outcome != outcome.NotRun || err != nil {
		return outcome.MayHaveRun(outcome.ReasonBroken, errors.Errorf("owner responded %s without a valid outcome and retry-after", res.Status))
	}
	out.RetryAfter = time.Duration(ms) * time.Millisecond
	return out
}

// resolveFailure determines the outcome of an attempt whose connection broke, by voiding
// it at its owner where it can.
func (r *remote) resolveFailure(ctx context.Context, p *pool, u view.Upstream, a *Attempt, err error) outcome.Result {
	err = errors.Wrapf(err, "send attempt to owner %s at %s", u.Daemon, u.Owner)
	if out, ok := unsentResult(ctx, err); ok {
		return out
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errVoided):
		return r.voidedResult(err)
	case errors.Is(cause, errSilent):
		r.metrics.Silent.Inc(1)
		p.closeIdle()
	case errors.Is(cause, errStopping):
		// The owner has already been asked to void the attempt, and the process is about
		// to exit.
		return lostConnection(outcome.ReasonBroken, err)
	case ctx.Err() != nil:
		// The caller has disconnected or the deadline has passed: the result must not
		// wait for the owner.
		go r.voidAfterAnswer(context.WithoutCancel(ctx), u, a)
		return lostConnection(outcome.CancelReason(ctx), err)
	}
	state, inquiryErr := r.inquire(context.WithoutCancel(ctx), pathVoid, u, a)
	if inquiryErr == nil && state == Voided {
		return r.voidedResult(err)
	}
	out := lostConnection(outcome.ReasonBroken, err)
	out.OwnerDown = inquiryErr != nil
	return out
}

// lostConnection returns the result of an attempt that may have run, and whose owner has
// not confirmed that it did not.
func lostConnection(reason outcome.Reason, err error) outcome.Result {
	out := outcome.MayHaveRun(reason, err)
	out.Lost = true
	return out
}

// unsentResult returns the result of an attempt of which nothing was sent. False: err
// does not prove that.
func unsentResult(ctx context.Context, err error) (outcome.Result, bool) {
	reason, withheld := withheldReason(err)
	out := outcome.Refuse(reason, outcome.MinRetryAfter)
	out.Err = err
	if withheld {
		return out, true
	}
	if !notSent(err) {
		return outcome.Result{}, false
	}
	switch cause := context.Cause(ctx); {
	case cause == nil || errors.Is(cause, errSilent):
		out.Reason, out.RetryAfter, out.OwnerDown = outcome.ReasonUnreachable, 0, true
	case errors.Is(cause, errStopping) || errors.Is(cause, errVoided):
		out.Reason, out.RetryAfter = outcome.ReasonDraining, restartRetryAfter
	default:
		out.Reason = outcome.CancelReason(ctx)
	}
	return out, true
}

// voidedResult returns the result of an attempt that its owner has voided.
func (r *remote) voidedResult(err error) outcome.Result {
	r.metrics.Voided.Inc(1)
	out := outcome.Refuse(outcome.ReasonVoided, 0)
	out.Err = err
	return out
}

// voidOnShutdown ends an attempt because the process is about to exit. It first asks the
// owner to void the attempt. If the connections were simply closed, those of a waiting
// attempt and of the one running before it would close together: the waiting one could be
// given the slot of the running one before its own disconnection is noticed, and nobody
// could say that it has not run.
func (r *remote) voidOnShutdown(ctx context.Context, cancel context.CancelCauseFunc, u view.Upstream, a *Attempt) {
	graceEnd := time.Now().Add(shutdownGrace)
	inquiryCtx, cancelInquiry := context.WithDeadline(context.WithoutCancel(ctx), graceEnd)
	defer cancelInquiry()
	if state, err := r.inquire(inquiryCtx, pathVoid, u, a); err == nil && state == Voided {
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
		r.onOwnerUnreachable(u)
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
// silent. If the owner cannot be asked, a repeatable call is better sent elsewhere; a
// call that is not repeatable gains nothing by that, and its response may still arrive. A
// repeatable attempt that has finished at the owner but whose response does not arrive is
// treated as if the owner could not be asked.
func (r *remote) monitorAttempt(ctx context.Context, cancel context.CancelCauseFunc, u view.Upstream, a *Attempt, interval time.Duration) {
	failed := 0
	for failed < maxFailedInquiries && ctx.Err() == nil {
		state, err := r.inquire(ctx, pathAttempt, u, a)
		delay := interval
		switch {
		case err == nil && (state == Waiting || state == Started):
			failed = 0
		case err == nil && (state == Unseen || state == Voided):
			failed = maxFailedInquiries
			continue
		case a.Repeatable:
			failed++
			delay = inquiryRetryDelay
		}
		if !pause(ctx, delay) {
			return
		}
	}
	cancel(errSilent)
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
func (r *remote) inquire(ctx context.Context, path string, u view.Upstream, a *Attempt) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
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
	if res.StatusCode != http.StatusOK {
		return "", errors.Errorf("inquire at owner %s: want status 200 OK, got %s", u.Daemon, res.Status)
	}
	var reply InquiryReply
	err = json.NewDecoder(io.LimitReader(res.Body, maxInquiryBytes)).Decode(&reply)
	return reply.State, err
}
