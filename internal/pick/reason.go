package pick

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// recordReason keeps the reason of a refusal that keeps calls away from the upstream.
func (st *stats) recordReason(r outcome.Result) {
	if r.Outcome != outcome.NotRun || r.RefusedAsSuspect() {
		return
	}
	if r.UpstreamUnavailable() || r.RefusedForCapacity() || r.Reason == outcome.ReasonUpstreamRefused {
		st.refusedFor = r.Reason
	}
}

// capacityReason returns the lack of capacity for which most owners keep the call away from
// their upstreams, and ReasonOverload if no owner named one.
func (p *Picker) capacityReason(s *view.Service, c Criteria, now time.Time) outcome.Reason {
	c.Tried = nil
	counts := map[outcome.Reason]int{}
	most := outcome.ReasonOverload
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		st := p.stats[u.ID]
		if st == nil || p.down[u.Owner] || p.isDraining(u) || p.usable(u, c, now) {
			continue
		}
		if !outcome.Refuse(st.refusedFor, 0).RefusedForCapacity() {
			continue
		}
		counts[st.refusedFor]++
		if counts[st.refusedFor] > counts[most] {
			most = st.refusedFor
		}
	}
	return most
}
