package callpath

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/boottime"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/egress"
	"github.com/comfreygate/comfreygate/internal/intake"
	"github.com/comfreygate/comfreygate/internal/ledger"
	"github.com/comfreygate/comfreygate/internal/limits"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// Paths of inquiries about attempts at the owner's listener.
const (
	pathVoid    = "/.comfrey/void"
	pathAttempt = "/.comfrey/attempt"
)

// Inquiry is the message with which an ingress asks an owner about one of its attempts.
type Inquiry struct {
	Attempt     string `json:"attempt"`
	Incarnation uint64 `json:"inc"`
	// LeftMs is the time left until the attempt's deadline, in milliseconds.
	LeftMs int64 `json:"left_ms"`
}

// InquiryReply is the owner's reply to an Inquiry.
type InquiryReply struct {
	State ledger.State `json:"state"`
}

// maxInquiryBytes is the maximum size of the body of an inquiry and of its reply, in
// bytes.
const maxInquiryBytes = 4096

// ServeHTTP handles attempts and inquiries from ingress daemons and, at a limit
// coordinator, requests of other daemons about workspace limits. An attempt is recognized
// by its header, whatever its path: the path was chosen by the caller.
func (o *Owner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerAttempt) != "" {
		o.serveAttempt(w, r)
		return
	}
	switch r.URL.Path {
	case pathVoid:
		o.serveInquiry(w, r, func(q Inquiry) ledger.State {
			return o.ledger.TryVoid(q.Attempt, o.cfg.Now().Add(time.Duration(q.LeftMs)*time.Millisecond))
		})
	case pathAttempt:
		o.serveInquiry(w, r, func(q Inquiry) ledger.State { return o.ledger.State(q.Attempt) })
	case limits.PathReport, limits.PathLeases:
		if o.cfg.LimitCoordinator == nil {
			http.NotFound(w, r)
			return
		}
		o.cfg.LimitCoordinator.ServeHTTP(w, r)
	default:
		o.serveAttempt(w, r)
	}
}

// serveInquiry answers an inquiry about an attempt. It answers only for this incarnation:
// an earlier incarnation may have started attempts of which this one has no record.
func (o *Owner) serveInquiry(w http.ResponseWriter, r *http.Request, state func(Inquiry) ledger.State) {
	var q Inquiry
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxInquiryBytes)).Decode(&q)
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case !o.isOwnIncarnation(q.Incarnation):
		http.Error(w, "another incarnation", http.StatusConflict)
	default:
		w.Header().Set("Content-Type", "application/json")
		// If this fails, the ingress has disconnected; it treats the attempt's outcome as
		// unknown.
		_ = json.NewEncoder(w).Encode(InquiryReply{State: state(q)})
	}
}

// isOwnIncarnation reports whether an incarnation is that of this process: the one at its start, or the
// one to which it was raised.
func (o *Owner) isOwnIncarnation(incarnation uint64) bool {
	return incarnation == o.cfg.Incarnation || incarnation == o.view.Load().Incarnation
}

func (o *Owner) serveAttempt(w http.ResponseWriter, r *http.Request) {
	observeClock(r.Header, o.cfg.Events)
	a, err := parseAttempt(r, o.cfg.Now())
	if err != nil {
		o.writeResult(w, outcome.Result{Outcome: outcome.NotRun, Reason: outcome.ReasonBadRequest, Err: err})
		return
	}
	mergeSuspectHeader(r.Header, o.cfg.Suspects)
	o.deductTransitDelay(r.Header, a)
	if a.Nested {
		a.WaitFraction = o.cfg.Dialect.waitFraction(a.Request)
	}
	if !o.isOwnIncarnation(a.Incarnation) {
		o.writeResult(w, outcome.Refuse(outcome.ReasonUpstreamRemoved, 0))
		return
	}
	if o.leaving.Load() {
		o.writeResult(w, o.refused(a, outcome.Refuse(outcome.ReasonDraining, 0)))
		return
	}
	var ticket egress.Ticket
	defer func() { ticket.Cancel() }()
	defer func() { a.Body.release() }()
	res := o.receive(r, a, &ticket)
	if res.Outcome != outcome.Answered {
		setSuspectHeader(w.Header(), o.cfg.Suspects, a)
		o.writeResult(w, res)
		return
	}
	o.writeAnswer(r.Context(), w, res, ticket)
}

