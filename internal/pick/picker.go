// Package pick chooses an upstream for each attempt, from what this ingress has observed
// of the upstreams. It does no I/O; the clock is passed in.
package pick

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

const (
	// loadMaxAge is how long an owner's load report is valid.
	loadMaxAge = time.Second
	// serviceTimeMaxAge is how long a reported service time is valid. After that, the
	// upstream is tried as if it were unknown, so that one that was slow once is not
	// avoided forever.
	serviceTimeMaxAge = 10 * time.Second
	// errorWeight is the weight of the newest answer in the error rate.
	errorWeight = 0.05
	// errorCost is the cost of a certain failure as a multiple of a call's worth: more
	// than the longest wait, or an upstream that fails fast would attract calls. The cost
	// of a likely failure grows with the square of the error rate: one failure in ten is
	// often caused by a nested call that failed elsewhere, and no reason to leave the
	// failure domain; six in ten cost half of a call's worth.
	errorCost = 1.5
)

// unavailableRetry is the time after which an upstream that was draining, removed or
// unreachable is tried again: half of what a killed process takes to restart, so that a
// restarted process soon gets calls again, and few attempts fail before it is ready.
const unavailableRetry = 500 * time.Millisecond

// stats is what this ingress knows of one upstream.
type stats struct {
	outstanding int
	load        outcome.Load
	loadAt      time.Time
	errorRate   float64
	// refusedFor is the reason of the owner's last refusal that keeps calls away from it
	// until avoidUntil.
	refusedFor outcome.Reason
	// draining is set if the upstream has stated that it is draining; drainingIncarnation is
	// the incarnation that did.
	draining            bool
	drainingIncarnation string
	// rateLimit is the upstream's rate limit in requests per second, as its owner reported
	// with the last answer or refusal; zero: none.
	rateLimit float64
	// avoidUntil is, by urgency, the time until which the owner asked to send no calls. A
	// refusal says nothing about more urgent calls, which may displace waiting ones.
	avoidUntil [config.MostUrgent + 1]time.Time
	// avoidLinkUntil is the time until which the owner asked to send no calls that wait for
	// its link.
	avoidLinkUntil time.Time
	refusals       refusalRates
	usedAt         time.Time
}

// Picker chooses an upstream for each attempt: the one with the lowest cost of expected
// time and path. Safe for concurrent use.
type Picker struct {
	mu     sync.Mutex
	domain string
	// byteCost is the cost of a byte between failure domains as a fraction of a call's
	// worth.
	byteCost float64
	// contention is set while callers of all failure domains compete for the same resources:
	// where the part cross-domain-cost of load control is in force.
	contention bool
	now        func() time.Time
	rand       *rand.Rand
	stats      map[string]*stats
	// down holds the owners that this daemon cannot reach.
	down map[string]bool
	// linkBusyAt is when an owner last reported that responses wait for its link, by owner.
	linkBusyAt map[string]time.Time
	routes     routeTable
	// groups and means cache what is derived from a service's upstreams, by service name.
	groups map[string]*localityGroups
	means  map[string]cachedMeans
	// refusals holds the refusal rates of owners, by service.
	refusals   map[string]*serviceRefusals
	nextExpiry time.Time
}

// New returns a picker for a daemon of the failure domain. byteCost is the cost of a byte
// between failure domains as a fraction of a call's worth.
func New(domain string, byteCost float64, now func() time.Time, seed uint64) *Picker {
	return &Picker{
		domain: domain, byteCost: byteCost, now: now, rand: rand.New(rand.NewPCG(seed, seed)),
		stats: map[string]*stats{}, down: map[string]bool{}, linkBusyAt: map[string]time.Time{}, routes: routeTable{},
		groups: map[string]*localityGroups{}, means: map[string]cachedMeans{}, refusals: map[string]*serviceRefusals{},
	}
}

// busy is the number of attempts known to be at the upstream: the higher of this daemon's
// own count and the last report.
func (p *Picker) busy(st *stats, now time.Time) int {
	if st == nil {
		return 0
	}
	n := st.outstanding
	if now.Sub(st.loadAt) < loadMaxAge {
		n = max(n, st.load.InFlight+st.load.Queued)
	}
	return n
}

