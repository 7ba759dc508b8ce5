package callpath

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/suspect"
)

// Containment of poison requests, which crash the upstreams that run them: all copies of
// a request count as one request, wherever they enter and under whatever ID. When an
// upstream crashes, the requests that were running there become suspects; a response
// clears a suspect, unless it has a 5xx status. All copies of a suspect are sent to the
// same upstream and run there one at a time, so that copies sent at the same time crash
// one upstream and not several. A suspect with two crashes runs beside no other suspect,
// so that the third crash identifies the poison request. A request with three crashes is
// quarantined once one of them is attributed to it: it is refused.

// quarantineSettleTime is the age from which a quarantine is considered settled. Before
// that, a quarantine that hit a harmless request may still be cleared by the response to
// a copy that was already running.
const quarantineSettleTime = time.Second

// quarantined reports whether an attempt's request is quarantined, and the refusal to
// return for it. Once the quarantine is settled, the refusal has the longest retry-after
// time: retrying soon is of no use until the upstream or the caller has been repaired.
func quarantined(t *suspect.Table, a *Attempt, now time.Time) (outcome.Result, bool) {
	rec := suspectRecord(t, a)
	if !rec.Quarantined() {
		return outcome.Result{}, false
	}
	if left := quarantineSettleTime - now.Sub(time.UnixMilli(rec.At)); left > 0 {
		return outcome.Refuse(outcome.ReasonQuarantined, min(left, quarantineSettleTime)), true
	}
	return outcome.Refuse(outcome.ReasonQuarantined, outcome.MaxRetryAfter), true
}

// suspectRetryAfter is the retry-after time for copies of a suspect that is running: by
// then most runs have finished or crashed.
const suspectRetryAfter = 100 * time.Millisecond

// suspectRecord returns the suspect record of an attempt's request. While there are no
// suspects at all, the request is not even hashed.
func suspectRecord(t *suspect.Table, a *Attempt) suspect.Record {
	if !t.Any() {
		return suspect.Record{}
	}
	rec, _ := t.Record(a.digest())
	return rec
}

// crashCount returns how many crashes are recorded for an attempt's request.
func crashCount(t *suspect.Table, a *Attempt) int { return len(suspectRecord(t, a).Crashes) }

// isolationThreshold is the number of crashes, one short of quarantine, from which a
// suspect runs beside no other suspect.
const isolationThreshold = suspect.QuarantineThreshold - 1

// checkSuspect refuses an attempt that must not run now because of the crashes recorded
// for its request. If it returns no reason, the attempt has been added to loc.attempts, and
// endAttempt must follow.
func (o *Owner) checkSuspect(loc *localUpstream, a *Attempt) outcome.Result {
	if refusal, blocked := quarantined(o.cfg.Suspects, a, o.cfg.Now()); blocked {
		return refusal
	}
	isolated := crashCount(o.cfg.Suspects, a) >= isolationThreshold
	if isolated && o.cfg.Suspects.RunsElsewhere(a.digest(), a.Upstream) {
		return outcome.Refuse(outcome.ReasonSuspectRunning, suspectRetryAfter)
	}
	loc.attempts.expire(o.cfg.Now())
	switch reason := loc.attempts.tryAdd(o.cfg.Suspects, a); reason {
	case "":
		if isolated {
			o.cfg.Suspects.BeginRun(a.digest(), a.Upstream)
		}
		return outcome.Result{}
	case outcome.ReasonSuspectRunning:
		return outcome.Refuse(reason, suspectRetryAfter)
	default:
		return outcome.Refuse(reason, outcome.MinRetryAfter)
	}
}

// endAttempt removes an attempt that has ended or is refused. If its run was announced, so is
// the end of the run.
func (o *Owner) endAttempt(loc *localUpstream, a *Attempt) {
	if loc.attempts.remove(a) && o.cfg.Suspects.Any() {
		o.cfg.Suspects.EndRun(a.digest(), a.Upstream)
	}
}

