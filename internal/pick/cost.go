package pick

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// slopeCost is what an attempt costs that takes as long as the objective, on
// top of the chance that it comes late: of two upstreams that are both good
// enough, the faster one is taken, but not across failure domains.
const slopeCost = 0.05

// delayCost is what the time at the upstream costs as a part of a call's
// worth: nothing much while the objective is far, half where the expected time
// meets it, all beyond. A straight line would send calls across failure
// domains for milliseconds that nobody notices: that doubled the bytes.
func (p *Picker) delayCost(u *view.Upstream, n Need, usual typical, now time.Time) float64 {
	expected := float64(n.Took)*p.slowness(u, usual, now) + float64(p.bodyWait(u, n, now))
	part := expected / float64(max(n.Objective, time.Millisecond))
	late := part * part * part
	st := p.stats[u.ID]
	cost := late/(1+late) + slopeCost*part + p.roomCost(u.Service, st, n.Urgency, now)
	if st != nil {
		cost += errorCost * st.errors * st.errors
	}
	return cost
}

// bodyWait returns how long the body would wait for the link of the upstream's
// VM.
func (p *Picker) bodyWait(u *view.Upstream, n Need, now time.Time) time.Duration {
	st := p.stats[u.ID]
	if n.Body < outcome.LongBody || u.Local || st == nil {
		return 0
	}
	return max(0, st.load.Intake-now.Sub(st.loadAt))
}

// typical is the mean of the upstreams of a service that were heard of lately.
type typical struct {
	// service is their service time; zero: none was heard of.
	service time.Duration
	// share is the part of their slots that are busy.
	share float64
}

// typicalFor is how long a mean over a service's upstreams is used: it moves little
// within it, and looking at each of hundreds of upstreams for every call would cost
// more than all the rest of a choice.
const typicalFor = 100 * time.Millisecond

// typicalAt is a mean and when it was worked out.
type typicalAt struct {
	typical
	at time.Time
}

// typical returns the mean of a service's upstreams heard of lately.
func (p *Picker) typical(s *view.Service, now time.Time) typical {
	kept, ok := p.typicals[s.Name]
	if !ok || now.Sub(kept.at) >= typicalFor {
		kept = typicalAt{typical: p.meanOf(s, now), at: now}
		p.typicals[s.Name] = kept
	}
	return kept.typical
}

func (p *Picker) meanOf(s *view.Service, now time.Time) typical {
	var service time.Duration
	var share float64
	served, busy := 0, 0
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		st := p.stats[u.ID]
		if st == nil {
			continue
		}
		if now.Sub(st.loadAt) < serviceFresh {
			service += st.load.Service
			served++
		}
		if now.Sub(st.loadAt) < reportFresh {
			share += p.busyShare(u, st, now)
			busy++
		}
	}
	t := typical{service: service / time.Duration(max(1, served)), share: usualShare}
	if busy > 0 {
		t.share = share / float64(busy)
	}
	return t
}

// busyShare returns the part of an upstream's slots that are busy, as far as this
// daemon knows.
func (p *Picker) busyShare(u *view.Upstream, st *stats, now time.Time) float64 {
	slots := u.Slots
	if st.load.Slots > 0 && now.Sub(st.loadAt) < reportFresh {
		slots = min(slots, st.load.Slots)
	}
	return float64(p.busy(st, now)) / float64(max(1, slots))
}

// usualShare is the part of an upstream's slots that are busy on an ordinary
// minute: what a route's calls usually take includes the wait at that load.
const usualShare = 0.5

// slowness returns how much longer than usual an attempt would take at the
// upstream, as a multiple, for its own speed and its load. One whose load was not
// heard of lately counts as no less busy than the others: a daemon among hundreds
// hears of each every few seconds, and would else send its calls to those that it
// knows nothing of, across failure domains.
func (p *Picker) slowness(u *view.Upstream, usual typical, now time.Time) float64 {
	st := p.stats[u.ID]
	if st == nil {
		return (1 + usual.share) / (1 + usualShare)
	}
	speed := 1.0
	if now.Sub(st.loadAt) < serviceFresh && usual.service > 0 {
		speed = float64(st.load.Service) / float64(usual.service)
	}
	share := p.busyShare(u, st, now)
	if now.Sub(st.loadAt) >= reportFresh {
		share = max(share, usual.share)
	}
	return speed * (1 + share + 1/float64(max(1, u.Slots))) / (1 + usualShare)
}
