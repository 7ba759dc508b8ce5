package pick

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// linkRig returns a picker for a service with one upstream, and its clock.
func linkRig() (p *Picker, s *view.Service, at *time.Time) {
	now := time.Unix(1000, 0)
	p = New("d", 0, func() time.Time { return now }, 1)
	s = &view.Service{Service: config.Service{Name: "s"}, Upstreams: []view.Upstream{{ID: "u", Service: "s", Slots: 4, Owner: "o", Domain: "d"}}}
	return p, s, &now
}

// TestLinkRefusalConcernsOnlyLongMessages guards against an owner whose link is busy and
// that gets no calls at all: short responses do not wait for the link.
func TestLinkRefusalConcernsOnlyLongMessages(t *testing.T) {
	is := is.New(t)
	p, s, at := linkRig()
	p.Observe(s.Upstreams[0], config.Normal, outcome.Refuse(outcome.ReasonLink, 300*time.Millisecond))
	_, _, ok := p.Pick(s, Criteria{Urgency: config.Normal})
	is.True(ok) // a short call
	_, refusal, ok := p.Pick(s, Criteria{Urgency: config.Critical, Answer: outcome.LongBody})
	is.True(!ok)
	is.Equal(refusal.RetryAfter, 300*time.Millisecond)
	_, _, ok = p.Pick(s, Criteria{Urgency: config.Normal, Body: outcome.LongBody})
	is.True(!ok)
	*at = at.Add(300 * time.Millisecond)
	_, _, ok = p.Pick(s, Criteria{Urgency: config.Critical, Answer: outcome.LongBody})
	is.True(ok)
}

// TestOwnerBehindABusyLinkIsStillPicked guards against an owner that counts as unavailable
// because its packets wait behind its responses. A report of a wait counts for a second,
// so that an owner that is really lost is recognized.
func TestOwnerBehindABusyLinkIsStillPicked(t *testing.T) {
	for _, busy := range []bool{false, true} {
		is := is.New(t)
		p, s, at := linkRig()
		u := s.Upstreams[0]
		load := outcome.Load{Slots: 4}
		if busy {
			load.Egress = 50 * time.Millisecond
		}
		p.Observe(u, config.Normal, outcome.Result{Outcome: outcome.Answered, Status: 200, Load: load, HasLoad: true})
		is.Equal(p.LinkBusy(u), busy)
		silent := outcome.Refuse(outcome.ReasonUnreachable, 0)
		silent.OwnerDown, silent.OwnerSilent = true, true
		p.Observe(u, config.Normal, silent)
		_, _, ok := p.Pick(s, Criteria{Urgency: config.Normal})
		is.Equal(ok, busy)
		*at = at.Add(linkBusyMaxAge)
		is.True(!p.LinkBusy(u))
		p.Observe(u, config.Normal, silent)
		_, _, ok = p.Pick(s, Criteria{Urgency: config.Normal})
		is.True(!ok)
	}
}
