package system

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// Records of suspects (requests that were running at an upstream when it crashed) are
// distributed in two ways. Changes are sent at once, without a gossip window, along all
// connections, and the daemon sends its records on a new connection if the peer's table
// differs. Quarantined requests are also written to the store, for daemons that no peer can
// inform and for daemons that start after all daemons have stopped.

// SuspectsChanged reports that the table of suspects has changed.
type SuspectsChanged struct{}

// QuarantineRead is the result of a read of the quarantined requests in the store, or its
// error.
type QuarantineRead struct {
	Records []suspect.Record
	// Complete is set if Records are all records in the store; otherwise they are those
	// added since the last read.
	Complete bool
	Err      error
}

const (
	// storeTurnDelay is the additional time that each next reader of the store waits
	// before it writes a record that is still missing. It covers several round trips to
	// the store, so that the first reader's write has been read back by then.
	storeTurnDelay = 150 * time.Millisecond
	// storeWriteRetry is the time after which a reader that has not read its record back
	// writes it again.
	storeWriteRetry = 2 * time.Second
	// storeCheckInterval is the interval at which readers compare the store's records with
	// the table of suspects.
	storeCheckInterval = 100 * time.Millisecond
)

// suspectsHash returns the hash of the table of suspects that a hello carries.
func suspectsHash(w *table.World) string { return strconv.FormatUint(w.Suspects.Hash(), 16) }

// sendSuspects sends the known suspects on a new connection, if the peer's hash differs.
func sendSuspects(w *table.World, l *table.Link, h wire.Hello, out *Outbox) {
	l.TakesSuspects = h.Suspects != ""
	if !l.TakesSuspects || h.Suspects == suspectsHash(w) {
		return
	}
	if records := w.Suspects.Records(); len(records) > 0 {
		out.send(l.ID, wire.Suspects{Records: records})
	}
}

// receiveSuspects merges the suspects that a peer knows.
func receiveSuspects(w *table.World, l *table.Link, m wire.Suspects) {
	for _, r := range m.Records {
		if w.Suspects.Merge(r) {
			w.Quarantine.From[r.Digest] = l.ID
		}
	}
}

// runSuspects forwards changes of suspects, wherever they were detected, and keeps the
// store's records in sync.
func runSuspects(w *table.World, now time.Time, out *Outbox) {
	changes := w.Suspects.Changes()
	for _, c := range changes {
		reportSuspect(c, out)
	}
	if len(changes) > 0 {
		forwardSuspects(w, changes, out)
		clear(w.Quarantine.From)
	}
	out.ReadQuarantine = readsQuarantine(w, now)
	syncQuarantine(w, now, out)
}

func forwardSuspects(w *table.World, changes []suspect.Change, out *Outbox) {
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

func reportSuspect(c suspect.Change, out *Outbox) {
	kind := event.Suspected
	switch {
	case c.Quarantined() && !c.WasQuarantined:
		kind = event.Quarantined
		out.Quarantined = append(out.Quarantined, c.Record)
	case len(c.Crashes) == 0 && c.Before > 0:
		kind = event.Cleared
	case len(c.Crashes) == c.Before:
		return
	}
	out.event(event.Event{
		Kind: kind, Request: c.Digest.String(),
		Detail: fmt.Sprintf("%d upstreams have crashed while running it, %d before, round %d", len(c.Crashes), c.Before, c.Round),
	})
}

// readsQuarantine reports whether this daemon reads the quarantine from the store. The
// daemons that read the configuration from the store do so, while the store answers them.
func readsQuarantine(w *table.World, now time.Time) bool {
	if !w.MembersTree.Root || !w.Log.Up || !mayReadLog(w, now) {
		return false
	}
	if w.MembersTree.Rank >= w.Params.Roots && !orphaned(w, now) {
		return false // about to find a parent
	}
	return isSettled(w, now) || readsQuarantineUnsettled(w)
}

// maxStoredRecords bounds the copies of the store's records held in memory, whoever wrote
// them.
const maxStoredRecords = 2 * suspect.MaxRecords

// receiveStoredQuarantine merges the records read from the store.
func receiveStoredQuarantine(w *table.World, r QuarantineRead) {
	if r.Err != nil {
		return
	}
	q := &w.Quarantine
	q.Read = true
	if r.Complete {
		clear(q.Stored)
	}
	for _, rec := range r.Records {
		if _, ok := q.Stored[rec.Digest]; ok || len(q.Stored) < maxStoredRecords {
			q.Stored[rec.Digest] = rec
		}
		w.Suspects.Merge(rec)
	}
}

// syncQuarantine writes to the store the records it lacks, and deletes expired ones.
func syncQuarantine(w *table.World, now time.Time, out *Outbox) {
	q := &w.Quarantine
	if now.Before(q.NextCheck) || !q.Read || !readsQuarantine(w, now) || !w.Suspects.Any() && len(q.Stored) == 0 {
		return
	}
	q.NextCheck = now.Add(storeCheckInterval)
	due := map[suspect.Digest]time.Time{}
	for _, d := range slices.Sorted(maps.Keys(q.Stored)) {
		if q.Stored[d].Expired(now) && takeStoreTurn(w, now, d, due) {
			out.DeleteQuarantine = append(out.DeleteQuarantine, d)
			delete(q.Stored, d)
		}
	}
	for _, r := range w.Suspects.Records() {
		r.Run = suspect.Run{} // the run has ended by the time the record is read from the store
		stored, ok := q.Stored[r.Digest]
		missing := !ok && r.Quarantined() || ok && !stored.Same(r)
		if missing && takeStoreTurn(w, now, r.Digest, due) {
			out.StoreQuarantine = append(out.StoreQuarantine, r)
		}
	}
	q.Due = due
}

// takeStoreTurn reports whether it is this reader's turn to change a record in the store,
// and records the time of its next turn in due.
func takeStoreTurn(w *table.World, now time.Time, d suspect.Digest, due map[suspect.Digest]time.Time) bool {
	at, ok := w.Quarantine.Due[d]
	if !ok {
		at = now.Add(storeTurnDelay * time.Duration(rootIndex(w)))
	}
	myTurn := !now.Before(at)
	if myTurn {
		at = now.Add(storeWriteRetry)
	}
	due[d] = at
	return myTurn
}
