package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// replyLifetime is how long a coordinator's reply is valid.
	replyLifetime = 500 * time.Millisecond
	// maxUnackedSeconds and minUnackedCalls bound the calls of a workspace that a daemon
	// may admit after a reply: the calls of maxUnackedSeconds at the rate of the whole
	// limit, plus minUnackedCalls. Beyond the bound, calls need grants.
	maxUnackedSeconds = 0.2
	minUnackedCalls   = 2
	// fallbackBurst is how many calls a daemon without a valid reply admits at once, and
	// fallbackFraction is the fraction of its even share that it admits: daemons that still
	// reach a coordinator use their shares too.
	fallbackBurst    = 1
	fallbackFraction = 0.5
)

// Kind says whether a call's caller has waited already.
type Kind int

// The kinds of calls.
const (
	// FirstTime: the caller sends the call for the first time.
	FirstTime Kind = iota
	// Returning: the caller was refused before, or has waited for another reason.
	Returning
)

// Verdict is the decision on a call.
type Verdict int

// The verdicts.
const (
	// Admitted: the call is within the limit.
	Admitted Verdict = iota
	// NeedsGrant: the call needs a grant from the coordinator.
	NeedsGrant
	// Denied: the call is beyond the limit.
	Denied
)

// LocalLimiter applies the limits at one daemon. It holds the last reply of the daemon's
// coordinator, and the calls that the daemon has admitted. Safe for concurrent use.
type LocalLimiter struct {
	mu sync.Mutex
	// answeredReportAt is when the newest report that got a reply was sent; zero: none
	// has yet.
	answeredReportAt time.Duration
	// retryAfterMS holds the workspaces whose calls need grants, with the retry-after
	// time of calls that got none.
	retryAfterMS map[string]int64
	// used counts the calls admitted since the last report, by workspace.
	used map[string]int
	// unacked counts the calls admitted since the last reply, by workspace.
	unacked  map[string]int
	fallback map[string]*fallbackBucket
	// rates holds the average rates at which calls were admitted recently.
	rates map[string]*rateAverage
	// deniedUntil is the time until which calls are denied without a request, since the
	// coordinator has just granted none.
	deniedUntil map[deniedCalls]time.Duration
}

// deniedCalls are the calls of a kind of a workspace.
type deniedCalls struct {
	workspace string
	kind      Kind
}

// fallbackBucket is the token bucket that a daemon uses while it has no valid reply of a
// coordinator.
type fallbackBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// rateAverage is a decaying average of calls per second.
type rateAverage struct {
	rate float64
	at   time.Duration
}

// record counts a call.
func (a *rateAverage) record(now time.Duration) {
	a.rate = a.current(now) + 1/rateAverageSeconds
	a.at = now
}

// current returns the average as of now.
func (a *rateAverage) current(now time.Duration) float64 {
	return a.rate * math.Exp(-(now-a.at).Seconds()/rateAverageSeconds)
}

// rateAverageSeconds is the time over which a daemon averages the calls that it admits.
const rateAverageSeconds = 3.0

// NewLocalLimiter returns the limiter of a daemon that has had no reply from a coordinator
// yet.
func NewLocalLimiter() *LocalLimiter {
	return &LocalLimiter{
		used:        map[string]int{},
		unacked:     map[string]int{},
		fallback:    map[string]*fallbackBucket{},
		rates:       map[string]*rateAverage{},
		deniedUntil: map[deniedCalls]time.Duration{},
	}
}

// Admit decides on a call. daemons is the number of daemons in the fleet: a daemon
// without a valid reply uses its even share of the limit, since each of the others may do
// the same. retryAfter is set for a call that is denied.
func (l *LocalLimiter) Admit(now time.Duration, workspace string, kind Kind, limit Limit, daemons int) (verdict Verdict, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answeredReportAt == 0 || now-l.answeredReportAt > replyLifetime {
		return l.admitFallback(now, workspace, limit, daemons)
	}
	if _, needsGrant := l.retryAfterMS[workspace]; needsGrant {
		if l.recentlyDenied(now, workspace, kind) {
			return Denied, l.retryAfter(workspace)
		}
		return NeedsGrant, 0
	}
	if float64(l.unacked[workspace]) >= minUnackedCalls+maxUnackedSeconds*limit.Rate {
		return NeedsGrant, 0
	}
	l.unacked[workspace]++
	l.recordAdmitted(now, workspace)
	return Admitted, 0
}

