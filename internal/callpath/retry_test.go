package callpath

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/retry"
)

// TestUpstreamFailuresAreRetriedWithinTheirBudget lets all upstreams fail. A failed run
// has already made its nested calls, so that each retry here is multiplied at the
// services below. Retries after failures must stay within their share of the budget and
// its burst.
func TestUpstreamFailuresAreRetriedWithinTheirBudget(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, 8, time.Millisecond)
	for _, w := range r.workers {
		w.fail.Store(true)
	}
	r.method = http.MethodGet
	calls := len(r.offer(300, 2*time.Second, config.Normal))
	runs := 0
	for _, w := range r.workers {
		runs += int(w.runs.Load())
	}
	t.Logf("%d runs for %d calls", runs, calls)
	is.True(runs > calls) // some are retried
	is.True(float64(runs-calls) <= retry.FailureShare*rigRetryRatio*float64(calls)+retry.FailureBurst)
}
