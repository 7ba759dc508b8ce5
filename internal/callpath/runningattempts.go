package callpath

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/suspect"
)

// runningAttempts holds the attempts that are running at an upstream. It is safe for
// concurrent use.
type runningAttempts struct {
	mu       sync.Mutex
	attempts map[*Attempt]struct{}
	// abandoned holds, by request, until when the upstream may still run attempts whose
	// sender has left. A crash is evidence against them like against the others.
	abandoned map[suspect.Digest]time.Time
}

// tryAdd adds an attempt, or returns the reason why it must not run beside the others.
// Only one copy of a suspect runs at a time: further copies would be lost in the same
// crash without adding evidence. A suspect that is one crash short of quarantine does not
// run beside another suspect, since a crash could then not be attributed to either of
// them.
func (r *runningAttempts) tryAdd(t *suspect.Table, a *Attempt) outcome.Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason := r.conflict(t, a); reason != "" {
		return reason
	}
	if r.attempts == nil {
		r.attempts = map[*Attempt]struct{}{}
	}
	r.attempts[a] = struct{}{}
	return ""
}

// conflict returns the reason why the given attempt must not run beside those that are
// running, or "". The caller must hold r.mu.
func (r *runningAttempts) conflict(t *suspect.Table, a *Attempt) (reason outcome.Reason) {
	crashes := crashCount(t, a)
	if crashes == 0 {
		return ""
	}
	for _, d := range r.digests() {
		if d == a.digest() {
			return outcome.ReasonSuspectRunning
		}
		if otherCrashes := t.CrashCount(d); otherCrashes > 0 && max(crashes, otherCrashes) >= isolationThreshold {
			reason = outcome.ReasonOtherSuspect
		}
	}
	return reason
}

// remove removes an attempt and reports whether it was there.
func (r *runningAttempts) remove(a *Attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, running := r.attempts[a]
	delete(r.attempts, a)
	return running
}

// culprit returns the request to which a crash of the upstream that is running these
// attempts is attributed: the one with the most recorded crashes, provided that it is one
// crash short of quarantine or beyond, and that no other running request has as many.
// Otherwise it returns zero: the crash is evidence against no particular request.
func (r *runningAttempts) culprit(t *suspect.Table) suspect.Digest {
	if !t.Any() {
		return 0
	}
	most, candidate, ambiguous := isolationThreshold-1, suspect.Digest(0), false
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.digests() {
		switch n := t.CrashCount(d); {
		case n > most:
			most, candidate, ambiguous = n, d, false
		case n == most && n >= isolationThreshold && candidate != d:
			ambiguous = true
		}
	}
	if ambiguous {
		return 0
	}
	return candidate
}

// digests returns the digests of the requests that are running or may be. The caller must
// hold r.mu.
func (r *runningAttempts) digests() []suspect.Digest {
	out := slices.Collect(maps.Keys(r.abandoned))
	for a := range r.attempts {
		out = append(out, a.computeDigest())
	}
	return out
}

// abandon replaces a running attempt, whose sender has left, by the request's digest. The upstream
// may run it until its deadline.
func (r *runningAttempts) abandon(a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, a)
	if r.abandoned == nil {
		r.abandoned = map[suspect.Digest]time.Time{}
	}
	d := a.computeDigest()
	if until, ok := r.abandoned[d]; !ok || a.Deadline.After(until) {
		r.abandoned[d] = a.Deadline
	}
}

// expire forgets the abandoned attempts whose deadline has passed: upstreams stop work then.
func (r *runningAttempts) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.abandoned, func(_ suspect.Digest, until time.Time) bool { return !now.Before(until) })
}

// anyAbandoned reports whether the upstream may run an attempt whose sender has left.
func (r *runningAttempts) anyAbandoned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.abandoned) > 0
}

// takeAbandoned returns the requests that the upstream may have been running for senders that have
// left, and forgets them: the upstream has crashed.
func (r *runningAttempts) takeAbandoned() []suspect.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := slices.Sorted(maps.Keys(r.abandoned))
	r.abandoned = nil
	return taken
}
