// Package quota decides which calls are within a rate limit that holds across all
// daemons.
//
// A limit is divided evenly among the failure domains. In each, one daemon is the limit
// coordinator (type Coordinator): it counts the calls that all daemons of the domain admit,
// in a token bucket for each workspace. As long as a bucket holds enough tokens, daemons
// admit calls at once and report them afterwards; when it runs low, they request a grant
// first. A coordinator leases rate that its domain does not need to the coordinators of
// other domains, for a short time. A lease expires at the coordinator that received it
// before it expires at the one that granted it, so that the rates add up to no more than
// the limit at any time, also while failure domains are partitioned from each other.
//
// A call is either first-time or returning (type Kind). While a workspace needs grants,
// first-time calls take precedence, so that callers that retry do not take the place of
// calls within the limit.
//
// All times are boot times of this VM. The package starts no goroutines and opens no
// connections.
package quota

import (
	"maps"
	"math"
	"sync"
	"time"
)

// Limit bounds the calls of a workspace. If Rate is zero, there is no limit.
type Limit struct {
	// Rate is in calls per second; Burst is the number of calls allowed beyond it.
	Rate, Burst float64
}

// Tolerance says how limits are measured and by how much they may be exceeded. A limit
// allows its rate and its burst in each Window, plus the given Fraction of that sum, plus
// Calls calls. The excess covers the calls that are admitted before other daemons learn
// of them.
type Tolerance struct {
	// Window is zero if a burst is allowed only once, as with a plain token bucket.
	Window   time.Duration
	Fraction float64
	Calls    float64
}

// Report is a daemon's message to its coordinator: the calls that it has admitted and the
// calls for which it requests a grant.
type Report struct {
	// Used is the number of calls admitted since the last report, by workspace, less
	// those given back.
	Used map[string]int `json:"used,omitempty"`
	// Wanted is the number of calls that wait for a grant, by workspace, without those in
	// WantedAgain.
	Wanted map[string]int `json:"wanted,omitempty"`
	// WantedAgain is the number of returning calls that wait for a grant, by workspace.
	WantedAgain map[string]int `json:"wanted_again,omitempty"`
}

// Reply is a coordinator's answer to a report.
type Reply struct {
	// Granted is how many of the wanted calls may be admitted, by workspace.
	Granted map[string]int `json:"granted,omitempty"`
	// GrantedAgain is how many of the returning calls may be admitted, by workspace. A
	// coordinator that does not know WantedAgain grants none.
	GrantedAgain map[string]int `json:"granted_again,omitempty"`
	// RetryAfterMS holds the workspaces whose calls need a grant from now on, with the
	// retry-after time of calls that got none, in milliseconds.
	RetryAfterMS map[string]int64 `json:"short,omitempty"`
}

const (
	// toleranceCallsFraction is the fraction of Tolerance.Calls that buckets hold beyond
	// their burst: the calls of a workspace that sends few come in clusters. The rest,
	// and Tolerance.Fraction, cover calls that are admitted before the coordinator learns of
	// them.
	toleranceCallsFraction = 0.75
	// minCapacity is the least number of tokens that a bucket can hold: one that holds
	// less than one token would never admit a call.
	minCapacity = 1
	// reserveSeconds is how long the tokens in a bucket must last at its full rate; if
	// they would not, calls need grants. It is the time that a report and its reply take.
	reserveSeconds = 0.25
	// demandAverageSeconds is the time over which demand is averaged.
	demandAverageSeconds = 1.0
	// startupRateFraction is the fraction of its rate that a coordinator gives out in its
	// first LeaseDuration: what its predecessor leased to other domains may still be in use.
	startupRateFraction = 0.75
	// maxReportGap is the time without reports after which a coordinator resets its
	// buckets: daemons have meanwhile admitted calls that it has not counted.
	maxReportGap = time.Second
	// minRetryAfter and maxRetryAfter bound the retry-after times of refused calls.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// returningReserveSeconds is how long the demand of first-time calls must be covered by
	// the tokens that are left when returning calls are granted: the interval of reports
	// and the time that a report and its reply take.
	returningReserveSeconds = 0.15
	// minReturningReserve is the least number of tokens that are left for first-time calls:
	// the few calls of a small workspace come in clusters.
	minReturningReserve = 2
	// minDenied is the number of calls denied per second from which the calls of a workspace
	// need grants until the reserve for first-time calls is restored.
	minDenied = 0.1
)

