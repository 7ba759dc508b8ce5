package callpath

import (
	"encoding/json"
	"net/http"
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

// quarantined reports whether an attempt's request is run no more, and the answer to it.
// Once the quarantine stands, to come back soon serves nobody: it takes a repair of the
// upstream, or of the caller.
func quarantined(t *suspect.Table, a *Attempt, now time.Time) (outcome.Result, bool) {
	rec := recordOf(t, a)
	if !rec.Quarantined() {
		return outcome.Result{}, false
	}
	if left := quarantineSettles - now.Sub(time.UnixMilli(rec.At)); left > 0 {
		return outcome.Refuse(outcome.ReasonQuarantined, min(left, quarantineSettles)), true
	}
	return outcome.Refuse(outcome.ReasonQuarantined, outcome.MaxRetryAfter), true
}

// triedRetry is when a copy of a suspect that is being tried may come back: by then most
// runs have ended, one way or the other.
const triedRetry = 100 * time.Millisecond

// recordOf returns what is known of an attempt's request. Where nothing is suspected the
// request is not even hashed.
func recordOf(t *suspect.Table, a *Attempt) suspect.Record {
	if !t.Any() {
		return suspect.Record{}
	}
	rec, _ := t.Record(a.digest())
	return rec
}

// endsUnder returns how many upstreams have ended under an attempt's request.
func endsUnder(t *suspect.Table, a *Attempt) int { return len(recordOf(t, a).Ends) }

// stepFrom is how many ends a request has that is a step from quarantine.
const stepFrom = suspect.Enough - 1

// heldBack refuses an attempt that must not run here for what has ended under its request.
// Without a reason it runs, until it leaves loc.runs.
func (o *Owner) heldBack(loc *local, a *Attempt) outcome.Result {
	if refusal, held := quarantined(o.cfg.Suspects, a, o.cfg.Now()); held {
		return refusal
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
	if t.Ends(d) >= stepFrom && d != e.culprit || o.recent.Excuse(d) {
		return
	}
	t.Charge(d, suspect.EndOf(a.Upstream, o.cfg.Incarnation, e.n))
}

// Vouch clears a request that has just been put in quarantine if an upstream here has
// answered it lately: where all that ran it end at once, no answer is left to do so. Each
// request is vouched for once until it is answered again, or one that has become deadly
// would end three upstreams for each daemon that has answered it before.
func (o *Owner) Vouch(r suspect.Record) {
	if r.Quarantined() && !r.Vouched && o.recent.Has(r.Digest) {
		o.cfg.Suspects.Vouch(r.Digest)
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
	if o.cfg.Suspects.Any() {
		o.cfg.Suspects.Answered(a.digest())
	}
}

// tellSuspect puts what is known of an attempt's request into a message's headers, if an
// upstream has ended under it: the daemon at the other end knows it then before it acts.
func tellSuspect(h http.Header, t *suspect.Table, a *Attempt) {
	rec := recordOf(t, a)
	if len(rec.Ends) == 0 {
		return
	}
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
