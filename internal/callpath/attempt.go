// Package callpath forwards calls from a caller to the ingress daemon, from there to the
// daemon that owns an upstream, and on to the upstream, and returns the response the same
// way.
//
// Only the owner counts an upstream's slots and connections and decides whether an
// attempt starts. It is therefore the only daemon that can say that an attempt did not
// run.
package callpath

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/comfreygate/comfreygate/internal/admission"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/suspect"
)

// Headers between callers and daemons.
const (
	HeaderCaller       = "Comfrey-Caller"
	HeaderKey          = "Comfrey-Key"
	HeaderWorkspaceKey = "Comfrey-Workspace-Key"
	HeaderWorkspace    = "Comfrey-Workspace"
	HeaderRequest      = "Comfrey-Request-Id"
	HeaderTimeout      = "Comfrey-Timeout-Ms"
	HeaderDepth        = "Comfrey-Depth"
	HeaderOutcome      = "Comfrey-Outcome"
	HeaderReason       = "Comfrey-Reason"
	HeaderRetryAfter   = "Comfrey-Retry-After-Ms"
	HeaderVersion      = "Comfrey-Version"
	// HeaderRateLimit holds an upstream's rate limit, in requests per second. Upstreams state
	// it in responses; daemons exchange it with attempts and their results.
	HeaderRateLimit = "Comfrey-Rate-Limit"
	// HeaderDraining is present if an upstream is draining. Upstreams state it in responses,
	// and owners pass it on with the results of attempts.
	HeaderDraining = "Comfrey-Draining"
	// HeaderPace holds how long work takes on an upstream's VM at this moment, as a multiple of
	// the usual time. Upstreams report it in responses; owners send the Pace of the load in it, unless
	// that is 1.
	HeaderPace   = "Comfrey-Pace"
	headerPrefix = "Comfrey-"
	// headerIdempotency is the conventional header for an idempotency key, under which a
	// caller repeats a request.
	headerIdempotency = "Idempotency-Key"
)

// Headers between daemons.
const (
	headerAttempt     = "Comfrey-Attempt"
	headerUpstream    = "Comfrey-Upstream"
	headerIncarnation = "Comfrey-Incarnation"
	headerUrgency     = "Comfrey-Urgency"
	// headerNested is present on nested calls. Its value is
	// Attempt.ParentServedPermille.
	headerNested = "Comfrey-Nested"
	// headerFlow holds Attempt.Flow if that differs from the workspace.
	headerFlow = "Comfrey-Flow"
	// headerRepeated is present if Attempt.Repeated is set.
	headerRepeated = "Comfrey-Repeated"
	// headerLeft is the time left until the deadline, in microseconds. It is a duration
	// because the clocks of two VMs differ.
	headerLeft = "Comfrey-Left-Us"
	// headerSent is the sender's boot time at which the attempt was sent, in
	// microseconds.
	headerSent = "Comfrey-Sent-Us"
	// headerObjective is the time left until the objective, in microseconds. It may be
	// negative.
	headerObjective = "Comfrey-Objective-Us"
	headerLoad      = "Comfrey-Load"
	// headerTook is how long the upstream took to respond, in microseconds. It is sent
	// while a version is being rolled out.
	headerTook = "Comfrey-Took-Us"
	// headerAnswerBytes holds Attempt.AnswerBytes if that is not zero.
	headerAnswerBytes = "Comfrey-Answer-Bytes"
	// headerEgress is how long a long response would wait for the link of the owner's VM, in
	// microseconds. It is absent if the response would not wait.
	headerEgress = "Comfrey-Egress-Us"
	// headerAnyHost is present if the route matches requests for any host.
	headerAnyHost = "Comfrey-Any-Host"
	// headerSuspect holds the suspect.Record of a request that was running at an upstream
	// when it crashed. It is sent in both directions.
	headerSuspect = "Comfrey-Suspect"
	// headerClock holds the sender's logical clock, so that in the merged timeline of
	// events an action of an ingress comes before its effects at the owner.
	headerClock = "Comfrey-Clock"
)

