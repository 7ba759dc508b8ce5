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

// TestSlowOneWithRoomBeforeFullOne has a fast upstream refuse all calls beside a slow one
// that takes them: callers are better served late than not. Pattern: a third of the
// upstreams took more than twice as long, and stood half idle while others refused.
func TestSlowOneWithRoomBeforeFullOne(t *testing.T) {
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
	need := Need{Urgency: config.Normal, Objective: 300 * time.Millisecond, Took: 150 * time.Millisecond}
	var picked int
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		u, _, ok := p.Pick(s, need)
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
	t.Logf("%d of 100 calls went to the one with room", picked)
	is.True(picked >= 80)
}

// TestRefusalsAreForgotten has an owner refuse for a while: it is then taken to be like the
// others of its service, which know no refusals.
func TestRefusalsAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New("d", 0, func() time.Time { return now }, 1)
	full, other := view.Upstream{ID: "a", Service: "s"}, view.Upstream{ID: "b", Service: "s"}
	answered := outcome.Result{Outcome: outcome.Answered, Status: 200}
	for range 20 {
		p.Observe(full, config.Normal, outcome.Refuse(outcome.ReasonOverload, time.Millisecond))
	}
	is.True(p.refused("s", p.stats["a"], config.Normal, now) > 0.9)
	is.True(p.refused("s", p.stats["a"], config.Background, now) > 0.9)
	is.Equal(p.refused("s", p.stats["a"], config.Critical, now), 0.0) // it may have room for those
	for range 200 {
		p.Observe(other, config.Normal, answered)
	}
	now = now.Add(4 * roomMemory)
	is.True(p.refused("s", p.stats["a"], config.Normal, now) < 0.05)
	is.True(p.refused("s", nil, config.Normal, now) < 0.05) // one that is not known
}
