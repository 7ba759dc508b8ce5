package callpath

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/admission"
)

// statedLimit is the rate limit that an upstream states in its responses, in requests per
// second. It is safe for concurrent use.
type statedLimit struct {
	// apply puts a changed limit in force. It is called with the mutex held, so that changes
	// are applied in the order in which they are recorded.
	apply func(perSecond float64)

	mu sync.Mutex
	// perSecond is admission.Unlimited while the upstream states no limit.
	perSecond float64
	// since is when the current limit was recorded.
	since time.Time
	// answered is set once the upstream has responded to a request of this process.
	answered bool
}

func newStatedLimit(apply func(perSecond float64)) *statedLimit {
	return &statedLimit{apply: apply, perSecond: admission.Unlimited}
}

// observe records the limit that a response states to a request sent at sentAt. It returns
// the previous limit and whether the limit changed. A higher limit counts only if the
// request was sent after the current limit was recorded: the upstream may have begun to
// send that response before it lowered its limit.
func (l *statedLimit) observe(now, sentAt time.Time, perSecond float64) (previous float64, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered = true
	previous = l.perSecond
	if perSecond == previous || perSecond > previous && sentAt.Before(l.since) {
		return previous, false
	}
	l.change(now, perSecond)
	return previous, true
}

// recall records the limit that another daemon knows of, unless the upstream has responded
// since this process started. It reports whether the limit changed.
func (l *statedLimit) recall(now time.Time, perSecond float64) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answered || perSecond >= l.perSecond {
		return false
	}
	l.change(now, perSecond)
	return true
}

// reset forgets the limit, when another incarnation of the upstream starts.
func (l *statedLimit) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered = false
	l.change(time.Time{}, admission.Unlimited)
}

func (l *statedLimit) change(now time.Time, perSecond float64) {
	l.perSecond, l.since = perSecond, now
	l.apply(perSecond)
}

// current returns the limit in force.
func (l *statedLimit) current() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.perSecond
}

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
		o.logRateLimit(o.cfg.Logger.Warn(), a, loc.limit.current(), "upstream stated a malformed rate limit; the previous one stays in force")
		return
	}
	if previous, changed := loc.limit.observe(o.cfg.Now(), sentAt, perSecond); changed {
		o.rateLimitChanged(a, previous, perSecond, "upstream changed its rate limit")
	}
}

// recallRateLimit records the rate limit of the attempt's upstream that the sender of the
// attempt knows of.
func (o *Owner) recallRateLimit(loc *localUpstream, a *Attempt) {
	if a.RateLimit > 0 && loc.limit.recall(o.cfg.Now(), a.RateLimit) {
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
		if limit := loc.limit.current(); limit != admission.Unlimited {
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
