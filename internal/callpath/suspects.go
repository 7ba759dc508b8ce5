package callpath

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/pick"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/view"
)

// A request that ends the upstreams which run it is run on few of them: whatever copies
// of it come, wherever and under whatever ID, count as one request. An upstream that ends
// makes suspects of all that ran there; an answer clears one. The one with two ends goes
// to one upstream of all, and runs there beside no other such, so that the third end
// tells which of them it is; with three ends it is refused.

// quarantined is the answer to a request that is run no more. To come back soon serves
// nobody: it takes a repair of the upstream, or of the caller.
func quarantined() outcome.Result {
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

// home returns the upstream that a request a step from quarantine goes to: the same one
// from all daemons, so that copies that come at once end one upstream and not several.
func home(s *view.Service, a *Attempt, tried []string) *view.Service {
	left := slices.DeleteFunc(slices.Clone(s.Upstreams), func(u view.Upstream) bool { return slices.Contains(tried, u.ID) })
	only := &view.Service{Service: s.Service}
	if u := pick.Home(left, a.digest().String()); u != nil {
		only.Upstreams = []view.Upstream{*u}
	}
	return only
}

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

// charge takes note that an upstream has ended under an attempt.
func (o *Owner) charge(a *Attempt, end uint64) {
	o.cfg.Suspects.Charge(a.digest(), suspect.EndOf(a.Upstream, o.cfg.Incarnation, end))
}

// answered takes note that the upstream lives on after it has run the attempt. An
// upstream's own failure tells nothing: it may be what it says before it ends.
func (o *Owner) answered(a *Attempt, status int) {
	if status < http.StatusInternalServerError && endsUnder(o.cfg.Suspects, a) > 0 {
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
