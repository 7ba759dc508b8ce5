package system

import (
	"slices"
	"time"

	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// DepartureRecord is the store's record of the departures on this daemon's VM. It is of use once
// this daemon and those that remember for it have restarted together.
type DepartureRecord struct {
	// Seq is the revision of the daemon's own record that has the same departures.
	Seq uint64
	// List is empty if the record is to be deleted.
	List []wire.Departure
}

// DeparturesStored is the result of a write of a DepartureRecord.
type DeparturesStored struct {
	// Seq is the revision of the record that was written.
	Seq uint64
	// Failed is set if the store did not confirm it. It is written again.
	Failed bool
}

// DeparturesRead is the result of a read of the store's record.
type DeparturesRead struct {
	// List is empty if the store has no record of this daemon's VM.
	List []wire.Departure
	// Failed is set if the store did not return it.
	Failed bool
}

// departureReadInterval is the interval of reads of the store's record until one succeeds.
const departureReadInterval = time.Second

// addsDeparture reports whether after lists a departure that before does not.
func addsDeparture(before, after []wire.Departure) bool {
	return slices.ContainsFunc(after, func(d wire.Departure) bool { return !slices.Contains(before, d) })
}

// compareStored notes whether the store's record must be replaced. One that lists departures
// which are no longer remembered does no harm until the last of them is forgotten.
func compareStored(w *table.World) {
	forgotten := len(w.Self.Departures) == 0 && len(w.Memory.Stored) > 0
	w.Memory.Unstored = forgotten || addsDeparture(w.Memory.Stored, w.Self.Departures)
}

// storeDepartures has the store remember the departures on this VM. What the store remembers of
// this daemon's earlier incarnations is read before it is replaced.
func storeDepartures(w *table.World, now time.Time, out *Outbox) {
	switch {
	case !w.Memory.Unstored:
	case !w.Memory.StoreRead:
		requestStoredDepartures(w, now, out)
	default:
		w.Memory.Unstored, w.Memory.Stored = false, w.Self.Departures
		out.StoreDepartures = &DepartureRecord{Seq: w.Self.Seq, List: w.Self.Departures}
	}
}

// requestStoredDepartures asks the store what it remembers, unless it was asked just before.
func requestStoredDepartures(w *table.World, now time.Time, out *Outbox) {
	if now.Before(w.Memory.NextRead) {
		return
	}
	w.Memory.NextRead = now.Add(departureReadInterval)
	out.ReadDepartures = true
}

// readStoredDepartures asks the store if the candidate waits for a confirmation. The peers of this
// daemon may all be others than those that its earlier incarnation has told.
func readStoredDepartures(w *table.World, now time.Time, c *table.Candidate, out *Outbox) {
	if !w.Memory.StoreRead && !hasNotLeft(w, now, c) {
		requestStoredDepartures(w, now, out)
	}
}

func receiveDeparturesStored(w *table.World, s DeparturesStored) {
	w.Memory.StoreFailed = s.Failed
	if !s.Failed {
		w.Memory.HeldByStore = max(w.Memory.HeldByStore, s.Seq)
	}
}

func receiveStoredDepartures(w *table.World, now time.Time, r DeparturesRead, out *Outbox) {
	w.Memory.StoreFailed = r.Failed
	if r.Failed {
		return
	}
	w.Memory.StoreRead, w.Memory.Stored = true, r.List
	recallDepartures(w, now, r.List, "the store", out)
	compareStored(w)
	if !w.Memory.Unstored {
		w.Memory.HeldByStore = w.Self.Seq
	}
}
