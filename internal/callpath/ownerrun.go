package callpath

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/ledger"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/suspect"
)

// execute admits the attempt, runs it and returns the result. The attempt's slot is held
// until the response's body is closed.
func (o *Owner) execute(ctx context.Context, a *Attempt) outcome.Result {
	stalls := o.guard.StallCount()
	loc, refusal := o.accept(a)
	if loc == nil {
		return o.refused(a, refusal)
	}
	return o.admit(ctx, loc, a, stalls)
}

// admit waits for a slot and runs an accepted attempt. stallsBefore is the stall count at
// the time of acceptance: if it has grown by the time the slot is free, the attempt is
// refused.
func (o *Owner) admit(ctx context.Context, loc *localUpstream, a *Attempt, stallsBefore int64) outcome.Result {
	if refusal, blocked := quarantined(o.cfg.Suspects, a, o.cfg.Now()); blocked {
		o.ledger.Abandon(a.ID)
		return o.refused(a, refusal)
	}
	reason, after := loc.gate.Acquire(ctx, admissionRequest(a))
	if reason != "" {
		o.ledger.Abandon(a.ID)
		return o.refused(a, o.withLoad(outcome.Refuse(reason, after), loc))
	}
	if reason := o.recheckAfterWait(ctx, a, stallsBefore); reason != "" {
		return o.refuseAdmitted(loc, a, outcome.Refuse(reason, 0))
	}
	if refusal := o.checkSuspect(loc, a); refusal.Reason != "" {
		return o.refuseAdmitted(loc, a, refusal)
	}
	if !o.ledger.Start(a.ID) {
		return o.refuseAdmitted(loc, a, outcome.Refuse(outcome.ReasonVoided, 0))
	}
	return o.run(ctx, loc, a)
}

// refuseAdmitted releases the slot of an attempt that was admitted but not run, and
// refuses the attempt.
func (o *Owner) refuseAdmitted(loc *localUpstream, a *Attempt, r outcome.Result) outcome.Result {
	o.endAttempt(loc, a)
	if r.Reached() {
		loc.gate.Release(0)
	} else {
		loc.gate.ReleaseUnsent()
	}
	o.ledger.Abandon(a.ID)
	return o.refused(a, r)
}

// recheckAfterWait returns the reason why an attempt that has just got its slot must not
// start any more, or "".
func (o *Owner) recheckAfterWait(ctx context.Context, a *Attempt, stallsBefore int64) outcome.Reason {
	switch {
	case o.guard.StallCount() != stallsBefore || o.guard.Stalled() || !o.cfg.Now().Before(a.Deadline):
		return outcome.ReasonStalled
	case callerDisconnected(ctx):
		return outcome.ReasonCancelled
	}
	return ""
}

// accept enters the attempt in the ledger and returns its upstream, or nil and the
// refusal if the attempt may not run here.
func (o *Owner) accept(a *Attempt) (*localUpstream, outcome.Result) {
	if o.guard.Stalled() {
		return nil, outcome.Refuse(outcome.ReasonStalled, 0)
	}
	if !o.cfg.Now().Before(a.Deadline) {
		return nil, outcome.Refuse(outcome.ReasonDeadline, 0)
	}
	o.mu.Lock()
	loc := o.upstreams[a.Upstream]
	o.mu.Unlock()
	if loc == nil {
		return nil, outcome.Refuse(outcome.ReasonUpstreamRemoved, 0)
	}
	o.recallRateLimit(loc, a)
	if reason, ok := o.ledger.Receive(ledger.Attempt{ID: a.ID, Caller: a.Caller, IdempotencyKey: a.IdempotencyKey, Deadline: a.Deadline}); !ok {
		if reason == outcome.ReasonDuplicate {
			return nil, outcome.MayHaveRun(outcome.ReasonDuplicate, errors.New("duplicate request: an earlier copy of it was already received"))
		}
		return nil, outcome.Refuse(reason, outcome.MinRetryAfter)
	}
	if refusal, ok := o.admitRun(loc, a); !ok {
		o.ledger.Abandon(a.ID)
		return nil, refusal
	}
	return loc, outcome.Result{}
}

func (o *Owner) refused(a *Attempt, r outcome.Result) outcome.Result {
	o.cfg.Metrics.Refused.Inc(1)
	o.cfg.Events.Add(event.Event{Kind: event.CallRefused, Request: a.Request, Peer: a.Upstream, Detail: string(r.Reason)})
	return r
}

// withLoad returns the result with the load of the upstream and of the link.
func (o *Owner) withLoad(r outcome.Result, loc *localUpstream) outcome.Result {
	r.Load = o.withLinkWaits(loc.gate.Load())
	r.HasLoad = true
	r.RateLimit = loc.gate.Rate()
	return r
}

// withLinkWaits returns the load of an upstream with the waits for the link of this VM.
func (o *Owner) withLinkWaits(l outcome.Load) outcome.Load {
	l.Intake = o.intake.Wait()
	l.Egress = o.egress.Wait(l.Service)
	return l
}

