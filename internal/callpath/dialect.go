package callpath

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreygate/comfreygate/internal/admission"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// Dialect names the headers that callers and upstreams use. An empty name means that they
// have no such header.
type Dialect struct {
	// Request holds the caller's request ID, in requests and responses.
	Request string
	// Timeout holds how long the sender will wait, in milliseconds.
	Timeout string
	// Caller names the caller to upstreams.
	Caller string
	// Key holds the key of the caller's workspace. The ingress does not forward it.
	Key string
	// Workspace names the workspace to upstreams.
	Workspace string
	// Depth holds the number of ingress daemons that a call has passed through.
	Depth string
	// ExpectedInstance names the process that a request is meant for. Another
	// process that has taken over the address responds with StatusMisdirectedRequest and
	// does not run the request.
	ExpectedInstance string
	// NotRun marks an upstream's response to a request that it has not run.
	NotRun string
	// ReportedRequests returns the number of requests, running and waiting, that an
	// upstream reports in a response; false: the response does not say. Nil: upstreams
	// never report it.
	ReportedRequests func(http.Header) (int, bool)
	// Pace returns how long work takes on an upstream's VM at this moment, as a multiple of the
	// usual time, if the upstream reports that in a response. False: the response does not say, or the
	// report is malformed. Nil: upstreams never report it.
	Pace func(http.Header) (float64, bool)
	// RateLimit returns the rate limit that an upstream states in a response: how many
	// requests per second it accepts from all daemons together, or admission.Unlimited if
	// the response states none. False: the statement is malformed. Nil: upstreams never
	// state a rate limit.
	RateLimit func(http.Header) (perSecond float64, ok bool)
	// Draining reports whether an upstream states in a response that it is draining. Nil:
	// upstreams never state it there.
	Draining func(http.Header) bool
	// EchoesRequestID is set if upstreams repeat Request in their responses. A response
	// with another ID then belongs to another request.
	EchoesRequestID bool
	// ParentRequest returns the ID of the parent request, for which an upstream made the
	// request with the given ID, or empty if the ID does not contain it. Nil: no ID does.
	ParentRequest func(request string) string
	// FractionalRetryAfter is set if callers accept fractions of a second in Retry-After.
	FractionalRetryAfter bool
}

// DefaultDialect returns the product's own headers.
func DefaultDialect() Dialect {
	return Dialect{
		Request: HeaderRequest, Timeout: HeaderTimeout, Caller: HeaderCaller, Key: HeaderWorkspaceKey, Workspace: HeaderWorkspace, Depth: HeaderDepth,
		Pace:      statedPace,
		RateLimit: func(h http.Header) (float64, bool) { return ParseRateLimit(h.Get(HeaderRateLimit)) },
		Draining:  func(h http.Header) bool { return h.Get(HeaderDraining) != "" },
	}
}

// ParseRateLimit parses a rate limit in requests per second: a decimal number from 0 on. An
// empty text is admission.Unlimited; any other text is malformed, and the result false.
func ParseRateLimit(text string) (perSecond float64, ok bool) {
	if text == "" {
		return admission.Unlimited, true
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return 0, false
	}
	return perSecond, true
}

// set sets a header unless the dialect has no name for it.
func set(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}

// waitFraction returns a number from 0 to 1 that is derived from the ID of the root
// request: it is the same for all calls, at any depth, that are made for one caller's
// request, and independent between requests. A gate lets a nested call without
// priority wait for this fraction of the allowed time, so that such calls of one request
// are refused together or not at all.
func (d Dialect) waitFraction(request string) float64 {
	if d.ParentRequest != nil {
		for parent := d.ParentRequest(request); parent != ""; parent = d.ParentRequest(request) {
			request = parent
		}
	}
	return float64(xxhash.Sum64String(request)) / math.MaxUint64
}

// retryAfter returns the value of a Retry-After header. RFC 9110, section 10.2.3, allows
// only whole seconds, so other values are rounded up unless callers accept fractions.
func (d Dialect) retryAfter(after time.Duration) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10)
}

// readRetryAfter parses a Retry-After header. It returns zero if there is none, or none
// in the permitted range.
func readRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > outcome.MaxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// refusal reports whether a response says that the upstream has not run the request, and
// returns the refusal.
func (d Dialect) refusal(res *http.Response) (outcome.Result, bool) {
	switch {
	case d.ExpectedInstance != "" && res.StatusCode == http.StatusMisdirectedRequest:
		return outcome.Refuse(outcome.ReasonMoved, 0), true
	case d.NotRun != "" && res.Header.Get(d.NotRun) != "":
		return outcome.Refuse(outcome.ReasonUpstreamRefused, readRetryAfter(res.Header)), true
	}
	return outcome.Result{}, false
}

// unnamed reports whether a response lacks the request ID that upstreams repeat.
func (d Dialect) unnamed(h http.Header) bool { return d.EchoesRequestID && h.Get(d.Request) == "" }

// foreign reports whether a response belongs to another request, or to none: a faulty upstream may
// send additional bytes after a response. A response without the request's ID belongs to this one
// only if it is a refusal, which some upstreams send without it.
func (d Dialect) foreign(req *http.Request, res *http.Response) bool {
	if !d.EchoesRequestID {
		return false
	}
	if d.unnamed(res.Header) {
		_, refused := d.refusal(res)
		return !refused
	}
	return !strings.EqualFold(res.Header.Get(d.Request), req.Header.Get(d.Request))
}
