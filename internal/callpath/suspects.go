package callpath

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/suspect"
)

// A request that ends the upstreams which run it is run on few of them: whatever copies
// of it come, wherever and under whatever ID, count as one request. An upstream that ends
// makes suspects of those that ran there; an answer clears one. The copies of a suspect go
// to one upstream of all, and run there one at a time, so that those that come at once end
// one and not several; with two ends it runs beside no other suspect, so that the third end
// tells which of them it is; with three it is refused.

// quarantineSettles is how old a quarantine is when it stands: one that was put on a
// request which ended nothing ends with the next answer of a copy that was running.
const quarantineSettles = time.Second

// quarantined is the answer to a request that is run no more. Once the quarantine stands,
// to come back soon serves nobody: it takes a repair of the upstream, or of the caller.
func quarantined(t *suspect.Table, a *Attempt, now time.Time) outcome.Result {
	rec, _ := t.Record(a.digest())
	if left := quarantineSettles - now.Sub(time.UnixMilli(rec.At)); left > 0 {
		return outcome.Refuse(outcome.ReasonQuarantined, min(left, quarantineSettles))
	}
	return outcome.Refuse(outcome.ReasonQuarantined, outcome.MaxRetryAfter)
}

// triedRetry is when a copy of a suspect that is being tried may come back: by then most
// runs have ended, one way or the other.
const triedRetry = 100 * time.Millisecond

// endsUnder returns how many upstreams have ended under an attempt's request.
func endsUnder(t *suspect.Table, a *Attempt) int {
	if !t.Any() {
		return 0
	}
	return t.Ends(a.digest())
}

// stepFrom is how many ends a request has that is a step from quarantine.
const stepFrom = suspect.Enough - 1

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

// heldBack refuses an attempt that must not run here for what has ended under its request.
// Without a reason it runs, until it leaves loc.runs.
func (o *Owner) heldBack(loc *local, a *Attempt) outcome.Result {
	if endsUnder(o.cfg.Suspects, a) >= suspect.Enough {
		return quarantined(o.cfg.Suspects, a, o.cfg.Now())
	}
	switch reason := loc.runs.enter(o.cfg.Suspects, a); reason {
	case "":
		return outcome.Result{}
	case outcome.ReasonTried:
		return outcome.Refuse(reason, triedRetry)
	default:
		return outcome.Refuse(reason, outcome.MinRetryAfter)
	}
}

// charge takes note that an upstream has ended under an attempt. Only the culprit is
// brought into quarantine by it: who ran beside one that ends all its upstreams would be
// refused for that else. A request that was answered here lately is excused once: of those
// asked for all the time some run at each upstream, and would be quarantined whenever
// three end at once.
func (o *Owner) charge(a *Attempt, e end) {
	t, d := o.cfg.Suspects, a.digest()
	if t.Ends(d) >= stepFrom && d != e.culprit || o.recent.Take(d) {
		return
	}
	t.Charge(d, suspect.EndOf(a.Upstream, o.cfg.Incarnation, e.n))
}

// Vouch clears a request that has just been put in quarantine if an upstream here has
// answered it lately: where all that ran it end at once, no answer is left to do so. Each
// request is vouched for in its first round only, or one that has become deadly would end
// three upstreams for each daemon that has answered it before.
func (o *Owner) Vouch(r suspect.Record) {
	if r.Quarantined() && r.Round == 0 && o.recent.Take(r.Digest) {
		o.cfg.Suspects.Answered(r.Digest)
	}
}

// answered takes note that the upstream lives on after it has run the attempt. An
// upstream's own failure tells nothing: it may be what it says before it ends.
func (o *Owner) answered(a *Attempt, status int) {
	if status >= http.StatusInternalServerError {
		return
	}
	if len(a.Body) < outcome.LongBody {
		o.recent.Add(a.digest())
	}
	if endsUnder(o.cfg.Suspects, a) > 0 {
		o.cfg.Suspects.Answered(a.digest())
	}
}

// tellSuspect puts what is known of an attempt's request into a message's headers, if an
// upstream has ended under it: the daemon at the other end knows it then before it acts.
func tellSuspect(h http.Header, t *suspect.Table, a *Attempt) {
	if endsUnder(t, a) == 0 {
		return
	}
	rec, _ := t.Record(a.digest())
	if b, err := json.Marshal(rec); err == nil {
		h.Set(headerSuspect, string(b))
	}
}

// hearSuspect takes in what tellSuspect told. What cannot be read tells nothing.
func hearSuspect(h http.Header, t *suspect.Table) {
	var rec suspect.Record
	if text := h.Get(headerSuspect); text != "" && json.Unmarshal([]byte(text), &rec) == nil {
		t.Merge(rec)
	}
}
