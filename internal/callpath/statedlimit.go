package callpath

import (
	"math"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/admission"
)

// observeRateLimit records the rate limit that the upstream states in its response to the
// attempt, which was sent at sentAt. Only an answer from the upstream itself can say that there
// is no limit any more: a refusal, or a response that does not name the request, may come from
// a part of the upstream that knows of none.
func (o *Owner) observeRateLimit(loc *localUpstream, a *Attempt, h http.Header, sentAt time.Time, refused bool) {
	if o.cfg.Dialect.RateLimit == nil {
		return
	}
	perSecond, ok := o.cfg.Dialect.RateLimit(h)
	if perSecond == admission.Unlimited && (refused || o.cfg.Dialect.unnamed(h)) {
		return
	}
	if !ok {
		o.logRateLimit(o.cfg.Logger.Warn(), a, loc.limit.Current(), "upstream stated a malformed rate limit; the previous one stays in force")
		return
	}
	if previous, changed := loc.limit.Observe(o.cfg.Now(), sentAt, perSecond); changed {
		o.rateLimitChanged(a, previous, perSecond, "upstream changed its rate limit")
	}
}

// recallRateLimit records the rate limit of the attempt's upstream that the sender of the
// attempt knows of.
func (o *Owner) recallRateLimit(loc *localUpstream, a *Attempt) {
	if a.RateLimit > 0 && loc.limit.Recall(o.cfg.Now(), a.RateLimit) {
		o.rateLimitChanged(a, admission.Unlimited, a.RateLimit, "took over the rate limit that the sender of the attempt knows; the upstream has not answered yet")
	}
}

func (o *Owner) rateLimitChanged(a *Attempt, previous, perSecond float64, msg string) {
	o.cfg.Metrics.RateLimit.Update(o.totalRateLimit())
	o.logRateLimit(withRateLimit(o.cfg.Logger.Info(), "limit", perSecond), a, previous, msg)
}

// totalRateLimit returns the sum of the rate limits that the upstreams of this VM state.
func (o *Owner) totalRateLimit() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := 0.0
	for _, loc := range o.upstreams {
		if limit := loc.limit.Current(); limit != admission.Unlimited {
			total += limit
		}
	}
	return total
}

// logRateLimit logs what is learned about an upstream's rate limit, with the limit known
// before.
func (o *Owner) logRateLimit(e *zerolog.Event, a *Attempt, previous float64, msg string) {
	if !mayLog(o.cfg.Logger, &o.limitLogLimit, o.cfg.Now(), "upstream-limit") {
		return
	}
	withRateLimit(e, "previous", previous).Str("step", "upstream-limit").Str("peer", a.Upstream).Str("request", a.Request).Msg(msg)
}

// withRateLimit adds a rate limit to a log line, unless there is none.
func withRateLimit(e *zerolog.Event, key string, perSecond float64) *zerolog.Event {
	if math.IsInf(perSecond, 1) {
		return e
	}
	return e.Float64(key, perSecond)
}
