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
// to one upstream of all, so that those that come at once end one and not several; with
// two ends it runs there beside no other such, so that the third end tells which of them
// it is; with three it is refused.

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

// endsUnder returns how many upstreams have ended under an attempt's request.
func endsUnder(t *suspect.Table, a *Attempt) int {
	if !t.Any() {
		return 0
	}
	return t.Ends(a.digest())
}

// stepFrom is how many ends a request has that is a step from quarantine.
const stepFrom = suspect.Enough - 1

// alone lets one request that is a step from quarantine run at an upstream, in any
// number of copies. Safe for concurrent use.
type alone struct {
	mu     sync.Mutex
	digest suspect.Digest
	copies int
}

// enter reports whether the request may run beside those that entered before it.
func (l *alone) enter(d suspect.Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.copies > 0 && l.digest != d {
		return false
	}
	l.digest = d
	l.copies++
	return true
}

func (l *alone) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copies--
}

// heldBack says why an attempt must not run here for what has ended under its request,
// or nothing. The caller lets it leave loc.alone if it has entered.
func (o *Owner) heldBack(loc *local, a *Attempt) (reason outcome.Reason, entered bool) {
	switch endsUnder(o.cfg.Suspects, a) {
	case suspect.Enough:
		return outcome.ReasonQuarantined, false
	case stepFrom:
		if !loc.alone.enter(a.digest()) {
			return outcome.ReasonApart, false
		}
		return "", true
	}
	return "", false
}

// runs are the attempts that an upstream works at. Safe for concurrent use.
type runs struct {
	mu       sync.Mutex
	attempts map[*Attempt]struct{}
}

func (r *runs) begin(a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts == nil {
		r.attempts = map[*Attempt]struct{}{}
	}
	r.attempts[a] = struct{}{}
}

func (r *runs) end(a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, a)
}

// blame returns how many ends a request must have had before to be charged with the one
// that has come under all of these. With one among them that was a step from quarantine,
// or beyond, the end is put down to that: those beside it would else be charged with
// several ends of the same request, and be refused for them. From the first end on that
// would be too early: a suspect that ended nothing would keep others from being charged,
// and up to 7 upstreams ended instead of 6.
func (r *runs) blame(t *suspect.Table) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !t.Any() {
		return 0
	}
	for a := range r.attempts {
		if t.Ends(a.sum()) >= stepFrom {
			return stepFrom
		}
	}
	return 0
}

// charge takes note that an upstream has ended under an attempt. A request that was
// answered here lately is excused once: of those asked for all the time some run at each
// upstream, and would be quarantined whenever three end at once.
func (o *Owner) charge(a *Attempt, e end) {
	if endsUnder(o.cfg.Suspects, a) >= e.from && !o.recent.Take(a.digest()) {
		o.cfg.Suspects.Charge(a.digest(), suspect.EndOf(a.Upstream, o.cfg.Incarnation, e.n))
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
