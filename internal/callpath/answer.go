package callpath

import (
	"net/http"
	"strconv"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// writeAnswer writes the upstream's response to the caller.
func writeAnswer(w http.ResponseWriter, r outcome.Result) {
	h := w.Header()
	for name, values := range endToEndHeaders(r.Header) {
		h[name] = values
	}
	h.Set(HeaderOutcome, string(outcome.Answered))
	w.WriteHeader(r.Status)
	copyBody(w, r.Body)
}

// refuse writes the final response to a call that no upstream answered, and records it in
// the metrics, the log and the event ring.
func (in *Ingress) refuse(w http.ResponseWriter, c *call, r outcome.Result) {
	kind := event.CallRefused
	in.cfg.Metrics.NotRun.Inc(1)
	if r.Outcome == outcome.Unknown {
		kind = event.CallUnknown
		in.cfg.Metrics.Unknown.Inc(1)
		in.cfg.Metrics.NotRun.Dec(1)
	}
	switch r.Reason {
	case outcome.ReasonOverLimit:
		in.cfg.Metrics.OverLimit.Inc(1)
	case outcome.ReasonUnknownKey:
		in.cfg.Metrics.UnknownKey.Inc(1)
	case outcome.ReasonStale:
		in.cfg.Metrics.Stale.Inc(1)
	}
	in.recordRefusedCall(c, r)
	in.logRefusal(c, r)
	in.cfg.Events.Add(event.Event{Kind: kind, Request: c.attempt.Request, Detail: string(r.Reason)})
	h := w.Header()
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderReason, string(r.Reason))
	status := statusOf(r)
	if r.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
		h.Set("Retry-After", in.cfg.Dialect.retryAfter(r.RetryAfter))
	}
	msg := string(r.Outcome) + ": " + string(r.Reason)
	if r.Reason == outcome.ReasonBadRequest && r.Err != nil {
		msg += ": " + r.Err.Error()
	}
	http.Error(w, msg, status)
}

// statusOf returns the HTTP status for a call that was not answered.
func statusOf(r outcome.Result) int {
	if r.Outcome == outcome.Unknown {
		switch r.Reason {
		case outcome.ReasonDeadline:
			return http.StatusGatewayTimeout
		case outcome.ReasonDuplicate:
			return http.StatusConflict
		}
		return http.StatusBadGateway
	}
	switch r.Reason {
	case outcome.ReasonNoRoute:
		return http.StatusNotFound
	case outcome.ReasonUnknownKey:
		return http.StatusUnauthorized
	case outcome.ReasonOverLimit:
		return http.StatusTooManyRequests
	case outcome.ReasonForbidden:
		return http.StatusForbidden
	case outcome.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.ReasonBadRequest:
		return http.StatusBadRequest
	case outcome.ReasonSlowBody:
		return http.StatusRequestTimeout
	case outcome.ReasonTooDeep:
		return http.StatusLoopDetected
	}
	return http.StatusServiceUnavailable
}