// abandonAttempt handles an attempt whose sender has left before the response. The upstream may
// still run it and crash, which counts against the request as if the sender had waited. The
// announcement of a suspect's run lapses by itself.
func (o *Owner) abandonAttempt(loc *localUpstream, a *Attempt, began time.Time) {
	loc.attempts.abandon(a)
	loc.attempts.expire(o.cfg.Now())
	if c := loc.crashes.since(began); c.n > 0 {
		o.recordAbandoned(loc, a.Upstream, c)
	}
}

// recordAbandoned records a crash for the attempts whose senders had left.
func (o *Owner) recordAbandoned(loc *localUpstream, upstream string, c crash) {
	for _, d := range loc.attempts.takeAbandoned() {
		o.recordCrashOf(d, upstream, c)
	}
}

// recordCrash records that an upstream crashed while it ran the attempt.
func (o *Owner) recordCrash(a *Attempt, c crash) { o.recordCrashOf(a.digest(), a.Upstream, c) }

// recordCrashOf records that an upstream crashed while it ran a request. Only the culprit
// of the crash can be moved into quarantine by it; otherwise requests that run beside a
// poison request would be quarantined too. Crashes of other upstreams that this daemon has
// not heard of yet can still raise the count of the others to the threshold, so that a
// crash is recorded as unattributed for them. The first crash of a request after it was
// answered here is not recorded for it if that answer is recent: popular requests are
// running at nearly every upstream at any time and would be quarantined whenever three
// upstreams crash at once.
func (o *Owner) recordCrashOf(d suspect.Digest, upstream string, c crash) {
	t := o.cfg.Suspects
	if t.CrashCount(d) >= isolationThreshold && d != c.culprit || o.recent.ExemptOnce(d) {
		return
	}
	id := suspect.NewCrashID(upstream, o.cfg.Incarnation, c.n)
	if d == c.culprit {
		t.RecordCrash(d, id)
		return
	}
	t.RecordUnattributedCrash(d, id)
}

// ClearIfAnswered clears a request that has just been quarantined if an upstream here
// answered it recently: if all upstreams that were running it crash at once, none is left
// whose response could clear it. A request is cleared this way only once until it is
// answered again; otherwise a request that has become poisonous could crash three more
// upstreams for each daemon that answered it before.
func (o *Owner) ClearIfAnswered(r suspect.Record) {
	if r.Quarantined() && !r.ClearedUnanswered && o.recent.Has(r.Digest) {
		o.cfg.Suspects.ClearUnanswered(r.Digest)
	}
}

// recordAnswer records that the upstream survived the attempt, which clears the request
// as a suspect. A 5xx status clears nothing: an upstream may send it just before it
// crashes.
func (o *Owner) recordAnswer(a *Attempt, status int) {
	if status >= http.StatusInternalServerError {
		return
	}
	if a.Body.Len() < outcome.LongBody {
		o.recent.Add(a.digest())
	}
	if o.cfg.Suspects.Any() {
		o.cfg.Suspects.Answered(a.digest())
	}
}

// setSuspectHeader puts the suspect record of an attempt's request, if it has any crashes,
// into the headers of a message, so that the receiving daemon has it before it acts on
// the message.
func setSuspectHeader(h http.Header, t *suspect.Table, a *Attempt) {
	rec := suspectRecord(t, a)
	if len(rec.Crashes) == 0 {
		return
	}
	if b, err := json.Marshal(rec); err == nil {
		h.Set(headerSuspect, string(b))
	}
}

// mergeSuspectHeader merges the suspect record that setSuspectHeader put into the
// headers. A record that cannot be decoded is ignored.
func mergeSuspectHeader(h http.Header, t *suspect.Table) {
	var rec suspect.Record
	if text := h.Get(headerSuspect); text != "" && json.Unmarshal([]byte(text), &rec) == nil {
		t.Merge(rec)
	}
}
