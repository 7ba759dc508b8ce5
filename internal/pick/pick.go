package pick

import (
	"slices"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// Criteria describes the call for which an upstream is picked.
type Criteria struct {
	Urgency config.Urgency
	// Objective is the time within which the answer should arrive. upstreamCost says what
	// a later answer costs.
	Objective time.Duration
	// TypicalLatency is how long the route's calls usually take.
	TypicalLatency time.Duration
	// Body is the length of the request's body, in bytes.
	Body int
	// Answer is how many bytes the answer usually has.
	Answer int
	// Bytes is how many bytes are sent to the upstream's VM and back, uncompressed.
	Bytes int
	// AffinityKey, if not empty, determines the upstream: of those that may be tried, all
	// daemons pick the same one for a key, whatever it costs.
	AffinityKey string
	// Tried are the IDs of the upstreams that were tried for this call before. They are
	// not picked again.
	Tried []string
	// RefusedIn are the failure domains of the owners that refused this call for lack of
	// capacity, one entry for each owner.
	RefusedIn []string
}

const (
	// hopCost is the cost of the path to another VM as a fraction of a call's worth, for
	// the second daemon's processor time.
	hopCost = 0.01
	// maxCrossDomainCost is the most that the bytes of a call which is sent to another
	// failure domain may cost, as a multiple of the call's worth, while this daemon's
	// domain has reachable upstreams, even if those are full.
	maxCrossDomainCost = 1
)

// Pick returns an upstream that has not been tried yet and counts the attempt as
// outstanding: Observe and Finished must follow. If no upstream may be used now, the
// refusal carries the reason and the retry-after time.
func (p *Picker) Pick(s *view.Service, c Criteria) (u view.Upstream, refusal outcome.Result, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.expire(now)
	var best *view.Upstream
	if c.AffinityKey != "" {
		best = p.byAffinityKey(s, c, now)
	} else {
		best = p.cheapest(p.localityGroupsOf(s), c, p.meansOf(s, now), now)
	}
	if best == nil {
		return u, p.refusal(s, c, now), false
	}
	p.statsOf(best).outstanding++
	return *best, outcome.Result{}, true
}

// DefaultRetryAfter is the retry-after time where it is not known when an upstream will be
// available: by then one that is restarting or unreachable has been tried again.
const DefaultRetryAfter = time.Second

// refusal returns the reason why none of a service's upstreams can be used, with the time
// after which the first of those that sent a retry-after time may be tried again.
func (p *Picker) refusal(s *view.Service, c Criteria, now time.Time) outcome.Result {
	anyLeft, anyReachable, retryAfter := false, false, time.Duration(0)
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if p.isDraining(u) {
			continue
		}
		anyLeft = true
		if p.down[u.Owner] {
			continue
		}
		anyReachable = true
		if st := p.stats[u.ID]; st != nil {
			if wait, _ := st.avoidance(c, now); wait > 0 {
				retryAfter = minNonZero(retryAfter, wait)
			}
		}
	}
	switch {
	case !anyLeft:
		return outcome.Refuse(outcome.ReasonNoUpstream, DefaultRetryAfter)
	case !anyReachable:
		return outcome.Refuse(outcome.ReasonUnreachable, DefaultRetryAfter)
	case retryAfter == 0:
		return outcome.Refuse(outcome.ReasonOverload, DefaultRetryAfter)
	}
	return outcome.Refuse(p.capacityReason(s, c, now), max(retryAfter, outcome.MinRetryAfter))
}

// minNonZero returns the shorter of two times, ignoring zeros.
func minNonZero(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// cheapest returns the cheapest of the local upstream, two random ones of this failure
// domain and two of the other domains. Candidates are random because daemons that all
// picked the best known upstream would overload it until its next load report.
func (p *Picker) cheapest(groups *localityGroups, c Criteria, means serviceMeans, now time.Time) *view.Upstream {
	var best *view.Upstream
	least := 0.0
	consider := func(u *view.Upstream, pathCost float64) {
		cost := pathCost + p.upstreamCost(u, c, means, now)
		if best == nil || cost < least {
			best, least = u, cost
		}
	}
	if groups.local != nil && p.usable(groups.local, c, now) {
		consider(groups.local, 0)
	}
	for _, u := range p.twoUsable(groups.sameDomain, c, now) {
		consider(u, hopCost)
	}
	if p.domainBytesCost(c, groups.compressed) > maxCrossDomainCost && p.domainReachable(groups) {
		return best
	}
	for _, u := range p.twoUsable(groups.otherDomains, c, now) {
		cost := p.domainBytesCost(c, u.Compress)
		if cost > maxCrossDomainCost && p.domainReachable(groups) {
			continue
		}
		consider(u, hopCost+cost*p.contentionFactor(u, c, now))
	}
	return best
}

// domainBytesCost returns the cost of the bytes of a call that is sent to another failure domain.
func (p *Picker) domainBytesCost(c Criteria, compressed bool) float64 {
	bytes := c.Bytes
	if compressed {
		bytes -= headerBytes - CompressedHeaderBytes
	}
	return float64(max(0, bytes)) * p.byteCost
}

// byAffinityKey returns the upstream of the call's affinity key among those that may be
// tried now.
func (p *Picker) byAffinityKey(s *view.Service, c Criteria, now time.Time) *view.Upstream {
	var usable []view.Upstream
	for i := range s.Upstreams {
		if p.usable(&s.Upstreams[i], c, now) {
			usable = append(usable, s.Upstreams[i])
		}
	}
	return Rendezvous(usable, c.AffinityKey)
}

// usable reports whether the upstream may be tried now.
func (p *Picker) usable(u *view.Upstream, c Criteria, now time.Time) bool {
	if p.down[u.Owner] || p.isDraining(u) || slices.Contains(c.Tried, u.ID) {
		return false
	}
	st := p.stats[u.ID]
	return st == nil || !now.Before(st.avoidUntil[c.Urgency]) && st.linkWait(c, now) == 0
}

// maxDraws is how many upstreams are drawn at random to find two usable ones before the
// whole list is searched. With half of the upstreams of a long list unusable, about one
// selection in 28 searches the whole list.
const maxDraws = 8

// twoUsable returns two random upstreams of the list that may be tried now, or fewer if
// there are not two. Its cost does not grow with the list unless most upstreams are
// unusable.
func (p *Picker) twoUsable(list []*view.Upstream, c Criteria, now time.Time) []*view.Upstream {
	var two []*view.Upstream
	take := func(u *view.Upstream) bool {
		if !slices.Contains(two, u) && p.usable(u, c, now) {
			two = append(two, u)
		}
		return len(two) == 2
	}
	if len(list) > maxDraws {
		for range maxDraws {
			if take(list[p.rand.IntN(len(list))]) {
				return two
			}
		}
	}
	if len(list) == 0 {
		return nil
	}
	for i, offset := 0, p.rand.IntN(len(list)); i < len(list); i++ {
		if take(list[(offset+i)%len(list)]) {
			return two
		}
	}
	return two
}
