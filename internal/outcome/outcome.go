// Package outcome defines the results of attempts to run a call at an upstream: the
// outcomes and reasons that daemons exchange, return to callers and log, and the load that
// an upstream's owner reports with them.
package outcome

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Kind is the outcome of a call.
type Kind string

// The outcomes, as returned to callers.
const (
	// Answered: the caller gets the upstream's complete answer.
	Answered Kind = "answered"
	// NotRun: no upstream has run the request, and none will.
	NotRun Kind = "not-run"
	// Unknown: the request may have run.
	Unknown Kind = "unknown"
)

// Reason is the code for why a call was not answered.
type Reason string

// The reasons.
const (
	ReasonNotReady Reason = "not-ready"
	ReasonNoRoute  Reason = "no-route"
	// ReasonNoService: the route has no service in the configuration in force.
	ReasonNoService Reason = "no-service"
	ReasonForbidden Reason = "caller-not-granted"
	// ReasonUnknownKey: the call needs a workspace's key, but has no valid one.
	ReasonUnknownKey Reason = "unknown-key"
	// ReasonStale: the daemon's configuration is too old to tell which keys are valid.
	ReasonStale Reason = "configuration-stale"
	// ReasonOverLimit: the call exceeds its workspace's rate limit.
	ReasonOverLimit       Reason = "over-limit"
	ReasonTooLarge        Reason = "body-too-large"
	ReasonBadRequest      Reason = "bad-request"
	ReasonTooDeep         Reason = "too-deep"
	ReasonNoUpstream      Reason = "no-upstream"
	ReasonUnreachable     Reason = "unreachable"
	ReasonDraining        Reason = "draining"
	ReasonUpstreamRemoved Reason = "upstream-gone"
	ReasonOverload        Reason = "overload"
	// ReasonUpstreamLimit: the upstream accepts no more requests per second.
	ReasonUpstreamLimit Reason = "upstream-limit"
	// ReasonLink: the body or the response would wait too long for the network link of the
	// owner's VM.
	ReasonLink Reason = "link-busy"
	// ReasonMemory: the daemon has no memory left for the body of the request.
	ReasonMemory Reason = "memory-full"
	// ReasonSlowBody: the body of the request had not arrived completely at the call's deadline.
	ReasonSlowBody Reason = "body-too-slow"
	// ReasonNestedOverload: the run would be useless, since nested calls of its route's runs
	// are being refused.
	ReasonNestedOverload Reason = "nested-overload"
	// ReasonUpstreamRefused: the upstream itself refused the request.
	ReasonUpstreamRefused Reason = "upstream-refused"
	// ReasonMoved: the process at the address is another upstream.
	ReasonMoved Reason = "upstream-moved"
	// ReasonQuarantined: the request is quarantined, since upstreams that ran it crashed.
	ReasonQuarantined Reason = "quarantined"
	// ReasonSuspectRunning: the request is a suspect, and a copy of it is running at the
	// upstream. Suspects run one copy at a time.
	ReasonSuspectRunning Reason = "being-tried"
	// ReasonOtherSuspect: the request is a suspect, and another suspect is running at the
	// upstream. If the two ran together and the upstream crashed, the cause could not be
	// determined.
	ReasonOtherSuspect Reason = "kept-apart"
	ReasonDeadline     Reason = "deadline"
	ReasonVoided       Reason = "voided"
	ReasonStalled      Reason = "daemon-stalled"
	ReasonDuplicate    Reason = "duplicate"
	ReasonBroken       Reason = "connection-broken"
	// ReasonCrashed: the upstream crashed while it ran the request.
	ReasonCrashed   Reason = "upstream-ended"
	ReasonCancelled Reason = "cancelled"
)

// Result is the result of an attempt.
type Result struct {
	Outcome Kind
	// Reason explains an outcome other than Answered.
	Reason Reason
	// RetryAfter is how long the caller should wait before a retry if Outcome is NotRun.
	RetryAfter time.Duration
	Load       Load
	HasLoad    bool
	// RateLimit is the rate limit that the upstream states, in requests per second; zero:
	// none.
	RateLimit float64
	// Draining is set if the upstream states that it is draining.
	Draining bool
	// Took is how long the upstream took to answer; zero if unknown.
	Took time.Duration
	// Status, Header and Body are the answer, if Outcome is Answered. The
	// receiver closes Body.
	Status int
	Header http.Header
	Body   io.ReadCloser
	// OwnerDown is set if the owner itself was unreachable.
	OwnerDown bool
	// OwnerSilent is set with OwnerDown if the owner did not respond in time, as opposed to
	// a refused connection or an answer that says that the daemon was restarted.
	OwnerSilent bool
	// Lost is set if the connection to the owner was lost, so that nothing is known of
	// the upstream.
	Lost bool
	// Err is the error behind an outcome other than Answered, for the log.
	Err error
}

// Refuse returns the result of an attempt that has not run and never will, with the time
// after which the caller may retry.
func Refuse(reason Reason, retryAfter time.Duration) Result {
	return Result{Outcome: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// MayHaveRun returns the result of an attempt that may have run.
func MayHaveRun(reason Reason, err error) Result {
	return Result{Outcome: Unknown, Reason: reason, Err: err}
}

// Reached reports whether an upstream may have received the request. If an owner refused
// it, the upstream did no work for it.
func (r Result) Reached() bool {
	return r.Outcome != NotRun || r.Reason == ReasonUpstreamRefused || r.Reason == ReasonMoved
}

// Ran reports whether the upstream is known to have received the request, or to have failed
// it by breaking the connection, crashing or not answering in time.
func (r Result) Ran() bool {
	switch {
	case r.Outcome == Answered:
		return true
	case r.Outcome != Unknown || r.Lost:
		return false
	}
	return r.Reason == ReasonBroken || r.Reason == ReasonCrashed || r.Reason == ReasonDeadline
}

// RefusedForCapacity reports whether the owner refused the attempt for lack of capacity at present.
func (r Result) RefusedForCapacity() bool {
	if r.Outcome != NotRun {
		return false
	}
	switch r.Reason {
	case ReasonOverload, ReasonUpstreamLimit, ReasonLink, ReasonMemory, ReasonOtherSuspect:
		return true
	}
	return false
}

// Starved reports whether a nested call with this result makes its parent's run useless: it
// was refused for lack of capacity, waited for capacity until its deadline, or found no
// upstream.
func (r Result) Starved() bool {
	if r.Outcome != NotRun {
		return false
	}
	return r.RefusedForCapacity() || r.UpstreamUnavailable() || r.Reason == ReasonNoUpstream || r.Reason == ReasonDeadline
}

// RefusedAsSuspect reports whether the attempt was refused because the request is a suspect,
// which says nothing about the state of the upstream.
func (r Result) RefusedAsSuspect() bool {
	return r.Outcome == NotRun && (r.Reason == ReasonQuarantined || r.Reason == ReasonSuspectRunning || r.Reason == ReasonOtherSuspect)
}

// UpstreamUnavailable reports whether the upstream accepts no calls at all, whatever their
// urgency.
func (r Result) UpstreamUnavailable() bool {
	switch r.Reason {
	case ReasonDraining, ReasonUpstreamRemoved, ReasonUnreachable, ReasonMoved:
		return true
	}
	return false
}

// MinRetryAfter and MaxRetryAfter bound the retry-after times of refused calls.
const (
	MinRetryAfter = 20 * time.Millisecond
	MaxRetryAfter = 10 * time.Second
)

// CancelReason returns the reason for an attempt that got no answer because its context
// was done.
func CancelReason(ctx context.Context) Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return ReasonDeadline
	}
	return ReasonCancelled
}
