package ledger

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

// TestAttemptIsRunOnceOrReportedAsNotRun guards against an attempt that starts twice, and
// against one that starts although it was voided or refused. It draws sequences of messages
// about a few attempts, with copies that arrive late and pauses of less than entryRetention.
func TestAttemptIsRunOnceOrReportedAsNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Unix(1000, 0)
		l := New(func() time.Time { return at })
		deadline := at.Add(time.Second)
		started, notRun := map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, int(time.Second)).Draw(t, "pause")))
			id := strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "id"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				reason, ok := l.Receive(Attempt{ID: id, Deadline: deadline})
				if ok && (started[id] || notRun[id]) || !ok && reason == outcome.ReasonVoided && !notRun[id] {
					t.Fatalf("received %s: %v %q, started %v, not run %v", id, ok, reason, started[id], notRun[id])
				}
			case 1:
				if l.Start(id) {
					if started[id] || notRun[id] {
						t.Fatalf("%s started, before: started %v, not run %v", id, started[id], notRun[id])
					}
					started[id] = true
				}
			case 2:
				l.Finish(id)
			case 3:
				if l.TryVoid(id, deadline) == Voided {
					if started[id] {
						t.Fatalf("%s was voided after it had started", id)
					}
					notRun[id] = true
				}
			case 4:
				if l.State(id) == Waiting {
					l.Abandon(id)
					notRun[id] = true
				}
			}
		}
	})
}

// TestIdempotencyKeyIsHeldByOneAttempt guards against a second run of a request that its
// caller repeats under the same key. The key of an attempt that has not run is free again.
func TestIdempotencyKeyIsHeldByOneAttempt(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	l := New(func() time.Time { return at })
	receive := func(id, caller string) outcome.Reason {
		reason, ok := l.Receive(Attempt{ID: id, Caller: caller, IdempotencyKey: "k", Deadline: at.Add(time.Second)})
		is.Equal(ok, reason == "")
		return reason
	}
	is.Equal(receive("a", "one"), outcome.Reason(""))
	is.Equal(receive("b", "one"), outcome.ReasonDuplicate)
	is.Equal(receive("c", "other"), outcome.Reason(""))
	l.Abandon("a")
	is.Equal(receive("d", "one"), outcome.Reason(""))
	at = at.Add(keyRetention)
	is.Equal(receive("e", "one"), outcome.ReasonDuplicate)
	at = at.Add(time.Second + sweepInterval)
	is.Equal(receive("f", "one"), outcome.Reason(""))
}

// TestEntriesExpire guards against a ledger that grows without bound, and against one that
// forgets an attempt while a late copy of it could still arrive.
func TestEntriesExpire(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	l := New(func() time.Time { return at })
	_, ok := l.Receive(Attempt{ID: "a", Deadline: at.Add(time.Second)})
	is.True(ok)
	is.Equal(l.TryVoid("b", at.Add(time.Second)), Voided) // before it arrives
	at = at.Add(entryRetention)
	reason, ok := l.Receive(Attempt{ID: "a", Deadline: at})
	is.True(!ok)
	is.Equal(reason, outcome.ReasonDuplicate)
	reason, _ = l.Receive(Attempt{ID: "b", Deadline: at})
	is.Equal(reason, outcome.ReasonVoided)
	at = at.Add(time.Second + sweepInterval)
	_, ok = l.Receive(Attempt{ID: "c", Deadline: at})
	is.True(ok)
	is.Equal(l.State("a"), Unseen)
	is.Equal(l.State("b"), Unseen)
}

// TestFullLedgerRefuses guards against a full ledger that drops entries: late copies of their
// attempts could run again.
func TestFullLedgerRefuses(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	l := New(func() time.Time { return at })
	for i := range maxEntries {
		l.Receive(Attempt{ID: strconv.Itoa(i), Deadline: at})
	}
	reason, ok := l.Receive(Attempt{ID: "one too many", Deadline: at})
	is.True(!ok)
	is.Equal(reason, outcome.ReasonOverload)
	reason, _ = l.Receive(Attempt{ID: "0", Deadline: at})
	is.Equal(reason, outcome.ReasonDuplicate)
}
