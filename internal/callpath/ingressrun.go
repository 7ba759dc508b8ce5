package callpath

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/pick"
	"github.com/comfreygate/comfreygate/internal/retry"
	"github.com/comfreygate/comfreygate/internal/view"
)

// run tries upstreams until one answers, none is left, the outcome is unknown and the
// call must not be repeated, or the retry policy, the retry budget or the time is
// exhausted.
func (in *Ingress) run(ctx context.Context, c *call) outcome.Result {
	in.retries.Earn(in.retryCall(c))
	if c.attempt.Repeated {
		in.retries.ChargeRepeat(c.service.Name)
	}
	var attempts retry.Attempts
	for {
		if !in.cfg.Now().Before(c.attempt.Deadline) {
			return attempts.OutOfTime()
		}
		if refusal, isQuarantined := quarantined(in.cfg.Suspects, &c.attempt, in.cfg.Now()); isQuarantined {
			in.cfg.Metrics.Quarantined.Inc(1)
			return attempts.Exhausted(refusal)
		}
		u, refusal, ok := in.next(c, &attempts)
		if !ok {
			return attempts.Exhausted(refusal)
		}
		c.attempt.Repeated = c.attempt.Repeated || attempts.Reached()
		c.attempt.Retry = len(attempts.Upstreams()) > 0
		attempts.Add(u.ID, u.Domain, in.try(ctx, c, u))
		if ctx.Err() != nil || in.callsCtx.Err() != nil || !in.mayRetry(c, &attempts) {
			return attempts.Best()
		}
		in.cfg.Metrics.Retries.Inc(1)
		in.cfg.Events.Add(event.Event{
			Kind: event.CallRetried, Request: c.attempt.Request, Service: c.service.Name,
			Peer: u.ID, Detail: string(attempts.Last().Reason),
		})
		in.logRetry(c, u, attempts.Last())
	}
}

// next returns the upstream for the next attempt. A call with an idempotency key goes to
// the upstream that the hash of the key selects, whichever daemon it enters at, so that
// the owner of that upstream sees every copy.
func (in *Ingress) next(c *call, attempts *retry.Attempts) (view.Upstream, outcome.Result, bool) {
	if c.attempt.IdempotencyKey == "" {
		criteria := in.criteria(c, attempts)
		if crashCount(in.cfg.Suspects, &c.attempt) > 0 {
			criteria.AffinityKey = c.attempt.digest().String()
		}
		return in.pick(c, criteria)
	}
	if len(attempts.Upstreams()) > 0 {
		// The owner of another upstream would not know of the copies sent to the first.
		return view.Upstream{}, outcome.Refuse(outcome.ReasonOverload, outcome.MinRetryAfter), false
	}
	target := pick.Rendezvous(c.service.Upstreams, c.attempt.Caller+"\x00"+c.attempt.IdempotencyKey)
	if target == nil {
		return view.Upstream{}, outcome.Refuse(outcome.ReasonNoUpstream, pick.DefaultRetryAfter), false
	}
	only := &view.Service{Service: c.service.Service, Upstreams: []view.Upstream{*target}}
	return in.picker.Pick(only, in.criteria(c, attempts))
}

// pick selects an upstream from the part of the service that this call goes to during a
// rollout. Only a first attempt may go to the new version, so that a call fails because
// of it at most once.
func (in *Ingress) pick(c *call, criteria pick.Criteria) (view.Upstream, outcome.Result, bool) {
	split := c.service.Split
	if split == nil {
		return in.picker.Pick(c.service, criteria)
	}
	now := in.cfg.Now()
	if len(criteria.Tried) == 0 {
		if trial := split.Trial(now); trial != nil {
			if u, refusal, ok := in.picker.Pick(trial, criteria); ok {
				return u, refusal, ok
			}
		}
	}
	u, refusal, ok := in.picker.Pick(c.service, criteria)
	if fallback := split.Fallback(now); !ok && fallback != nil {
		return in.picker.Pick(fallback, criteria)
	}
	return u, refusal, ok
}

// recordForRollout counts an attempt as evidence for or against a version that is being
// rolled out.
func (in *Ingress) recordForRollout(c *call, u view.Upstream, r outcome.Result) {
	if split := c.service.Split; split != nil && r.Ran() {
		split.Note(in.cfg.Now(), view.CallResult{
			Route: c.route.Name, Upstream: u, Failed: r.Outcome != outcome.Answered || retry.UpstreamFailed(r), Took: r.Took,
		})
	}
}

