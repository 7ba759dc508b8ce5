package callpath

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/boottime"
	"github.com/comfreygate/comfreygate/internal/compress"
	"github.com/comfreygate/comfreygate/internal/crossdomain"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/ledger"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/view"
)

const (
	// ownerIdleTimeout is how long an idle connection to an owner is kept. Owners keep
	// theirs longer.
	ownerIdleTimeout = 60 * time.Second
	// ownerAckTimeout is how long data sent to an owner may stay unacknowledged. A VM that
	// is partitioned or has lost power acknowledges nothing, and without this limit calls
	// to it would wait until their deadline. Narrow links under load hold packets for half a
	// second.
	ownerAckTimeout = time.Second
	// maxOwnerHeadBytes bounds the head of an owner's response. The owner bounds the upstream's
	// headers, which are most of it, by its own settings.
	maxOwnerHeadBytes = 16 << 20
	// maxOwnerPools is the maximum number of owners to which connections are kept.
	maxOwnerPools = 2048
)

var (
	// errSilent is the cancellation cause of an attempt whose connection delivers nothing
	// and whose owner is not working on it or does not answer inquiries.
	errSilent = errors.New("connection is silent")
	// errOwnerSilent is the cancellation cause of an attempt whose owner sends nothing to any
	// attempt and does not answer inquiries.
	errOwnerSilent = errors.New("owner is silent")
	// errVoided is the cancellation cause of an attempt that its owner has voided.
	errVoided = errors.New("attempt voided by its owner")
)

// remote sends attempts to owners on other VMs. It is safe for concurrent use.
type remote struct {
	dialer       *net.Dialer
	inquireAfter time.Duration
	events       *event.Ring
	metrics      *Metrics
	// onOwnerUnreachable is called for the upstream of an attempt if its owner sends nothing
	// while it is asked about the attempt. silent is set if it merely did not respond in time.
	onOwnerUnreachable func(u view.Upstream, silent bool)
	// domain is the failure domain of this daemon, crossDomain counts the bytes to and from
	// others; nil: they are not counted.
	domain      string
	crossDomain *crossdomain.Counters
	// compressed counts the bytes of compressed connections; nil: they are not counted.
	compressed *compress.Metrics
	// suspects is the table of suspects that the whole daemon shares.
	suspects *suspect.Table
	// leaving is set while this daemon stops: it waits for the responses to its attempts as
	// long as it can, also if an owner is silent.
	leaving *atomic.Bool
	// callsCtx is cancelled when attempts must end because the process is about to exit.
	callsCtx context.Context
	// inquiryTransport opens a new connection for each inquiry, so that a silent one
	// cannot delay it.
	inquiryTransport *http.Transport

	// open counts the connections to all owners.
	open openConns

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
		onOwnerUnreachable: func(view.Upstream, bool) {},
		leaving:            new(atomic.Bool),
		owners:             map[string]*pool{},
	}
}

// countCrossDomain makes r count the bytes to and from failure domains other than this one.
func (r *remote) countCrossDomain(domain string, c *crossdomain.Counters) {
	r.domain = domain
	r.crossDomain = c
	r.inquiryTransport.DialContext = c.DialContext(r.dialer.DialContext)
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
	p = newPool(r.dialer, owner, 0, ownerIdleTimeout, Dialect{}, responseLimits{head: maxOwnerHeadBytes})
	p.unackedTimeout = ownerAckTimeout
	p.open = &r.open
	p.crossDomain = r.crossDomain
	p.compressed = r.compressed
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
	p.compress.Store(u.Compress)
	ctx, cancelCtx := context.WithCancelCause(ctx)
	stopHook := context.AfterFunc(r.callsCtx, func() { r.voidOnShutdown(ctx, cancelCtx, u, a) })
	cancel := func(cause error) {
		stopHook()
		cancelCtx(cause)
	}
	interval := r.inquiryInterval(a)
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	timer := time.AfterFunc(interval, func() { r.monitorAttempt(monitorCtx, cancel, u, a, interval) })
	res, err := p.doFor(ctx, r.purpose(u, a), r.ownerRequest(u, a), func(req *http.Request, waited time.Duration) outcome.Reason {
		return setTimeHeaders(ctx, req.Header, a, waited)
	}, nil)
	timer.Stop()
	stopMonitor()
	if err != nil {
		defer cancel(nil)
		return r.resolveFailure(ctx, p, u, a, err)
	}
	return r.parseResult(res, cancel)
}

