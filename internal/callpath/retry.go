package callpath

import (
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/retry"
)

// retryCall returns what the retry policy needs to know of a call.
func (in *Ingress) retryCall(c *call) retry.Call {
	v := in.view.Load()
	return retry.Call{
		Service: c.service.Name, Nested: c.attempt.Nested,
		NestedFirst: v.Controls(config.NestedFirst), AvoidFutile: v.Controls(config.FutileRetries),
		Repeatable: c.attempt.Repeatable, MaxRetries: c.route.Policy.Retries, Deadline: c.attempt.Deadline,
	}
}

// mayRetry reports whether a call may be retried after its last attempt, and updates the
// metrics of retries.
func (in *Ingress) mayRetry(c *call, attempts *retry.Attempts) bool {
	d := in.retries.Decide(in.retryCall(c), attempts)
	if d.FoundRoom {
		in.cfg.Metrics.RetriesFoundRoom.Inc(1)
	}
	if d.OverBudget {
		in.cfg.Metrics.RetryDenied.Inc(1)
	}
	return d.Retry
}
