package callpath

import (
	"sync"

	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/suspect"
)

// runs are the attempts that an upstream works at. Safe for concurrent use.
type runs struct {
	mu       sync.Mutex
	attempts map[*Attempt]struct{}
}

// enter adds an attempt, or says why it must not run beside the others. A suspect runs in
// one copy at a time, since each copy more ends with the upstream and tells nothing. One
// that is a step from quarantine does not run beside another suspect: of the two nobody
// could tell then which ends the upstream.
func (r *runs) enter(t *suspect.Table, a *Attempt) outcome.Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason := r.bars(t, a); reason != "" {
		return reason
	}
	if r.attempts == nil {
		r.attempts = map[*Attempt]struct{}{}
	}
	r.attempts[a] = struct{}{}
	return ""
}

// bars says which of the others keeps an attempt out. The caller holds the lock.
func (r *runs) bars(t *suspect.Table, a *Attempt) (reason outcome.Reason) {
	own := endsUnder(t, a)
	if own == 0 {
		return ""
	}
	for other := range r.attempts {
		d := other.sum()
		if d == a.digest() {
			return outcome.ReasonTried
		}
		if ends := t.Ends(d); ends > 0 && max(own, ends) >= stepFrom {
			reason = outcome.ReasonApart
		}
	}
	return reason
}

func (r *runs) leave(a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, a)
}

// culprit returns the request to which the end that has come under all of these is put
// down: the one that was a step from quarantine, or beyond, if there was one only. Zero:
// it proves nothing against any one of them.
func (r *runs) culprit(t *suspect.Table) suspect.Digest {
	if !t.Any() {
		return 0
	}
	most, who, several := stepFrom-1, suspect.Digest(0), false
	for _, d := range r.digests() {
		switch n := t.Ends(d); {
		case n > most:
			most, who, several = n, d, false
		case n == most && n >= stepFrom && who != d:
			several = true
		}
	}
	if several {
		return 0
	}
	return who
}

// digests returns those of the attempts.
func (r *runs) digests() []suspect.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []suspect.Digest
	for a := range r.attempts {
		out = append(out, a.sum())
	}
	return out
}
