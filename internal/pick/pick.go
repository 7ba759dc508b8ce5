package pick

import (
	"slices"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// Need is what a call asks of the upstream that is picked for it.
type Need struct {
	Urgency config.Urgency
	// Objective is the time that an answer should take: a delay of that
	// length costs as much as the call is worth.
	Objective time.Duration
	// Took is how long the route's calls usually take.
	Took time.Duration
	// Body is the length of the request's body.
	Body int
	// Bytes is how much travels to the upstream's VM and back.
	Bytes int
	// Home, if not empty, is a key: of the upstreams that may be tried the same one is
	// picked for it by all daemons, whatever it costs.
	Home string
	// Tried are upstreams that are not picked again.
	Tried []string
}

const (
	// hopCost is what the way to another VM costs as a part of a call's
	// worth, for the second daemon's processor time.
	hopCost = 0.01
	// farLimit is how much of a call's worth bytes between failure domains
	// may cost while the own domain has upstreams, even if those are full.
	farLimit = 1
)

// Pick returns an upstream that was not tried yet and counts it as
// outstanding: Observe and Finished must follow. If none may be used now, the
// refusal says why, and when to come back.
func (p *Picker) Pick(s *view.Service, n Need) (u view.Upstream, refusal outcome.Result, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.expire(now)
	var best *view.Upstream
	if n.Home != "" {
		best = p.home(s, n, now)
	} else {
		best = p.cheapest(p.partition(s), n, p.typical(s, now), now)
	}
	if best == nil {
		return u, p.refusal(s, n, now), false
	}
	p.of(best).outstanding++
	return *best, outcome.Result{}, true
}

// UnknownAfter is when to come back where nothing tells when an upstream will be
// there: by then one that restarts or is out of reach was asked again.
const UnknownAfter = time.Second

// refusal says why none of a service's upstreams can be used, and when the first of
// those that asked to be left alone may be tried again.
func (p *Picker) refusal(s *view.Service, n Need, now time.Time) outcome.Result {
	reached, after := false, time.Duration(0)
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if p.down[u.Owner] {
			continue
		}
		reached = true
		if st := p.stats[u.ID]; st != nil && now.Before(st.avoidUntil[n.Urgency]) {
			after = sooner(after, st.avoidUntil[n.Urgency].Sub(now))
		}
	}
	switch {
	case len(s.Upstreams) == 0:
		return outcome.Refuse(outcome.ReasonNoUpstream, UnknownAfter)
	case !reached:
		return outcome.Refuse(outcome.ReasonUnreachable, UnknownAfter)
	case after == 0:
		return outcome.Refuse(outcome.ReasonOverload, UnknownAfter)
	}
	return outcome.Refuse(outcome.ReasonOverload, max(after, outcome.MinRetryAfter))
}

// sooner returns the shorter of two times, of which a zero does not count.
func sooner(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// cheapest returns the best of the own upstream, two random ones of the own
// failure domain and two of the others. Random ones, because daemons that all
// took the best known would meet there until the next report of its load.
func (p *Picker) cheapest(part *partition, n Need, usual typical, now time.Time) *view.Upstream {
	var best *view.Upstream
	least := 0.0
	consider := func(u *view.Upstream, way float64) {
		cost := way + p.delayCost(u, n, usual, now)
		if best == nil || cost < least {
			best, least = u, cost
		}
	}
	if part.own != nil && p.usable(part.own, n, now) {
		consider(part.own, 0)
	}
	for _, u := range p.twoUsable(part.near, n, now) {
		consider(u, hopCost)
	}
	way := float64(n.Bytes) * p.byteCost
	if way > farLimit && p.reachable(part) {
		return best
	}
	for _, u := range p.twoUsable(part.far, n, now) {
		consider(u, hopCost+way)
	}
	return best
}

// home returns the upstream of the key among those that may be tried now.
func (p *Picker) home(s *view.Service, n Need, now time.Time) *view.Upstream {
	var usable []view.Upstream
	for i := range s.Upstreams {
		if p.usable(&s.Upstreams[i], n, now) {
			usable = append(usable, s.Upstreams[i])
		}
	}
	return Home(usable, n.Home)
}

// usable reports whether the upstream may be tried now.
func (p *Picker) usable(u *view.Upstream, n Need, now time.Time) bool {
	if p.down[u.Owner] || slices.Contains(n.Tried, u.ID) {
		return false
	}
	st := p.stats[u.ID]
	return st == nil || !now.Before(st.avoidUntil[n.Urgency])
}

// draws is how many upstreams are drawn to find two usable ones before the whole list
// is gone through: with half of them out of use, one choice in fifty needs that.
const draws = 8

// twoUsable returns two random upstreams of the list that may be tried now, or fewer
// if there are none. What it costs does not grow with the list, unless most of it is
// out of use.
func (p *Picker) twoUsable(list []*view.Upstream, n Need, now time.Time) []*view.Upstream {
	var two []*view.Upstream
	take := func(u *view.Upstream) bool {
		if !slices.Contains(two, u) && p.usable(u, n, now) {
			two = append(two, u)
		}
		return len(two) == 2
	}
	if len(list) > draws {
		for range draws {
			if take(list[p.rand.IntN(len(list))]) {
				return two
			}
		}
	}
	if len(list) == 0 {
		return nil
	}
	for i, from := 0, p.rand.IntN(len(list)); i < len(list); i++ {
		if take(list[(from+i)%len(list)]) {
			return two
		}
	}
	return two
}