// Coordinator is the limit coordinator of a failure domain: it counts the domain's calls.
// Safe for concurrent use.
type Coordinator struct {
	tolerance Tolerance

	mu      sync.Mutex
	limits  map[string]Limit
	domains int
	// firstTimeFirst is set if first-time calls take precedence over returning ones.
	firstTimeFirst bool
	buckets        map[string]*bucket
	// startedAt is when this daemon became the coordinator; lastReportAt is when the last
	// report arrived.
	startedAt, lastReportAt time.Duration
}

// bucket is a workspace's token bucket, with the workspace's demand and leases.
type bucket struct {
	tokenBucket
	// demand is how many calls arrive per second; denied is how many of them get no
	// grant, and returning how many of them are returning calls that wait for a grant.
	demand, denied, returning float64
	leasedOut, leasedIn       leases
}

// NewCoordinator returns a coordinator without limits.
func NewCoordinator(t Tolerance) *Coordinator {
	return &Coordinator{tolerance: t, domains: 1, buckets: map[string]*bucket{}}
}

// Set applies limits, each of which is divided among the given number of failure domains. Where
// a limit is lowered, leases are lowered with it, at both ends: otherwise they could add up to
// more than the new limit.
func (c *Coordinator) Set(limits map[string]Limit, domains int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, b := range c.buckets {
		if rate, before := limits[name].Rate, c.limits[name].Rate; rate < before {
			b.leasedOut = b.leasedOut.scaled(rate / before)
			b.leasedIn = b.leasedIn.scaled(rate / before)
		}
	}
	c.limits, c.domains = limits, max(1, domains)
	maps.DeleteFunc(c.buckets, func(name string, _ *bucket) bool { return limits[name].Rate == 0 })
}

// SetFirstTimeFirst says whether first-time calls take precedence over returning ones.
// Daemons then report returning calls in Report.WantedAgain.
func (c *Coordinator) SetFirstTimeFirst(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstTimeFirst = on
}

// HandleReport processes a daemon's report and returns the reply.
func (c *Coordinator) HandleReport(now time.Duration, r Report) Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastReportAt == 0 || now-c.lastReportAt > maxReportGap {
		c.startCounting(now)
	}
	c.lastReportAt = now
	for name, n := range r.Used {
		if b := c.bucket(now, name); b != nil {
			b.spend(float64(n))
			b.demand += float64(max(0, n)) / demandAverageSeconds
		}
	}
	reply := Reply{Granted: map[string]int{}, RetryAfterMS: map[string]int64{}}
	for name, n := range r.Wanted {
		reply.Granted[name] = c.grant(now, name, n)
	}
	if len(r.WantedAgain) > 0 {
		reply.GrantedAgain = make(map[string]int, len(r.WantedAgain))
	}
	for name, n := range r.WantedAgain {
		reply.GrantedAgain[name] = c.grantReturning(now, name, n)
	}
	for name := range c.buckets {
		switch b := c.bucket(now, name); {
		case b.tokens() < c.grantThreshold(name, b, now):
			reply.RetryAfterMS[name] = c.retryAfter(b, name, now).Milliseconds()
		case b.idle() && b.full():
			delete(c.buckets, name) // equal to a new bucket
		}
	}
	return reply
}

// grant returns how many of n first-time calls may be admitted.
func (c *Coordinator) grant(now time.Duration, name string, n int) int {
	b := c.bucket(now, name)
	if b == nil {
		return n // no limit
	}
	granted := b.take(n, 0)
	b.recordRequest(n, granted)
	return granted
}

// grantReturning returns how many of n returning calls may be admitted: they get the tokens
// that first-time calls will not take until the next report.
func (c *Coordinator) grantReturning(now time.Duration, name string, n int) int {
	b := c.bucket(now, name)
	if b == nil {
		return n // no limit
	}
	granted := b.take(n, b.returningReserve())
	b.recordRequest(n, granted)
	b.returning += float64(n) / demandAverageSeconds
	return granted
}