// bytesPerMB converts CrossDomainCost from megabytes to bytes.
const bytesPerMB = 1e6

// defaultObjectiveDivisor divides a policy's timeout to give the objective of a policy
// that sets none.
const defaultObjectiveDivisor = 4

// objectiveOf returns the objective of a policy or, if it sets none, a part of its timeout.
func objectiveOf(p config.Policy) time.Duration {
	return cmp.Or(p.Objective, p.Timeout/defaultObjectiveDivisor)
}

// criteria returns what the attempt requires of an upstream, estimated from recent calls
// of its route. It also sets the attempt's TypicalLatency and AnswerBytes.
func (in *Ingress) criteria(c *call, attempts *retry.Attempts) pick.Criteria {
	objective := objectiveOf(c.route.Policy)
	criteria := pick.Criteria{
		Urgency:   in.rankUrgency(&c.attempt),
		Objective: objective,
		Body:      c.attempt.Body.Len(),
		Tried:     attempts.Upstreams(),
		RefusedIn: attempts.RefusedIn(),
	}
	criteria.Bytes, criteria.TypicalLatency = in.picker.Expect(c.route.Name, c.attempt.Body.Len(), objective)
	c.attempt.TypicalLatency = criteria.TypicalLatency
	criteria.Answer = in.picker.ExpectAnswer(c.route.Name)
	c.attempt.AnswerBytes = 0
	if criteria.Answer >= outcome.LongBody {
		c.attempt.AnswerBytes = criteria.Answer
	}
	return criteria
}

// rankUrgency returns the urgency by which the picker learns and predicts refusals. Where
// load control is in force, gates admit nested calls before all direct ones, so that a
// refused direct call is no reason to expect that a nested one is refused.
func (in *Ingress) rankUrgency(a *Attempt) config.Urgency {
	if a.Nested && in.view.Load().Controls(config.NestedFirst) {
		return config.MostUrgent
	}
	return a.Urgency
}

// countOtherDomain counts an attempt if its upstream is in another failure domain.
func (in *Ingress) countOtherDomain(u view.Upstream, r outcome.Result) {
	if u.Domain == in.cfg.Domain {
		return
	}
	in.cfg.Metrics.OtherDomain.Inc(1)
	if r.RefusedForCapacity() {
		in.cfg.Metrics.OtherDomainRefused.Inc(1)
	}
}

// try makes one attempt at the upstream.
func (in *Ingress) try(ctx context.Context, c *call, u view.Upstream) outcome.Result {
	a := c.attempt
	a.ID = fmt.Sprintf("%s-%d", in.incarnationID, in.attempts.Add(1))
	a.Upstream = u.ID
	a.Incarnation = u.Incarnation
	a.RateLimit = in.picker.RateLimit(u.ID)
	began := in.cfg.Now()
	var r outcome.Result
	if u.Local {
		ctx = c.localCtx
		r = in.owner.execute(ctx, &a)
	} else {
		r = in.remote.send(ctx, u, &a)
	}
	if r.Outcome == outcome.Answered {
		var size int
		r, size = bufferAnswer(ctx, in.cfg.Memory, r)
		if r.Outcome == outcome.Answered {
			in.picker.RecordAnswer(c.route.Name, size, in.cfg.Now().Sub(began))
		}
	}
	in.recordAttemptPressure(c, u, r)
	in.countOtherDomain(u, r)
	in.recordForRollout(c, u, r)
	in.picker.Observe(u, in.rankUrgency(&a), r)
	if r.Draining && in.picker.SetDraining(u) {
		logDraining(in.cfg.Logger, a.Upstream, a.Request)
	}
	if r.Outcome == outcome.Answered {
		r.Body = &answerBody{ReadCloser: r.Body, onClose: func() { in.picker.Finished(u) }}
	} else {
		in.picker.Finished(u)
	}
	if r.OwnerDown {
		in.markOwnerDown(u, r.OwnerSilent)
	}
	if r.Err != nil {
		in.cfg.Logger.Debug().Str("step", "attempt").Str("peer", u.Daemon).Str("request", a.Request).
			Str("outcome", string(r.Outcome)).Err(r.Err).Msg("attempt failed")
	}
	return r
}
