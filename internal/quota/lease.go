package quota

import "time"

const (
	// LeaseDuration is the duration of a lease. A coordinator that received a lease and is
	// then partitioned falls back to its own part of the limit when the lease expires.
	LeaseDuration = time.Second
	// demandThreshold is the demand, as a fraction of its own rate, from which a coordinator
	// requests leases.
	demandThreshold = 0.8
	// demandHeadroom is the rate that a coordinator requests, or keeps for itself when it
	// grants leases, as a multiple of its demand.
	demandHeadroom = 1.3
	// minLeaseFraction is the smallest fraction of a limit that is worth requesting.
	minLeaseFraction = 0.01
)

const (
	// initialRequestInterval is the interval at which a coordinator that lacks rate
	// requests leases; maxRequestInterval is the longest interval, used while the other
	// coordinators have no rate to spare.
	initialRequestInterval = 250 * time.Millisecond
	maxRequestInterval     = 500 * time.Millisecond
)

// NextLeaseRequestInterval returns the interval after which to request leases again, given
// the previous interval and whether the other coordinators granted anything.
func NextLeaseRequestInterval(previous time.Duration, granted bool) time.Duration {
	if granted || previous == 0 {
		return initialRequestInterval
	}
	return min(2*previous, maxRequestInterval)
}

// lease is a rate that is leased to, or from, a failure domain until it expires. A later
// lease replaces an earlier one; until the earlier one expires, both
// coordinators count the higher of the two rates, so that it does not matter whether the
// answer with the later lease was lost.
type lease struct {
	domain    string
	rate      float64
	expiresAt time.Duration
}

// leases is a list of leases that had not expired when it was built.
type leases []lease

// sum returns the total rate of the leases in force now, without those of excludedDomain.
func (list leases) sum(now time.Duration, excludedDomain string) float64 {
	sum := 0.0
	for i, l := range list {
		if now < l.expiresAt && l.domain != excludedDomain && !list.superseded(now, i) {
			sum += l.rate
		}
	}
	return sum
}

// superseded reports whether another lease with the same domain counts instead of the
// i-th.
func (list leases) superseded(now time.Duration, i int) bool {
	l := list[i]
	for j, other := range list {
		if other.domain == l.domain && now < other.expiresAt && (other.rate > l.rate || other.rate == l.rate && j > i) {
			return true
		}
	}
	return false
}

// add returns the list with one more lease, without superseded and expired leases.
func (list leases) add(now time.Duration, added lease) leases {
	var kept leases
	for _, old := range list {
		if now < old.expiresAt && (old.domain != added.domain || old.rate > added.rate) {
			kept = append(kept, old)
		}
	}
	return append(kept, added)
}

// scaled returns the list with all rates multiplied by the factor.
func (list leases) scaled(factor float64) leases {
	scaled := make(leases, len(list))
	for i, l := range list {
		l.rate *= factor
		scaled[i] = l
	}
	return scaled
}

// LeaseRequest asks another domain's coordinator to lease the rates that the requesting
// coordinator lacks.
type LeaseRequest struct {
	// Domain is the failure domain of the requesting coordinator.
	Domain string `json:"domain"`
	// Needs are the missing rates, by workspace.
	Needs map[string]float64 `json:"needs"`
}

// Subtract removes what was leased from the needs.
func (r LeaseRequest) Subtract(leasedRates map[string]float64) {
	for name, rate := range leasedRates {
		if r.Needs[name] -= rate; r.Needs[name] <= 0 {
			delete(r.Needs, name)
		}
	}
}

// Needs returns the rates that this coordinator lacks beyond its own, by workspace.
func (c *Coordinator) Needs(now time.Duration) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	needs := map[string]float64{}
	for name := range c.buckets {
		b := c.bucket(now, name)
		ownRate := c.ownRate(name, now)
		limitRate := ownRate * float64(c.domains)
		if shortfall := min(demandHeadroom*b.demand, limitRate) - ownRate; b.demand > demandThreshold*ownRate && shortfall > minLeaseFraction*limitRate {
			needs[name] = shortfall
		}
	}
	return needs
}

// GrantLeases returns the part of the needed rates that this coordinator leases to the
// requesting one, for LeaseDuration from now on. The new leases replace those that it
// granted to that domain before. It keeps what its own first-time calls need: returning calls
// must not take the place of first-time calls in other domains.
func (c *Coordinator) GrantLeases(now time.Duration, r LeaseRequest) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	leasedRates := map[string]float64{}
	if c.lastReportAt == 0 || now-c.lastReportAt > maxReportGap || now-c.startedAt < LeaseDuration {
		return leasedRates // the demand of its own daemons is not known
	}
	for name, need := range r.Needs {
		b := c.bucket(now, name)
		if b == nil {
			continue
		}
		spare := c.ownRate(name, now) - b.leasedOut.sum(now, r.Domain) - demandHeadroom*b.firstTimeDemand() - minLeaseFraction*c.limits[name].Rate
		if leasedRate := min(need, spare); leasedRate > 0 {
			b.leasedOut = b.leasedOut.add(now, lease{r.Domain, leasedRate, now + LeaseDuration})
			leasedRates[name] = leasedRate
		}
	}
	return leasedRates
}

// AddLeases records what a domain's coordinator leased in answer to a request sent at
// requestedAt.
func (c *Coordinator) AddLeases(now, requestedAt time.Duration, domain string, leasedRates map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, rate := range leasedRates {
		if b := c.bucket(now, name); b != nil && rate > 0 {
			b.leasedIn = b.leasedIn.add(now, lease{domain, rate, requestedAt + LeaseDuration})
		}
	}
}
