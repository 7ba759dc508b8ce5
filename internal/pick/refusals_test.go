package pick

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// TestSlowUpstreamIsPreferredToOneThatRefuses has a fast upstream refuse all calls next
// to a slow one that accepts them: a late answer is better than a refusal. In the case that
// it represents, a third of the upstreams took more than twice as long as the rest and
// stayed half idle while the others refused calls.
func TestSlowUpstreamIsPreferredToOneThatRefuses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New("d", 0, func() time.Time { return now }, 1)
	s := &view.Service{Service: config.Service{Name: "s"}}
	for i := range 2 {
		s.Upstreams = append(s.Upstreams, view.Upstream{ID: fmt.Sprint("u", i), Service: "s", Slots: 4, Domain: "d", Owner: fmt.Sprint("o", i)})
	}
	slow := s.Upstreams[1]
	load := func(service time.Duration, inFlight int) outcome.Load {
		return outcome.Load{InFlight: inFlight, Slots: 4, Service: service}
	}
	criteria := Criteria{Urgency: config.Normal, Objective: 300 * time.Millisecond, TypicalLatency: 150 * time.Millisecond}
	var picked int
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		u, _, ok := p.Pick(s, criteria)
		is.True(ok)
		r := outcome.Refuse(outcome.ReasonOverload, time.Millisecond)
		r.Load, r.HasLoad = load(80*time.Millisecond, 4), true
		if u.ID == slow.ID {
			picked++
			r = outcome.Result{Outcome: outcome.Answered, Status: 200, Load: load(200*time.Millisecond, 1), HasLoad: true}
		}
		p.Observe(u, config.Normal, r)
		p.Finished(u)
	}
	t.Logf("%d of 100 calls sent to the upstream that accepts them", picked)
	is.True(picked >= 80)
}

// TestRefusalRatesDecay has an owner refuse calls for a while. After some decay times it
// must count like the other owners of its service, which refuse none.
func TestRefusalRatesDecay(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New("d", 0, func() time.Time { return now }, 1)
	full, other := view.Upstream{ID: "a", Service: "s"}, view.Upstream{ID: "b", Service: "s"}
	answered := outcome.Result{Outcome: outcome.Answered, Status: 200}
	for range 20 {
		p.Observe(full, config.Normal, outcome.Refuse(outcome.ReasonOverload, time.Millisecond))
	}
	is.True(p.refusalRate(&view.Upstream{Service: "s"}, p.stats["a"], config.Normal, now) > 0.9)
	is.True(p.refusalRate(&view.Upstream{Service: "s"}, p.stats["a"], config.Background, now) > 0.9)
	is.Equal(p.refusalRate(&view.Upstream{Service: "s"}, p.stats["a"], config.Critical, now), 0.0) // more urgent calls may be accepted
	for range 200 {
		p.Observe(other, config.Normal, answered)
	}
	now = now.Add(4 * refusalDecayTime)
	is.True(p.refusalRate(&view.Upstream{Service: "s"}, p.stats["a"], config.Normal, now) < 0.05)
	is.True(p.refusalRate(&view.Upstream{Service: "s"}, nil, config.Normal, now) < 0.05) // an upstream without statistics
}

// TestRefusalRatesOfUnusedServicesExpire guards against refusal rates that are kept forever: a
// service that gets no more calls, or no longer exists, would count as one that refuses them.
func TestRefusalRatesOfUnusedServicesExpire(t *testing.T) {
	is := is.New(t)
	f := newPickerFixture("d")
	full := view.Upstream{ID: "full", Service: "unused"}
	for range 100 {
		f.Observe(full, config.Normal, outcome.Refuse(outcome.ReasonOverload, time.Millisecond))
	}
	is.True(f.refusalRate(&full, nil, config.Normal, f.at) > 0.8)
	f.at = f.at.Add(2 * statsRetention)
	_, _, ok := f.Pick(f.service, Criteria{Urgency: config.Normal})
	is.True(ok)
	is.Equal(f.refusalRate(&full, nil, config.Normal, f.at), 0.0)
	is.Equal(len(f.refusals), 0)
}