// purpose returns the purpose for which the bytes of an attempt are counted.
func (r *remote) purpose(u view.Upstream, a *Attempt) crossdomain.Purpose {
	switch {
	case u.Domain == r.domain:
		return crossdomain.Uncounted
	case a.Retry:
		return crossdomain.Retries
	case a.Nested:
		return crossdomain.Nested
	}
	return crossdomain.Calls
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
	if a.AnswerBytes > 0 {
		h.Set(headerAnswerBytes, strconv.Itoa(a.AnswerBytes))
	}
	h.Set(HeaderDepth, strconv.Itoa(a.Depth))
	if a.AnyHost {
		h.Set(headerAnyHost, "1")
	}
	setSuspectHeader(h, r.suspects, a)
	if a.Body.Len() >= outcome.LongBody {
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
	out.Load.Egress = egressHeader(res.Header)
	out.Load.Pace = paceHeader(res.Header)
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
	case errors.Is(cause, errOwnerSilent):
		r.metrics.Silent.Inc(1)
		p.closeIdle()
		go r.voidAfterAnswer(context.WithoutCancel(ctx), u, a)
		out := lostConnection(outcome.ReasonBroken, errors.WithMessage(err, errOwnerSilent.Error()))
		out.OwnerDown, out.OwnerSilent = true, true
		return out
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
	if inquiryErr == nil && state == ledger.Voided {
		return r.voidedResult(err)
	}
	out := lostConnection(outcome.ReasonBroken, err)
	out.OwnerDown, out.OwnerSilent = inquiryErr != nil, timedOut(inquiryErr)
	return out
}

// lostConnection returns the result of an attempt that may have run, and whose owner has
// not confirmed that it did not.
func lostConnection(reason outcome.Reason, err error) outcome.Result {
	out := outcome.MayHaveRun(reason, err)
	out.Lost = true
	return out
}

// unsentResult returns the result of an attempt of which nothing was sent, or which the owner
// has rejected unread. False: err proves neither.
func unsentResult(ctx context.Context, err error) (outcome.Result, bool) {
	reason, withheld := withheldReason(err)
	out := outcome.Refuse(reason, outcome.MinRetryAfter)
	out.Err = err
	if withheld {
		return out, true
	}
	if errors.Is(err, compress.ErrNotAccepted) {
		// The owner has restarted as an earlier build and has read no request. The reason is the
		// one with which owners refuse attempts for an earlier incarnation.
		out.Reason, out.RetryAfter = outcome.ReasonUpstreamRemoved, 0
		return out, true
	}
	if !notSent(err) {
		return outcome.Result{}, false
	}
	switch cause := context.Cause(ctx); {
	case cause == nil || errors.Is(cause, errSilent) || errors.Is(cause, errOwnerSilent):
		out.Reason, out.RetryAfter, out.OwnerDown = outcome.ReasonUnreachable, 0, true
		out.OwnerSilent = cause != nil || timedOut(err)
	case errors.Is(cause, errStopping) || errors.Is(cause, errVoided):
		out.Reason, out.RetryAfter = outcome.ReasonDraining, restartRetryAfter
	default:
		out.Reason = outcome.CancelReason(ctx)
	}
	return out, true
}

// timedOut reports whether the error is a timeout.
func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// voidedResult returns the result of an attempt that its owner has voided.
func (r *remote) voidedResult(err error) outcome.Result {
	r.metrics.Voided.Inc(1)
	out := outcome.Refuse(outcome.ReasonVoided, 0)
	out.Err = err
	return out
}