// Attempt is one attempt to run a call at one upstream.
type Attempt struct {
	// ID is unique across all attempts. The owner runs an ID at most once.
	ID      string
	Request string
	Caller  string
	// Workspace is the name of the workspace whose key the caller presented, or empty.
	Workspace string
	// Flow is the name under which the attempt takes turns where attempts queue: the
	// workspace of the call or, for a nested call, the Flow of its parent request.
	Flow     string
	Upstream string
	// Incarnation is the owner's incarnation, as the ingress knows it.
	Incarnation uint64
	Urgency     config.Urgency
	Deadline    time.Time
	// Objective is the time by which the response should arrive, or zero if the route has
	// no objective.
	Objective time.Time
	// TypicalLatency is how long calls of the route usually take, as measured at the
	// ingress.
	TypicalLatency time.Duration
	// AnswerBytes is the expected size of the response in bytes if it is long, and zero
	// otherwise.
	AnswerBytes int
	// Nested is set if an upstream makes the call for a request that it is running, the
	// parent request.
	Nested bool
	// ParentServedPermille is the recently served fraction, in permille, of the calls at the
	// parent request's upstream that are not nested. It is set on nested calls only.
	ParentServedPermille int
	// WaitFraction is the result of Dialect.waitFraction for Request. It is set on nested
	// calls only.
	WaitFraction float64
	// parent is the request that makes a nested call; nil if the call is not nested. It is
	// set at the ingress only.
	parent *parentRequest
	// RateLimit is the upstream's rate limit in requests per second, as far as the ingress
	// knows; zero: none. An owner that has just started knows none itself.
	RateLimit float64
	// Repeated is set if an upstream may already have received the call or its parent
	// request: the nested calls of a repeated run count as repeats at their upstreams
	// too.
	Repeated bool
	// Retry is set if the ingress has made an attempt of the call before. It is not sent to the
	// owner.
	Retry bool
	// Repeatable is set if the call may run more than once.
	Repeatable bool
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	Depth          int
	Method         string
	// URL holds the path and query.
	URL  *url.URL
	Host string
	// AnyHost is set if the route matches requests for any host. Host then only says at
	// which address the caller reached a daemon.
	AnyHost bool
	Header  http.Header
	Body    *Body
	// cachedDigest is the digest of the request, or zero until digest is first called.
	cachedDigest suspect.Digest
}

// senderIncarnation returns the part of the attempt ID that identifies the sender's
// incarnation. An ID consists of that part, a dash and a number.
func (a *Attempt) senderIncarnation() string {
	return a.ID[:max(0, strings.LastIndexByte(a.ID, '-'))]
}

// digest returns the digest that all copies of the attempt's request share. Only the
// goroutine that runs the attempt may call it; others call computeDigest.
func (a *Attempt) digest() suspect.Digest {
	if a.cachedDigest == 0 {
		a.cachedDigest = a.computeDigest()
	}
	return a.cachedDigest
}

// computeDigest computes the digest of the request without caching it.
func (a *Attempt) computeDigest() suspect.Digest {
	host := a.Host
	if a.AnyHost {
		host = ""
	}
	return suspect.Of(a.Caller, a.Method, host, a.URL.EscapedPath(), a.URL.RawQuery, a.Body.parts()...)
}

// permille converts a fraction to the integer that is sent in a header.
const permille = 1000

// setRateLimitHeader sets the header of an upstream's rate limit unless there is none.
func setRateLimitHeader(h http.Header, perSecond float64) {
	if perSecond > 0 {
		h.Set(HeaderRateLimit, strconv.FormatFloat(perSecond, 'f', -1, 64))
	}
}

// rateLimitHeader returns the rate limit in a message between daemons; zero: none.
func rateLimitHeader(h http.Header) float64 {
	perSecond, ok := ParseRateLimit(h.Get(HeaderRateLimit))
	if !ok || perSecond == admission.Unlimited {
		return 0
	}
	return perSecond
}

// setClockHeader sets the clock header to the logical clock of this daemon's events.
func setClockHeader(h http.Header, events *event.Ring) {
	h.Set(headerClock, strconv.FormatInt(events.Clock().Now(), 10))
}

// observeClock advances the logical clock of this daemon's events past the clock in the
// message.
func observeClock(h http.Header, events *event.Ring) {
	if clock, err := strconv.ParseInt(h.Get(headerClock), 10, 64); err == nil {
		events.Clock().Observe(clock)
	}
}