// recordRequest adds a request for n grants to the demand, and those refused to denied.
func (b *bucket) recordRequest(n, granted int) {
	b.demand += float64(n) / demandAverageSeconds
	b.denied += float64(n-granted) / demandAverageSeconds
}

// take spends the tokens for up to n calls, but none of the reserve, and returns for how many.
func (b *bucket) take(n int, reserve float64) int {
	taken := max(0, min(n, int(math.Floor(b.tokens()-reserve))))
	b.spend(float64(taken))
	return taken
}

// firstTimeDemand is how many first-time calls arrive per second.
func (b *bucket) firstTimeDemand() float64 { return b.demand - b.returning }

// returningReserve is the number of tokens that are left for first-time calls.
func (b *bucket) returningReserve() float64 {
	return min(max(minReturningReserve, returningReserveSeconds*b.firstTimeDemand()), b.capacity/2)
}

// idle reports whether a bucket holds no information other than its tokens.
func (b *bucket) idle() bool {
	const idleDemand = 0.01 // calls per second
	return b.demand < idleDemand && b.leasedOut.sum(b.updatedAt, "")+b.leasedIn.sum(b.updatedAt, "") == 0
}

// startCounting resets all buckets: the domain's daemons have meanwhile reported to
// another coordinator, or to none.
func (c *Coordinator) startCounting(now time.Duration) {
	c.startedAt = now
	for _, b := range c.buckets {
		b.reset(now, 0)
		b.demand, b.denied, b.returning = 0, 0, 0
	}
}

// bucket returns a workspace's bucket as of now, or nil if the workspace has no limit.
func (c *Coordinator) bucket(now time.Duration, name string) *bucket {
	if c.limits[name].Rate == 0 {
		return nil
	}
	capacity := c.capacity(name)
	b := c.buckets[name]
	if b == nil {
		b = &bucket{tokenBucket: newTokenBucket(c.startedAt, c.tolerance.Window, capacity, 0)}
		c.buckets[name] = b
	}
	if elapsedSeconds := (now - b.updatedAt).Seconds(); elapsedSeconds > 0 {
		decay := math.Exp(-elapsedSeconds / demandAverageSeconds)
		b.demand *= decay
		b.denied *= decay
		b.returning *= decay
	}
	b.refill(now, c.rate(name, b, now))
	if b.capacity != capacity {
		b.setCapacity(now, capacity)
	}
	return b
}

// rate is what this coordinator may give out now, in calls per second.
func (c *Coordinator) rate(name string, b *bucket, now time.Duration) float64 {
	return max(0, c.ownRate(name, now)-b.leasedOut.sum(now, "")+b.leasedIn.sum(now, ""))
}

// ownRate is this failure domain's part of a limit, without leases, in calls per second.
func (c *Coordinator) ownRate(name string, now time.Duration) float64 {
	rate := c.limits[name].Rate / float64(c.domains)
	if now-c.startedAt < LeaseDuration {
		rate *= startupRateFraction
	}
	return rate
}

// capacity is the most tokens that a bucket holds.
func (c *Coordinator) capacity(name string) float64 {
	return max(minCapacity, (c.limits[name].Burst+toleranceCallsFraction*c.tolerance.Calls)/float64(c.domains))
}

// grantThreshold is the number of tokens below which calls need grants.
func (c *Coordinator) grantThreshold(name string, b *bucket, now time.Duration) float64 {
	threshold := reserveSeconds * c.rate(name, b, now)
	if c.firstTimeFirst && b.denied >= minDenied {
		// Calls that need no grant are admitted whatever their kind, and would use up the
		// reserve.
		threshold = max(threshold, 1+b.returningReserve())
	}
	return max(1, min(threshold, c.capacity(name)/2))
}

// retryAfter is when a call that got no grant can expect one.
func (c *Coordinator) retryAfter(b *bucket, name string, now time.Duration) time.Duration {
	missing, rate := 1-b.tokens()+b.denied, c.rate(name, b, now)
	if c.firstTimeFirst {
		// The call will be a returning one, which gets only the tokens that first-time
		// calls leave.
		missing += b.returningReserve()
		rate -= b.firstTimeDemand()
	}
	wait := missing / max(rate, 1/maxRetryAfter.Seconds())
	return min(max(minRetryAfter, time.Duration(wait*float64(time.Second))), maxRetryAfter)
}
