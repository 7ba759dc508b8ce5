package callpath

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/boottime"
	"github.com/comfreygate/comfreygate/internal/freshness"
	"github.com/comfreygate/comfreygate/internal/limits"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// maxLinesPerSecond limits the log lines of one kind. At 350 bytes a line, a daemon
// writes at most 70 KB per second of each kind, however many calls it refuses.
const maxLinesPerSecond = 200

// lineLimit limits the rate of log lines of one kind. It is safe for concurrent use.
type lineLimit struct {
	mu         sync.Mutex
	second     int64
	lines      int
	suppressed int
}

// allow reports whether a line may be written now. On the first call in a second it also
// returns how many lines were suppressed since the previous report.
func (l *lineLimit) allow(now time.Time) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.lines = s, 0
		suppressed, l.suppressed = l.suppressed, 0
	}
	if l.lines >= maxLinesPerSecond {
		l.suppressed++
		return false, suppressed
	}
	l.lines++
	return true, suppressed
}

// mayLog reports whether a line of this kind may be written. It also logs how many
// earlier ones were suppressed.
func mayLog(logger zerolog.Logger, l *lineLimit, now time.Time, step string) bool {
	ok, suppressed := l.allow(now)
	if suppressed > 0 {
		logger.Warn().Str("step", step).Int("suppressed", suppressed).Msg("log lines of this kind were suppressed by the log rate limit")
	}
	return ok
}

// callFields adds the fields that identify a call, and those on which decisions about it
// are based.
func (in *Ingress) callFields(e *zerolog.Event, c *call, r outcome.Result) *zerolog.Event {
	e = e.Str("request", c.attempt.Request).Str("outcome", string(r.Outcome)).Str("reason", string(r.Reason)).
		Uint64("version", in.view.Load().Version)
	if c.route != nil {
		e = e.Str("route", c.route.Name).Str("urgency", c.attempt.Urgency.String()).
			Int64("left_ms", c.attempt.Deadline.Sub(in.cfg.Now()).Milliseconds()).Stringer("digest", c.attempt.digest())
	}
	if c.attempt.Nested {
		e = e.Bool("nested", true)
	}
	if c.attempt.Workspace != "" {
		e = e.Str("workspace", c.attempt.Workspace)
	}
	if limit, ok := limits.LimitOf(in.view.Load(), c.attempt.Workspace); ok && r.Reason == outcome.ReasonOverLimit {
		e = e.Float64("limit_rate", limit.Rate).Float64("limit_burst", limit.Burst).Bool("returning", c.returning())
	}
	if c.service != nil {
		e = e.Str("service", c.service.Name).Int("upstreams", len(c.service.Upstreams))
	}
	if r.HasLoad {
		e = e.Int("in_flight", r.Load.InFlight).Int("queued", r.Load.Queued).Int("slots", r.Load.Slots).
			Dur("service_time", r.Load.Service)
	}
	return e
}

// logRefusal logs why a call gets no response from an upstream.
func (in *Ingress) logRefusal(c *call, r outcome.Result) {
	if !mayLog(in.cfg.Logger, &in.refusalLogLimit, in.cfg.Now(), "refuse") {
		return
	}
	e := in.callFields(in.cfg.Logger.Info(), c, r)
	if c.route == nil {
		e = in.noRouteFields(e, c)
	}
	e.Int("status", statusOf(r)).
		Int64("retry_after_ms", r.RetryAfter.Milliseconds()).Str("step", "refuse").Err(r.Err).Msg("call refused")
}

// maxLoggedBytes is the maximum length of a host or a path in a log line, in bytes.
// Callers may send values of any length.
const maxLoggedBytes = 96

// noRouteFields adds the host and path of a call that matched no route, how long the
// configuration without such a route has been in force here, and how long ago it was last
// known to be the newest. The query is left out, because it may contain secrets.
func (in *Ingress) noRouteFields(e *zerolog.Event, c *call) *zerolog.Event {
	e = e.Str("host", truncate(c.attempt.Host)).Str("path", truncate(c.attempt.URL.Path))
	if since := in.view.Load().Since; !since.IsZero() {
		e = e.Int64("in_force_ms", in.cfg.Now().Sub(since).Milliseconds())
	}
	if confirmed := freshness.Timestamp(in.confirmedAt.Load()); confirmed > 0 {
		e = e.Int64("checked_ms", confirmed.Age(boottime.Now()).Milliseconds())
	}
	return e
}

func truncate(s string) string { return s[:min(len(s), maxLoggedBytes)] }

// logRetry logs why a call is retried at another upstream.
func (in *Ingress) logRetry(c *call, u view.Upstream, r outcome.Result) {
	if !mayLog(in.cfg.Logger, &in.retryLogLimit, in.cfg.Now(), "retry") {
		return
	}
	in.callFields(in.cfg.Logger.Info(), c, r).Str("step", "retry").Str("peer", u.ID).Str("upstream_version", u.Version).Int("status", r.Status).Err(r.Err).
		Msg("attempt failed, retrying at another upstream")
}
