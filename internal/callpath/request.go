package callpath

import (
	"cmp"
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/pick"
	"github.com/comfreygate/comfreygate/internal/view"
)

// call is a request from a caller.
type call struct {
	route *view.Route
	// service is the target of the route that was selected for this call.
	service *view.Service
	attempt Attempt
	// waited is how long the caller has probably waited already.
	waited time.Duration
	// localCtx is the context of attempts on this VM.
	localCtx context.Context
}

// releaseBody gives the memory of the call's body back. The call must not be run any more.
func (c *call) releaseBody() {
	c.attempt.Body.release()
	c.attempt.Body = nil
}

// parse checks a request against the view. If the returned call has no route, the result
// says why it is refused.
func (in *Ingress) parse(v *view.View, fresh bool, w http.ResponseWriter, r *http.Request, now time.Time) (call, outcome.Result) {
	c := call{attempt: Attempt{Request: in.requestID(r), Host: r.Host, URL: r.URL}}
	if !endHead(r) {
		w.Header().Set("Connection", "close")
		return c, outcome.Refuse(outcome.ReasonMemory, memoryRetryAfter)
	}
	if !v.Ready {
		return c, outcome.Refuse(outcome.ReasonNotReady, pick.DefaultRetryAfter)
	}
	route, ok := v.Match(r.Host, r.URL.Path)
	if !ok {
		return c, outcome.Refuse(outcome.ReasonNoRoute, 0)
	}
	name := cmp.Or(in.cfg.Caller, r.Header.Get(HeaderCaller))
	if !granted(route, name, r.Header.Get(HeaderKey)) {
		return c, outcome.Refuse(outcome.ReasonForbidden, 0)
	}
	if v.Keyed(route) && !fresh {
		return c, outcome.Refuse(outcome.ReasonStale, staleRetryAfter)
	}
	ws, ok := in.workspace(v, route, r)
	if !ok {
		return c, outcome.Refuse(outcome.ReasonUnknownKey, 0)
	}
	if len(route.Targets) == 0 {
		return c, outcome.Refuse(outcome.ReasonNoService, pick.DefaultRetryAfter)
	}
	depth, err := optionalInt(r.Header.Get(HeaderDepth), 0)
	if err != nil {
		return c, badRequest(errors.Wrap(err, HeaderDepth))
	}
	if depth >= maxDepth {
		return c, outcome.Refuse(outcome.ReasonTooDeep, 0)
	}
	timeout, err := in.callTimeout(route, r)
	if err != nil {
		return c, badRequest(err)
	}
	body, err := receiveBody(r, in.cfg.Memory, in.maxBody(v), timeout)
	if err != nil {
		w.Header().Set("Connection", "close")
		return c, bodyRefusal(err)
	}
	c.attempt = Attempt{
		Request: c.attempt.Request, Caller: name, Urgency: route.Policy.Urgency, Deadline: now.Add(timeout),
		Repeatable: route.Policy.MayRepeat(r.Method), IdempotencyKey: r.Header.Get(headerIdempotency),
		Depth: depth + 1, Method: r.Method, URL: r.URL, Host: r.Host, AnyHost: route.Host == "",
		Header: in.forwarded(r.Header), Body: body,
	}
	if ws != nil {
		c.attempt.Workspace, c.attempt.Flow = ws.Name, ws.Name
		c.attempt.Urgency = cmp.Or(ws.Urgency, c.attempt.Urgency)
	}
	in.inheritFromParent(&c.attempt)
	c.route = route
	c.waited = in.callerWait(&c, v, r)
	c.attempt.Objective = in.objective(&c, now)
	return c, outcome.Result{}
}

// objective returns the time by which the response should arrive, counted from when the
// caller first sent the request: a caller that retries after a refusal may already be
// late, and calls that can still be answered in time go first. Zero: the route has no
// objective.
func (in *Ingress) objective(c *call, now time.Time) time.Time {
	policy := c.route.Policy
	if policy.Objective == 0 {
		return time.Time{}
	}
	return now.Add(policy.Objective - c.waited)
}

// returningWait is the wait beyond which a call counts as returning: half of the shortest
// retry-after of a call over its limit.
const returningWait = 50 * time.Millisecond

// returning reports whether the caller has probably waited already, mostly after a refusal.
func (c *call) returning() bool { return c.waited > returningWait }

// callerWait returns how long a caller has probably waited already. It is zero for nested
// calls, whose timeout is the time that their parent has left.
func (in *Ingress) callerWait(c *call, v *view.View, r *http.Request) time.Duration {
	left, err := optionalMs(r.Header.Get(in.cfg.Dialect.Timeout), 0)
	if err != nil || left == 0 || c.attempt.Nested {
		return 0
	}
	if v.Controls(config.ReturningCalls) {
		return in.picker.EstimatedWaitBeyondSpread(c.route.Name, left)
	}
	return in.picker.EstimatedWait(c.route.Name, left, c.route.Policy.Timeout)
}

// maxBody returns the maximum size of a request body, in bytes.
func (in *Ingress) maxBody(v *view.View) int64 {
	if v.Limits.BodyBytes > 0 {
		return v.Limits.BodyBytes
	}
	return in.cfg.MaxBody
}

// badRequest returns a refusal of a malformed request.
func badRequest(err error) outcome.Result {
	r := outcome.Refuse(outcome.ReasonBadRequest, 0)
	r.Err = err
	return r
}

// maxRequestID is the maximum length of a request ID, in bytes. The ID of a call at the
// greatest depth may contain the IDs of all calls above it.
const maxRequestID = maxDepth * 64

// requestID returns the caller's request ID, or a new one if the caller sent none or one
// that is too long.
func (in *Ingress) requestID(r *http.Request) string {
	id := r.Header.Get(in.cfg.Dialect.Request)
	if id != "" && len(id) <= maxRequestID {
		return id
	}
	return uuid.NewString()
}

// granted reports whether the caller may use the route.
func granted(route *view.Route, name, key string) bool {
	if route.Open {
		return true
	}
	c, ok := route.Callers[name]
	if !ok {
		return false
	}
	if c.KeyHash == "" {
		return true
	}
	return subtle.ConstantTimeCompare([]byte(config.KeyHash(key)), []byte(c.KeyHash)) == 1
}

// callTimeout returns the timeout of the route's policy, or that of the caller if it is
// shorter.
func (in *Ingress) callTimeout(route *view.Route, r *http.Request) (time.Duration, error) {
	header := in.cfg.Dialect.Timeout
	timeout, err := optionalMs(r.Header.Get(header), route.Policy.Timeout)
	if err != nil {
		return 0, errors.Wrap(err, header)
	}
	return min(route.Policy.Timeout, timeout), nil
}

// optionalMs parses a duration in milliseconds, any number from 0 on, and returns absent
// for an empty string. Durations beyond the maximum timeout of a policy are reduced to
// it.
func optionalMs(s string, absent time.Duration) (time.Duration, error) {
	if s == "" {
		return absent, nil
	}
	ms, err := strconv.ParseFloat(s, 64)
	if err != nil || !(ms >= 0) {
		return 0, errors.Errorf("%q is not a number of milliseconds from 0 on", s)
	}
	return time.Duration(min(ms, float64(config.MaxTimeout.Milliseconds())) * float64(time.Millisecond)), nil
}

// optionalInt parses a whole number from 0 on and returns absent for an empty string.
func optionalInt(s string, absent int) (int, error) {
	if s == "" {
		return absent, nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return 0, errors.Errorf("%q is not a whole number from 0 on", s)
	}
	return n, nil
}
