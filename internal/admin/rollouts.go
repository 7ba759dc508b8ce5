package admin

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/api"
	"github.com/comfreygate/comfreygate/internal/agent"
	"github.com/comfreygate/comfreygate/internal/lang"
	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/platform/store"
)

// rollouts shows the latest rollout of each service, with the call results that it is
// judged by. Only the roots of the distribution tree, which judge it, have these; other
// daemons show zeros.
func rollouts(s snapshot) result {
	r := result{columns: []string{"service", "target", "order", "phase", "age", "of", "share", "new", "others", "why"}}
	for _, service := range slices.Sorted(maps.Keys(s.world.Rollouts)) {
		ro := s.world.Rollouts[service]
		age := s.now.Sub(ro.Since)
		tally := ro.Tally()
		r.add(service, ro.Target, formatVersion(ro.ID), ro.Phase.String(), age.Truncate(time.Second).String(), ro.Duration.String(),
			s.share(ro.Record, ro.StopReason, age), formatCount(tally.Sum(true)), formatCount(tally.Sum(false)), cmp.Or(ro.Why, ro.StopReason, "-"))
	}
	return r
}

// share returns the percentage of calls that the new version may get at present.
func (s snapshot) share(r rollout.Record, stopReason string, age time.Duration) string {
	switch {
	case r.Phase == rollout.Reverted || stopReason != "":
		return "0%"
	case r.Phase != rollout.Trying:
		return "100%"
	}
	plan := s.world.Plan(r.Duration)
	target, others := s.world.UpstreamsOf(r.Service, r.Target)
	canaries := plan.ActiveCanaries(len(plan.ChooseCanaries(target, others)), others)
	return fmt.Sprintf("%.1f%%", 100*plan.Share(age, canaries, others))
}

func formatCount(c rollout.Count) string {
	return fmt.Sprintf("%d answers, %d failed, %d of %d slow", c.N, c.Failed, c.Slow, c.Timed)
}

// orderRollout orders a rollout.
func (h *handler) orderRollout(r *lang.Rollout) *api.Answer {
	message := fmt.Sprintf("rollout of %s to %s within %v ordered; watch it with: show rollouts %s", r.Service, r.Target, r.Duration, r.Service)
	return h.rolloutAnswer("rollout", message, h.agent.OrderRollout(r.Service, r.Target, r.Duration))
}

// abortRollout aborts a service's rollout.
func (h *handler) abortRollout(service string) *api.Answer {
	message := fmt.Sprintf("rollout of %s aborted; check with: show rollouts %s", service, service)
	return h.rolloutAnswer("abort-rollout", message, h.agent.AbortRollout(service))
}

// rolloutAnswer returns the answer to the order or the abort of a rollout that ended with
// err. Errors other than a refusal leave open whether the order was stored, so that its
// status is unknown. The message says what was done if it was accepted.
func (h *handler) rolloutAnswer(id, message string, err error) *api.Answer {
	out := api.Outcome{CommandID: id, Status: api.OutcomeStatusAccepted}
	var refused *agent.RefusedError
	switch {
	case errors.As(err, &refused) || store.IsOffsetConflict(err):
		out.Status = api.OutcomeStatusRejected
	case err != nil:
		out.Status = api.OutcomeStatusUnknown
	}
	if err != nil {
		out.Reason = api.NewOptString(err.Error())
	} else {
		out.Message = api.NewOptString(message)
	}
	return &api.Answer{Kind: api.AnswerKindOutcome, Version: int64(h.agent.CurrentConfig().Version), Outcome: api.NewOptOutcome(out)}
}
