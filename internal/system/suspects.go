package system

import (
	"fmt"
	"strconv"
	"time"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// What is known of requests under which upstreams have ended spreads in two ways. News
// go at once, without a window, from daemon to daemon along all connections, and a new
// connection brings what the other end lacks. Quarantined requests are left on the store
// as well, where daemons find them that nobody else can tell, and those that start when
// all have ended.

// Suspected says that the table of suspects has changed.
type Suspected struct{}

// QuarantineRead is what the store holds of quarantined requests, or the error.
type QuarantineRead struct {
	Records []suspect.Record
	// Whole says that these are all; else they were added since the last read.
	Whole bool
	Err   error
}

const (
	// keepTurn is how much later each next reader of the store leaves a record there if
	// it is still missing: several round trips to the store, so that the first one's
	// has come back.
	keepTurn = 150 * time.Millisecond
	// keepRetry is when a reader leaves a record there again that it has not read back.
	keepRetry = 2 * time.Second
	// keepCheck is the interval at which readers compare the store with what they know.
	keepCheck = 100 * time.Millisecond
)

// suspectsHash is what a hello says of the table of suspects.
func suspectsHash(w *table.World) string { return strconv.FormatUint(w.Suspects.Hash(), 16) }

// tellSuspects sends a new connection what is known, if the other end knows anything else.
func tellSuspects(w *table.World, l *table.Link, h wire.Hello, out *Outbox) {
	l.TakesSuspects = h.Suspects != ""
	if !l.TakesSuspects || h.Suspects == suspectsHash(w) {
		return
	}
	if records := w.Suspects.Records(); len(records) > 0 {
		out.send(l.ID, wire.Suspects{Records: records})
	}
}

// receiveSuspects takes in what another daemon knows.
func receiveSuspects(w *table.World, l *table.Link, m wire.Suspects) {
	for _, r := range m.Records {
		if w.Suspects.Merge(r) {
			w.Quarantine.From[r.Digest] = l.ID
		}
	}
}

// runSuspects passes on what has changed, whoever saw it, and keeps the store's records.
func runSuspects(w *table.World, now time.Time, out *Outbox) {
	changes := w.Suspects.Changes()
	for _, c := range changes {
		noteSuspect(c, out)
	}
	if len(changes) > 0 {
		passSuspects(w, changes, out)
		clear(w.Quarantine.From)
	}
	out.ReadQuarantine = readsQuarantine(w, now)
	keepQuarantine(w, now, out)
}

func passSuspects(w *table.World, changes []suspect.Change, out *Outbox) {
	for _, l := range neighbours(w) {
		if !l.TakesSuspects {
			continue
		}
		var m wire.Suspects
		for _, c := range changes {
			if w.Quarantine.From[c.Digest] != l.ID {
				m.Records = append(m.Records, c.Record)
			}
		}
		if len(m.Records) > 0 {
			out.send(l.ID, m)
		}
	}
}

func noteSuspect(c suspect.Change, out *Outbox) {
	kind := event.Suspected
	switch {
	case c.Quarantined() && c.Before < suspect.Enough:
		kind = event.Quarantined
		out.Quarantined = append(out.Quarantined, c.Record)
	case len(c.Ends) == 0 && c.Before > 0:
		kind = event.Cleared
	case len(c.Ends) == c.Before:
		return
	}
	out.event(event.Event{
		Kind: kind, Request: c.Digest.String(),
		Detail: fmt.Sprintf("%d upstreams have ended under it, %d before, round %d", len(c.Ends), c.Before, c.Round),
	})
}

// readsQuarantine reports whether this daemon reads the store's records: those do that
// read the configuration, while the store answers them.
func readsQuarantine(w *table.World, now time.Time) bool {
	return w.MembersTree.Root && w.Log.Up && mayReadLog(w, now)
}

// heldMost bounds the store's records that are kept in mind, whoever wrote them.
const heldMost = 2 * suspect.Most

// receiveQuarantine takes in what the store holds.
func receiveQuarantine(w *table.World, r QuarantineRead) {
	if r.Err != nil {
		return
	}
	q := &w.Quarantine
	q.Read = true
	if r.Whole {
		clear(q.Held)
	}
	for _, rec := range r.Records {
		if _, ok := q.Held[rec.Digest]; ok || len(q.Held) < heldMost {
			q.Held[rec.Digest] = rec
		}
		w.Suspects.Merge(rec)
	}
}

// keepQuarantine leaves on the store what it lacks, and asks for what is out of date
// there to be dropped.
func keepQuarantine(w *table.World, now time.Time, out *Outbox) {
	q := &w.Quarantine
	if now.Before(q.NextCheck) || !q.Read || !readsQuarantine(w, now) || !w.Suspects.Any() && len(q.Held) == 0 {
		return
	}
	q.NextCheck = now.Add(keepCheck)
	due := map[suspect.Digest]time.Time{}
	for d, held := range q.Held {
		if held.Expired(now) && keepNow(w, now, d, due) {
			out.DropQuarantine = append(out.DropQuarantine, d)
			delete(q.Held, d)
		}
	}
	for _, r := range w.Suspects.Records() {
		held, ok := q.Held[r.Digest]
		lacks := !ok && r.Quarantined() || ok && !held.Same(r)
		if lacks && keepNow(w, now, r.Digest, due) {
			out.KeepQuarantine = append(out.KeepQuarantine, r)
		}
	}
	q.Due = due
}

// keepNow reports whether it is this reader's turn to change a record on the store, and
// puts into due when it is its next turn.
func keepNow(w *table.World, now time.Time, d suspect.Digest, due map[suspect.Digest]time.Time) bool {
	at, ok := w.Quarantine.Due[d]
	if !ok {
		at = now.Add(keepTurn * time.Duration(turn(w)))
	}
	mine := !now.Before(at)
	if mine {
		at = now.Add(keepRetry)
	}
	due[d] = at
	return mine
}