// run sends the attempt to the upstream and records how the run ended.
func (o *Owner) run(ctx context.Context, loc *localUpstream, a *Attempt) outcome.Result {
	began := o.cfg.Now()
	p := o.running.begin(a, loc.gate)
	defer o.running.end(a)
	r := o.send(ctx, loc, a, began)
	o.recordRun(loc, a, p, began, r)
	return r
}

// send sends the attempt to the upstream.
func (o *Owner) send(ctx context.Context, loc *localUpstream, a *Attempt, began time.Time) outcome.Result {
	res, err := loc.pool.do(ctx, o.upstreamRequest(loc, a), func(req *http.Request, connWait time.Duration) outcome.Reason {
		return o.recheckBeforeSend(ctx, req, a, connWait)
	}, func() string { return o.healthPathFor(loc, a) })
	if err != nil {
		return o.failed(ctx, loc, a, began, err)
	}
	r, refused := o.cfg.Dialect.refusal(res)
	o.observeRateLimit(loc, a, res.Header, began, refused)
	draining := o.observeDraining(loc, a, res.Header)
	if refused {
		// Nobody uses the body of an upstream's refusal.
		res.Body.Close()
		return o.withLoad(o.refuseAdmitted(loc, a, r), loc)
	}
	body := &answerBody{
		ReadCloser: o.confirmEnd(ctx, loc, a, res.Body),
		onReadEnd:  func(err error) { o.bodyReadEnded(ctx, loc, a, res.StatusCode, err) },
		onClose: func() {
			o.endAttempt(loc, a)
			loc.gate.Release(o.cfg.Now().Sub(began))
			o.ledger.Finish(a.ID)
		},
	}
	if o.cfg.Dialect.ReportedRequests != nil {
		if n, ok := o.cfg.Dialect.ReportedRequests(res.Header); ok {
			loc.gate.RecordRunning(n)
		}
	}
	o.observePace(loc, res.Header)
	o.cfg.Metrics.Started.Inc(1)
	took := o.cfg.Now().Sub(began)
	return outcome.Result{
		Outcome:   outcome.Answered,
		Status:    res.StatusCode,
		Header:    res.Header,
		Body:      body,
		Load:      o.withLinkWaits(loc.gate.LoadAfter(took)),
		HasLoad:   true,
		RateLimit: loc.gate.Rate(),
		Draining:  draining,
		Took:      took,
	}
}

// healthPathFor returns the path of the health check that confirms an ambiguous refusal of the attempt.
// It is "" if the attempt may run again, or if the upstream answers no health checks.
func (o *Owner) healthPathFor(loc *localUpstream, a *Attempt) string {
	v := o.view.Load()
	if route, ok := v.Match(a.Host, a.URL.Path); ok && route.Policy.MayRepeat(a.Method) {
		return ""
	}
	s := v.Services[loc.service]
	if s == nil || s.HealthPath == "" {
		return ""
	}
	o.cfg.Metrics.CheckedRefusals.Inc(1)
	if mayLog(o.cfg.Logger, &o.logLimit, o.cfg.Now(), "check refusal") {
		o.cfg.Logger.Debug().Str("step", "check refusal").Str("request", a.Request).Str("peer", a.Upstream).
			Msg("refusal without a request ID on a kept connection; confirming it by a health check")
	}
	return s.HealthPath
}

// failed returns the result of a request that got no response. The request is known not
// to have run only if no connection could be opened or if it was withheld before anything
// was sent; in all other cases it may have run.
func (o *Owner) failed(ctx context.Context, loc *localUpstream, a *Attempt, began time.Time, err error) outcome.Result {
	defer o.endAttempt(loc, a)
	err = errors.Wrapf(err, "call upstream %s at %s", a.Upstream, loc.addr)
	reason, unsent := withheldReason(err)
	if notSent(err) {
		reason, unsent = outcome.ReasonUnreachable, true
	}
	if unsent {
		if errors.Is(err, syscall.ECONNREFUSED) && loc.attempts.anyAbandoned() {
			// The senders of all attempts that ran there may have left, so that none has failed.
			o.detectCrash(ctx, loc, a.Upstream)
		}
		r := outcome.Refuse(reason, outcome.MinRetryAfter)
		r.Err = err
		return o.refuseAdmitted(loc, a, r)
	}
	loc.gate.Release(o.cfg.Now().Sub(began))
	o.ledger.Finish(a.ID)
	if ctx.Err() != nil {
		o.abandonAttempt(loc, a, began)
		o.logUnknown(loc, a, began, outcome.CancelReason(ctx), err)
		return outcome.MayHaveRun(outcome.CancelReason(ctx), err)
	}
	reason = o.diagnoseFailure(ctx, loc, a)
	o.logUnknown(loc, a, began, reason, err)
	loc.pool.closeIdle()
	return outcome.MayHaveRun(reason, err)
}

