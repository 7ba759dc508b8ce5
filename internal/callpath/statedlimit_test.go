package callpath

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreygate/comfreygate/internal/admission"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// TestStatedLimitChanges: a lower limit counts at once. A higher one, or none, counts only in
// the response to a request that was sent after the current limit was stated: the upstream
// may have written an earlier response before it lowered its limit.
func TestStatedLimitChanges(t *testing.T) {
	is := is.New(t)
	applied := admission.Unlimited
	l := newStatedLimit(func(perSecond float64) { applied = perSecond })
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	observe := func(now, sentAt int, perSecond float64) bool {
		_, changed := l.observe(at(now), at(sentAt), perSecond)
		return changed
	}
	is.True(!observe(50, 0, admission.Unlimited)) // no limit yet
	is.True(observe(100, 0, 60))
	is.True(!observe(110, 50, admission.Unlimited)) // sent before the limit was known
	is.True(!observe(120, 99, 80))
	is.True(observe(130, 90, 40)) // lower
	is.Equal(l.current(), 40.0)
	is.True(observe(200, 140, 80))
	is.True(observe(300, 250, admission.Unlimited))
	is.Equal(l.current(), admission.Unlimited)
	is.Equal(applied, admission.Unlimited)
}

// TestLimitIsRecalledUntilTheUpstreamAnswers: a daemon that has just started takes the lowest
// limit that other daemons know of, until the upstream says itself what holds.
func TestLimitIsRecalledUntilTheUpstreamAnswers(t *testing.T) {
	is := is.New(t)
	l := newStatedLimit(func(float64) {})
	at := time.Unix(1000, 0)
	is.True(l.recall(at, 60))
	is.True(!l.recall(at, 80))
	is.True(l.recall(at, 40))
	_, changed := l.observe(at.Add(2), at.Add(1), 90)
	is.True(changed)
	is.True(!l.recall(at.Add(3), 10))
	is.Equal(l.current(), 90.0)
}

// TestRateLimitOutlivesAChangeOfConnections: a configuration that allows an upstream another
// number of connections does not make its owner forget the upstream's rate limit.
func TestRateLimitOutlivesAChangeOfConnections(t *testing.T) {
	is := is.New(t)
	w := newWorker(t, "w", 4, 0, event.NewRing("vm", event.NewClock(time.Now), 16), NewMetrics(metrics.NewRegistry()))
	update := func(connections int) *localUpstream {
		w.owner.Update(&view.View{Locals: []table.Local{{Upstream: wire.Upstream{ID: "w", Service: "s", Slots: 4}, Addr: "127.0.0.1:1", Conns: connections}}})
		return w.owner.upstreams["w"]
	}
	update(8).limit.observe(time.Now(), time.Now(), 30)
	is.Equal(update(8).gate.Rate(), 30.0)
	is.Equal(update(12).gate.Rate(), 30.0)
}

// TestNewIncarnationHasNoRateLimit guards against an upstream that is held to the limit of the
// process that ran at its address before. Nothing tells its owner otherwise until it answers,
// and at a low limit it would get hardly any requests to answer.
func TestNewIncarnationHasNoRateLimit(t *testing.T) {
	is := is.New(t)
	w := newWorker(t, "w", 4, 0, event.NewRing("vm", event.NewClock(time.Now), 16), NewMetrics(metrics.NewRegistry()))
	update := func(incarnation string) *localUpstream {
		w.owner.Update(&view.View{Locals: []table.Local{{
			Upstream: wire.Upstream{ID: "w", Service: "s", Slots: 4}, Incarnation: incarnation, Addr: "127.0.0.1:1", Conns: 8,
		}}})
		return w.owner.upstreams["w"]
	}
	began := time.Now()
	update("first").limit.observe(began, began, 30)
	is.Equal(update("first").gate.Rate(), 30.0)
	second := update("second")
	is.Equal(second.gate.Rate(), 0.0)
	is.True(second.limit.recall(began, 20)) // it has not answered yet
	is.Equal(second.gate.Rate(), 20.0)
}

// TestOnlyAnAnswerLiftsARateLimit: a refusal, and a response that does not name its request,
// lift no limit. A limit that they state counts.
func TestOnlyAnAnswerLiftsARateLimit(t *testing.T) {
	is := is.New(t)
	w := newWorker(t, "w", 4, 0, event.NewRing("vm", event.NewClock(time.Now), 16), NewMetrics(metrics.NewRegistry()))
	w.owner.cfg.Dialect.EchoesRequestID = true
	w.owner.Update(&view.View{Locals: []table.Local{{Upstream: wire.Upstream{ID: "w", Service: "s", Slots: 4}, Addr: "127.0.0.1:1", Conns: 8}}})
	loc, a := w.owner.upstreams["w"], &Attempt{Upstream: "w", Request: "r"}
	rateAfter := func(h http.Header, refused bool) float64 {
		w.owner.observeRateLimit(loc, a, h, time.Now(), refused)
		return loc.gate.Rate()
	}
	named := http.Header{HeaderRequest: {"r"}}
	is.Equal(rateAfter(http.Header{HeaderRateLimit: {"20"}}, true), 20.0)
	is.Equal(rateAfter(named, true), 20.0)
	is.Equal(rateAfter(http.Header{}, false), 20.0)
	is.Equal(rateAfter(http.Header{HeaderRequest: {"r"}, HeaderRateLimit: {"many"}}, false), 20.0)
	is.Equal(rateAfter(named, false), 0.0)
}
