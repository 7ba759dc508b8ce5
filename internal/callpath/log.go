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

// linesPerSecond bounds the lines of one kind: at 350 bytes a line a daemon
// writes 70 KB a second at the most, however many calls it refuses.
const linesPerSecond = 200

// lineLimit counts the lines of one kind. Safe for concurrent use.
type lineLimit struct {
	mu         sync.Mutex
	second     int64
	lines      int
	suppressed int
}

// allow reports whether a line may be written now, and how many were left out
// in the seconds before, if this is the first since.
func (l *lineLimit) allow(now time.Time) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.lines = s, 0
		suppressed, l.suppressed = l.suppressed, 0
	}
	if l.lines >= linesPerSecond {
		l.suppressed++
		return false, suppressed
	}
	l.lines++
	return true, suppressed
}

// mayLog reports whether a line of the kind may be written, and says how many
// were left out.
func mayLog(logger zerolog.Logger, l *lineLimit, now time.Time, step string) bool {
	ok, suppressed := l.allow(now)
	if suppressed > 0 {
		logger.Warn().Str("step", step).Int("suppressed", suppressed).Msg("more lines of this kind were left out")
	}
	return ok
}

// callFields adds what identifies a call and what its decisions rest on.
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
	if limit, ok := limits.Of(in.view.Load(), c.attempt.Workspace); ok && r.Reason == outcome.ReasonOverLimit {
		e = e.Float64("limit_rate", limit.Rate).Float64("limit_burst", limit.Burst)
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

// logRefusal says why a call gets no upstream's answer.
func (in *Ingress) logRefusal(c *call, r outcome.Result) {
	if !mayLog(in.cfg.Logger, &in.refusalLines, in.cfg.Now(), "refuse") {
		return
	}
	e := in.callFields(in.cfg.Logger.Info(), c, r)
	if c.route == nil {
		e = in.placeFields(e, c)
	}
	e.Int("status", statusOf(r)).
		Int64("retry_after_ms", r.RetryAfter.Milliseconds()).Str("step", "refuse").Err(r.Err).Msg("call refused")
}

// maxPlace bounds what a line holds of a host or a path, in bytes: callers may send anything.
const maxPlace = 96

// placeFields adds what a call without a route asked for, how long the version that has no
// such route has been in force here, and when it was last known to be the newest. The query
// is left out: callers may put what is secret there.
func (in *Ingress) placeFields(e *zerolog.Event, c *call) *zerolog.Event {
	e = e.Str("host", cut(c.attempt.Host)).Str("path", cut(c.attempt.URL.Path))
	if since := in.view.Load().Since; !since.IsZero() {
		e = e.Int64("in_force_ms", in.cfg.Now().Sub(since).Milliseconds())
	}
	if stamp := freshness.Stamp(in.stamp.Load()); stamp > 0 {
		e = e.Int64("checked_ms", stamp.Age(boottime.Now()).Milliseconds())
	}
	return e
}

func cut(s string) string { return s[:min(len(s), maxPlace)] }

// logRetry says why a call goes to another upstream.
func (in *Ingress) logRetry(c *call, u view.Upstream, r outcome.Result) {
	if !mayLog(in.cfg.Logger, &in.retryLines, in.cfg.Now(), "retry") {
		return
	}
	in.callFields(in.cfg.Logger.Info(), c, r).Str("step", "retry").Str("peer", u.ID).Str("upstream_version", u.Version).Int("status", r.Status).Err(r.Err).
		Msg("attempt failed, trying another upstream")
}
