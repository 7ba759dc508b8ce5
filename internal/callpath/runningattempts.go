package callpath

import (
	"sync"

	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/suspect"
)

// runningAttempts holds the attempts that are running at an upstream. It is safe for
// concurrent use.
type runningAttempts struct {
	mu       sync.Mutex
	attempts map[*Attempt]struct{}
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
	for other := range r.attempts {
		d := other.computeDigest()
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

// digests returns the digests of the running attempts' requests.
func (r *runningAttempts) digests() []suspect.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []suspect.Digest
	for a := range r.attempts {
		out = append(out, a.computeDigest())
	}
	return out
}