// diagnoseFailure distinguishes a crash of the upstream from a broken connection, and
// records the crash for the attempt's request.
func (o *Owner) diagnoseFailure(ctx context.Context, loc *localUpstream, a *Attempt) outcome.Reason {
	latest := o.detectCrash(ctx, loc, a.Upstream)
	if latest.n == 0 {
		return outcome.ReasonBroken
	}
	o.cfg.Metrics.CrashedAttempts.Inc(1)
	o.recordCrash(a, latest)
	return outcome.ReasonCrashed
}

// detectCrash returns the crash of the upstream if it has crashed, or else the zero value. It
// records a new crash for the attempts whose senders had left.
func (o *Owner) detectCrash(ctx context.Context, loc *localUpstream, upstream string) crash {
	loc.attempts.expire(o.cfg.Now())
	culprit := func() suspect.Digest { return loc.attempts.culprit(o.cfg.Suspects) }
	latest, first := loc.crashes.detect(ctx, loc.pool, o.cfg.Now, culprit)
	if !first {
		return latest
	}
	o.cfg.Metrics.UpstreamCrashes.Inc(1)
	o.cfg.Logger.Warn().Str("step", "upstream-ended").Str("peer", upstream).Uint64("end", latest.n).
		Int("in_flight", loc.gate.Load().InFlight).Stringer("culprit", latest.culprit).Msg("upstream crashed: its address refuses connections")
	o.recordAbandoned(loc, upstream, latest)
	return latest
}

// logUnknown logs an attempt whose outcome is unknown.
func (o *Owner) logUnknown(loc *localUpstream, a *Attempt, began time.Time, reason outcome.Reason, err error) {
	if !mayLog(o.cfg.Logger, &o.logLimit, o.cfg.Now(), "run") {
		return
	}
	l := loc.gate.Load()
	o.cfg.Logger.Info().Str("step", "run").Str("request", a.Request).Stringer("digest", a.digest()).Str("peer", a.Upstream).
		Str("outcome", string(outcome.Unknown)).Str("reason", string(reason)).Int64("took_ms", o.cfg.Now().Sub(began).Milliseconds()).
		Int64("left_ms", a.Deadline.Sub(o.cfg.Now()).Milliseconds()).Int("in_flight", l.InFlight).Int("queued", l.Queued).
		Err(err).Msg("attempt ended without a response")
}

func (o *Owner) upstreamRequest(loc *localUpstream, a *Attempt) *http.Request {
	req := newRequest(a, loc.addr)
	d := o.cfg.Dialect
	set(req.Header, d.Request, a.Request)
	set(req.Header, d.Caller, a.Caller)
	if a.Workspace != "" {
		set(req.Header, d.Workspace, a.Workspace)
	}
	set(req.Header, d.Depth, strconv.Itoa(a.Depth))
	if loc.process != "" {
		set(req.Header, d.ExpectedInstance, loc.process)
	}
	return req
}

// idleConnWaitMax is the longest time that taking an idle connection from the pool takes.
// After a wait no longer than this, the caller's connection is not checked again: it was
// checked just before.
const idleConnWaitMax = time.Millisecond

// recheckBeforeSend is called once the request has a connection, after waiting connWait
// for it. It returns the reason why the request must not be sent any more; otherwise it
// sets the timeout header to the time left now.
func (o *Owner) recheckBeforeSend(ctx context.Context, req *http.Request, a *Attempt, connWait time.Duration) outcome.Reason {
	left := a.Deadline.Sub(o.cfg.Now())
	switch {
	case left <= 0:
		return outcome.ReasonDeadline
	case connWait > idleConnWaitMax && callerDisconnected(ctx):
		return outcome.ReasonCancelled
	}
	set(req.Header, o.cfg.Dialect.Timeout, strconv.FormatInt(left.Milliseconds(), 10))
	o.cfg.Metrics.Sent.Inc(1)
	return ""
}

// newRequest returns the HTTP request that carries an attempt to the address.
func newRequest(a *Attempt, addr string) *http.Request {
	url := *a.URL
	url.Scheme = "http"
	url.Host = addr
	req := &http.Request{
		Method: a.Method, URL: &url, Host: a.Host, Header: maps.Clone(a.Header),
		ContentLength: int64(a.Body.Len()),
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	switch {
	case a.Body.Len() >= outcome.LongBody:
		req.Body = a.Body.newReader()
	case a.Body.Len() > 0:
		// net/http writes a body that it knows to be in memory together with the headers.
		req.Body = io.NopCloser(bytes.NewReader(a.Body.joined()))
	}
	return req
}

// bodyReadEnded is called once with the error that ended the reading of a response's
// body. A complete response may clear its request as a suspect; a truncated one may mean
// that the upstream crashed.
func (o *Owner) bodyReadEnded(ctx context.Context, loc *localUpstream, a *Attempt, status int, err error) {
	switch {
	case err == io.EOF:
		o.recordAnswer(a, status)
	case ctx.Err() == nil:
		o.diagnoseFailure(ctx, loc, a)
	}
}