// recentlyDenied reports whether a call is denied without a request: calls of its kind have
// just got no grant, or first-time calls have, which go before returning ones.
func (l *LocalLimiter) recentlyDenied(now time.Duration, workspace string, kind Kind) bool {
	return now < l.deniedUntil[deniedCalls{workspace, FirstTime}] ||
		kind == Returning && now < l.deniedUntil[deniedCalls{workspace, Returning}]
}

// recordAdmitted counts an admitted call that the coordinator has not counted yet.
func (l *LocalLimiter) recordAdmitted(now time.Duration, workspace string) {
	l.used[workspace]++
	l.recordRate(now, workspace)
}

func (l *LocalLimiter) recordRate(now time.Duration, workspace string) {
	average := l.rates[workspace]
	if average == nil {
		average = &rateAverage{}
		l.rates[workspace] = average
	}
	average.record(now)
}

// RecordGranted records a call that the coordinator granted, and has therefore counted.
func (l *LocalLimiter) RecordGranted(now time.Duration, workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordRate(now, workspace)
}

// admitFallback decides on a call without a coordinator. Calls are admitted at the rate at
// which they were admitted while there was a coordinator, since the limit allowed that rate,
// or at fallbackFraction of the even share if that is more.
func (l *LocalLimiter) admitFallback(now time.Duration, workspace string, limit Limit, daemons int) (Verdict, time.Duration) {
	rate := fallbackFraction * limit.Rate / float64(max(1, daemons))
	if average := l.rates[workspace]; average != nil {
		rate = max(rate, average.rate)
	}
	b := l.fallback[workspace]
	if b == nil {
		// The initial tokens are random, so that half of the daemons admit a first call.
		// Otherwise a workspace that calls rarely would have all of its calls denied, or
		// its first call at each of many daemons admitted.
		b = &fallbackBucket{tokens: fallbackBurst * (0.5 + rand.Float64()), updatedAt: now}
		l.fallback[workspace] = b
	}
	b.tokens = min(b.tokens+rate*(now-b.updatedAt).Seconds(), max(b.tokens, fallbackBurst))
	b.updatedAt = now
	if b.tokens < 1 {
		return Denied, min(maxRetryAfter, max(minRetryAfter, time.Duration((1-b.tokens)/rate*float64(time.Second))))
	}
	b.tokens--
	l.used[workspace]++ // the average rate stays as it was
	return Admitted, 0
}

// GiveBack removes a call that was admitted but did not run from the counts.
func (l *LocalLimiter) GiveBack(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used[workspace]--
}

// HasReply reports whether a coordinator has ever replied.
func (l *LocalLimiter) HasReply() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answeredReportAt > 0
}

// idleReportInterval is how old the newest reply may get before a daemon with nothing to
// report sends an empty report.
const idleReportInterval = 3 * replyLifetime / 5

// Idle reports whether no report to the coordinator is due.
func (l *LocalLimiter) Idle(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.used) == 0 && l.answeredReportAt > 0 && now-l.answeredReportAt < idleReportInterval
}

// Report returns the next report to the coordinator and resets the counts in it.
func (l *LocalLimiter) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Used: l.used}
	l.used = map[string]int{}
	return r
}

// Restore puts back the counts of a report that got no reply. If the coordinator did
// receive it, the calls are counted twice, which keeps them within the limit. Calls that were
// given back are not put back: counted twice, they would exceed it.
func (l *LocalLimiter) Restore(r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, n := range r.Used {
		if n > 0 {
			l.used[name] += n
		}
	}
}

// HandleReply records a coordinator's reply to a report sent at requestedAt.
func (l *LocalLimiter) HandleReply(requestedAt time.Duration, r Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if requestedAt >= l.answeredReportAt {
		l.answeredReportAt, l.retryAfterMS = requestedAt, r.RetryAfterMS
		clear(l.unacked)
	}
	clear(l.fallback)
	for denied := range l.deniedUntil {
		if _, needsGrant := l.retryAfterMS[denied.workspace]; !needsGrant {
			delete(l.deniedUntil, denied)
		}
	}
}

// RecordDenied records that the coordinator did not grant a call, and returns the call's
// retry-after time. For minRetryAfter, which is about the time until the next report,
// further calls of this kind are denied without a request.
func (l *LocalLimiter) RecordDenied(now time.Duration, workspace string, kind Kind) (retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deniedUntil[deniedCalls{workspace, kind}] = now + minRetryAfter
	return l.retryAfter(workspace)
}

func (l *LocalLimiter) retryAfter(workspace string) time.Duration {
	return max(minRetryAfter, time.Duration(l.retryAfterMS[workspace])*time.Millisecond)
}
