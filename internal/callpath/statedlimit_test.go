package callpath

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// TestRateLimitOutlivesAChangeOfConnections: a configuration that allows an upstream another
// number of connections does not make its owner forget the upstream's rate limit.
func TestRateLimitOutlivesAChangeOfConnections(t *testing.T) {
	is := is.New(t)
	w := newWorker(t, "w", 4, 0, event.NewRing("vm", event.NewClock(time.Now), 16), NewMetrics(metrics.NewRegistry()))
	update := func(connections int) *localUpstream {
		w.owner.Update(&view.View{Locals: []table.Local{{Upstream: wire.Upstream{ID: "w", Service: "s", Slots: 4}, Addr: "127.0.0.1:1", Conns: connections}}})
		return w.owner.upstreams["w"]
	}
	update(8).limit.Observe(time.Now(), time.Now(), 30)
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
	update("first").limit.Observe(began, began, 30)
	is.Equal(update("first").gate.Rate(), 30.0)
	second := update("second")
	is.Equal(second.gate.Rate(), 0.0)
	is.True(second.limit.Recall(began, 20)) // it has not answered yet
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