// Observe records the result of an attempt at the upstream.
func (p *Picker) Observe(u view.Upstream, urgency config.Urgency, r outcome.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.statsOf(&u)
	if r.HasLoad {
		st.load = r.Load
		st.loadAt = p.now()
		st.rateLimit = r.RateLimit
		p.recordLink(&u, r.Load.Egress)
	}
	p.recordRefusal(&u, st, urgency, r, p.now())
	switch {
	case r.RefusedAsSuspect():
		// The result depends on the request, not on the upstream.
	case r.OwnerSilent && p.linkBusy(&u):
		// The result depends on the link: only this call goes elsewhere.
	case r.Reason == outcome.ReasonNestedOverload:
		// The service below lacks capacity, not the upstream. Runs of other routes and calls
		// without nested ones are admitted.
	case r.Outcome == outcome.NotRun && r.UpstreamUnavailable():
		st.avoid(config.MostUrgent, p.now().Add(unavailableRetry))
		st.recordReason(r)
	case r.Outcome == outcome.NotRun && r.Reason == outcome.ReasonLink:
		st.avoidLinkUntil = p.now().Add(r.RetryAfter)
	case r.Outcome == outcome.NotRun && r.RetryAfter > 0:
		st.avoid(urgency, p.now().Add(r.RetryAfter))
		st.recordReason(r)
	case r.Outcome == outcome.Answered && r.Status < 500:
		st.errorRate -= errorWeight * st.errorRate
	case r.Outcome != outcome.NotRun && r.Reason != outcome.ReasonCancelled:
		st.errorRate += errorWeight * (1 - st.errorRate)
	}
}

// avoid keeps calls of this urgency and below away from the upstream until the given
// time.
func (st *stats) avoid(urgency config.Urgency, until time.Time) {
	for u := range urgency + 1 {
		st.avoidUntil[u] = until
	}
}

// Finished records that an attempt picked before is no longer outstanding.
func (p *Picker) Finished(u view.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statsOf(&u).outstanding--
}

func (p *Picker) statsOf(u *view.Upstream) *stats {
	st := p.stats[u.ID]
	if st == nil {
		st = &stats{}
		p.stats[u.ID] = st
	}
	st.usedAt = p.now()
	return st
}

// RateLimit returns the rate limit of an upstream in requests per second, as last reported;
// zero: none.
func (p *Picker) RateLimit(upstream string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.stats[upstream]; st != nil {
		return st.rateLimit
	}
	return 0
}

// SetDraining records that an upstream states that it is draining. Whatever its owner says
// later, it is not picked again. SetDraining reports whether that is new.
func (p *Picker) SetDraining(u view.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isDraining(&u) {
		return false
	}
	st := p.statsOf(&u)
	st.draining, st.drainingIncarnation = true, u.ProcessIncarnation
	return true
}

// isDraining reports whether this incarnation of the upstream has stated that it is draining.
func (p *Picker) isDraining(u *view.Upstream) bool {
	st := p.stats[u.ID]
	return st != nil && st.draining && st.drainingIncarnation == u.ProcessIncarnation
}

// SetDown records whether an owner is reachable. It reports whether that changed.
func (p *Picker) SetDown(owner string, down bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.down[owner] != down
	if down {
		p.down[owner] = true
	} else {
		delete(p.down, owner)
	}
	return changed
}

// statsRetention is how long the statistics of an unused upstream or service are kept.
const statsRetention = 10 * time.Minute

// Loads returns the loads that owners reported recently.
func (p *Picker) Loads() map[string]outcome.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	loads := map[string]outcome.Load{}
	for id, st := range p.stats {
		if now.Sub(st.loadAt) < serviceTimeMaxAge {
			loads[id] = st.load
		}
	}
	return loads
}

func (p *Picker) expire(now time.Time) {
	if now.Before(p.nextExpiry) {
		return
	}
	p.nextExpiry = now.Add(statsRetention / 10)
	clear(p.groups)
	clear(p.means)
	for owner, at := range p.linkBusyAt {
		if now.Sub(at) >= linkBusyMaxAge {
			delete(p.linkBusyAt, owner)
		}
	}
	for id, st := range p.stats {
		if st.outstanding == 0 && now.Sub(st.usedAt) > statsRetention {
			delete(p.stats, id)
		}
	}
	for service, r := range p.refusals {
		if now.Sub(r.all.updatedAt) > statsRetention {
			delete(p.refusals, service)
		}
	}
}

// Rendezvous returns the upstream with the highest rendezvous hash for the key.
func Rendezvous(upstreams []view.Upstream, key string) *view.Upstream {
	var best *view.Upstream
	var highest uint64
	for i := range upstreams {
		h := xxhash.Sum64String(upstreams[i].ID + "\x00" + key)
		if best == nil || h > highest {
			best, highest = &upstreams[i], h
		}
	}
	return best
}
