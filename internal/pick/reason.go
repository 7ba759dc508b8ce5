package pick

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// recordReason keeps the reason of a refusal for which the upstream is avoided from now on.
func (st *stats) recordReason(r outcome.Result) {
	if r.UpstreamUnavailable() || r.RefusedForCapacity() || r.Reason == outcome.ReasonUpstreamRefused {
		st.refusedFor = r.Reason
	}
}

// avoidance returns for how long the owner asked to be sent no such call, and the reason.
func (st *stats) avoidance(c Criteria, now time.Time) (wait time.Duration, reason outcome.Reason) {
	wait = max(0, st.avoidUntil[c.Urgency].Sub(now))
	if link := st.linkWait(c, now); link > wait {
		return link, outcome.ReasonLink
	}
	return wait, st.refusedFor
}

// capacityReason returns the reason for which most owners are avoided for lack of capacity, and
// ReasonOverload if there is none.
func (p *Picker) capacityReason(s *view.Service, c Criteria, now time.Time) outcome.Reason {
	counts := map[outcome.Reason]int{}
	most := outcome.ReasonOverload
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		st := p.stats[u.ID]
		if st == nil || p.down[u.Owner] || p.isDraining(u) {
			continue
		}
		wait, reason := st.avoidance(c, now)
		if wait == 0 || !outcome.Refuse(reason, 0).RefusedForCapacity() {
			continue
		}
		counts[reason]++
		if counts[reason] > counts[most] {
			most = reason
		}
	}
	return most
}