// deductTransitDelay shortens the attempt's deadline and objective by the time for which
// it was queued in transit: the sender gave the time left as of sending. The times of an
// attempt without a valid sent header are left as they are.
func (o *Owner) deductTransitDelay(h http.Header, a *Attempt) {
	us, err := strconv.ParseInt(h.Get(headerSent), 10, 64)
	if err != nil {
		return
	}
	excess := o.transit.Excess(a.senderIncarnation(), time.Duration(us)*time.Microsecond, boottime.Now())
	a.Deadline = a.Deadline.Add(-excess)
	if !a.Objective.IsZero() {
		a.Objective = a.Objective.Add(-excess)
	}
}

// receive accepts an attempt from another VM and runs it. An attempt whose response could
// not be sent in time is refused before its body is read. It is accepted first, since that
// detects a copy of an attempt that has run, which must not be reported as not run. A long
// body is requested from the sender only when its turn on the link has come and the
// upstream, by its current load, would admit the attempt. The caller must cancel the
// ticket, also after a panic.
func (o *Owner) receive(r *http.Request, a *Attempt, ticket *egress.Ticket) outcome.Result {
	stalls := o.guard.StallCount()
	loc, refusal := o.accept(a)
	if loc == nil {
		return o.refused(a, refusal)
	}
	if refusal, ok := o.reserveEgress(loc, a, ticket); !ok {
		o.ledger.Abandon(a.ID)
		return o.refused(a, refusal)
	}
	if refusal, ok := o.receiveBody(r, loc, a); !ok {
		o.ledger.Abandon(a.ID)
		return o.refused(a, o.withLoad(refusal, loc))
	}
	return o.admit(r.Context(), loc, a, stalls)
}

// receiveBody reads the attempt's body once it may be sent. The memory for a long one is taken before it
// is requested from the sender, which holds the whole body. If it returns false, the attempt is refused
// with the returned result.
func (o *Owner) receiveBody(r *http.Request, loc *localUpstream, a *Attempt) (outcome.Result, bool) {
	if r.ContentLength == 0 {
		return outcome.Result{}, true
	}
	account := o.cfg.Memory.Open()
	if r.ContentLength >= outcome.LongBody {
		if reason, after := loc.gate.Check(admissionRequest(a)); reason != "" {
			return outcome.Refuse(reason, after), false
		}
		if !account.Reserve(r.ContentLength) {
			return outcome.Refuse(outcome.ReasonMemory, memoryRetryAfter), false
		}
		if refusal, ok := o.awaitTurn(r, a); !ok {
			account.Close()
			return refusal, false
		}
	}
	body, err := receiveInto(account, r, math.MaxInt64, a.Deadline.Sub(o.cfg.Now()))
	if err != nil {
		return bodyRefusal(err), false
	}
	a.Body = body
	return outcome.Result{}, true
}

// awaitTurn waits until a long body may be sent over the link.
func (o *Owner) awaitTurn(r *http.Request, a *Attempt) (outcome.Result, bool) {
	reservation, after, ok := o.intake.Reserve(r.ContentLength, a.Deadline)
	if !ok {
		return outcome.Refuse(outcome.ReasonLink, after), false
	}
	if !o.awaitIntake(r.Context(), reservation) {
		return outcome.Refuse(outcome.ReasonCancelled, 0), false
	}
	return outcome.Result{}, true
}

// awaitIntake waits until a reserved body may be sent. False: ctx ended first, and the
// reservation is cancelled.
func (o *Owner) awaitIntake(ctx context.Context, r intake.Reservation) bool {
	wait := o.intake.Remaining(r)
	if wait <= 0 || pause(ctx, wait) {
		return true
	}
	o.intake.Cancel(r)
	return false
}

// parseAttempt parses an attempt from the headers of a request, without its body.
func parseAttempt(r *http.Request, now time.Time) (*Attempt, error) {
	h := r.Header
	a := &Attempt{
		ID: h.Get(headerAttempt), Request: h.Get(HeaderRequest), Caller: h.Get(HeaderCaller),
		Workspace: h.Get(HeaderWorkspace), Flow: cmp.Or(h.Get(headerFlow), h.Get(HeaderWorkspace)), Upstream: h.Get(headerUpstream), IdempotencyKey: h.Get(headerIdempotency),
		Method: r.Method, URL: r.URL, Host: r.Host,
	}
	var err error
	if a.Incarnation, err = strconv.ParseUint(h.Get(headerIncarnation), 10, 64); err != nil {
		return nil, errors.Wrap(err, headerIncarnation)
	}
	urgency, err := strconv.Atoi(h.Get(headerUrgency))
	if err != nil {
		return nil, errors.Wrap(err, headerUrgency)
	}
	a.Urgency = config.Urgency(urgency)
	if text := h.Get(headerNested); text != "" {
		a.Nested = true
		if a.ParentServedPermille, err = strconv.Atoi(text); err != nil {
			return nil, errors.Wrap(err, headerNested)
		}
	}
	a.Repeated = h.Get(headerRepeated) != ""
	if a.AnswerBytes, err = optionalInt(h.Get(headerAnswerBytes), 0); err != nil {
		return nil, errors.Wrap(err, headerAnswerBytes)
	}
	a.RateLimit = rateLimitHeader(h)
	a.AnyHost = h.Get(headerAnyHost) != ""
	left, err := strconv.ParseInt(h.Get(headerLeft), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, headerLeft)
	}
	a.Deadline = now.Add(time.Duration(left) * time.Microsecond)
	if text := h.Get(headerObjective); text != "" {
		left, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, errors.Wrap(err, headerObjective)
		}
		a.Objective = now.Add(time.Duration(left) * time.Microsecond)
	}
	if a.Depth, err = strconv.Atoi(h.Get(HeaderDepth)); err != nil {
		return nil, errors.Wrap(err, HeaderDepth)
	}
	a.Header = endToEndHeaders(h)
	return a, nil
}

// endToEndHeaders returns the headers without the Comfrey- headers and without those that
// apply to one connection only. See RFC 9110, section 7.6.1.
func endToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) && !hopByHop[name] {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}

var hopByHop = map[string]bool{
	"Connection": true, "Expect": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// writeResult writes a result other than an upstream's answer as the response to an ingress.
func (o *Owner) writeResult(w http.ResponseWriter, r outcome.Result) {
	o.setResultHeaders(w.Header(), r)
	h := w.Header()
	h.Set(HeaderReason, string(r.Reason))
	h.Set(HeaderRetryAfter, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	h.Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// setResultHeaders sets the headers that the responses to an ingress have for all results.
func (o *Owner) setResultHeaders(h http.Header, r outcome.Result) {
	if r.Outcome == outcome.Answered {
		for name, values := range endToEndHeaders(r.Header) {
			h[name] = values
		}
	}
	setClockHeader(h, o.cfg.Events)
	h.Set(HeaderOutcome, string(r.Outcome))
	if r.HasLoad {
		h.Set(headerLoad, r.Load.Encode())
		setEgressHeader(h, r.Load.Egress)
		setPaceHeader(h, r.Load.Pace)
	}
	setRateLimitHeader(h, r.RateLimit)
	if r.Draining {
		h.Set(HeaderDraining, "1")
	}
	if r.Took > 0 && o.rolloutActive.Load() {
		h.Set(headerTook, strconv.FormatInt(r.Took.Microseconds(), 10))
	}
}

// copyBody copies a response's body to w. If the body is truncated, the connection is
// aborted, so that the receiver cannot mistake a part of the body for all of it.
func copyBody(w http.ResponseWriter, body io.ReadCloser) {
	_, err := io.Copy(w, body)
	closeErr := body.Close()
	if err != nil || closeErr != nil {
		panic(http.ErrAbortHandler)
	}
}
