package system

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// queueRecord queues a member's whole record for the current gossip window.
func queueRecord(w *table.World, now time.Time, id string, from table.LinkID) {
	w.Outgoing.Full[id] = from
	delete(w.Outgoing.Beats, id)
	startGossipWindow(w, now)
}

// queueRenewal queues a member's renewal for the current gossip window, unless its whole
// record is queued already.
func queueRenewal(w *table.World, now time.Time, id string, from table.LinkID) {
	if _, ok := w.Outgoing.Full[id]; ok {
		return
	}
	w.Outgoing.Beats[id] = from
	startGossipWindow(w, now)
}

func startGossipWindow(w *table.World, now time.Time) {
	if w.Outgoing.Due.IsZero() {
		w.Outgoing.Due = now.Add(w.Params.Window)
	}
}

// runGossip sends the queued changes when the window has ended.
func runGossip(w *table.World, now time.Time, out *Outbox) {
	if w.Outgoing.Due.IsZero() || now.Before(w.Outgoing.Due) {
		return
	}
	for _, l := range neighbours(w) {
		if m := queuedFor(w, now, l); len(m.Full)+len(m.Beats) > 0 {
			out.send(l.ID, m)
		}
	}
	clear(w.Outgoing.Full)
	clear(w.Outgoing.Beats)
	w.Outgoing.Due = time.Time{}
}

// queuedFor returns the queued changes to send on this connection.
func queuedFor(w *table.World, now time.Time, l *table.Link) wire.Members {
	var m wire.Members
	for _, id := range sortedKeys(w.Outgoing.Full) {
		if !forwardsTo(w, w.Outgoing.Full[id], l) {
			continue
		}
		if id == w.Self.ID {
			m.Full = append(m.Full, w.Self)
		} else if row := w.Members[id]; row != nil {
			m.Full = append(m.Full, recordWithAge(row, now))
		}
	}
	for _, id := range sortedKeys(w.Outgoing.Beats) {
		if !forwardsTo(w, w.Outgoing.Beats[id], l) {
			continue
		}
		if id == w.Self.ID {
			m.Beats = append(m.Beats, beatOf(w.Self))
		} else if row := w.Members[id]; row != nil {
			m.Beats = append(m.Beats, beatOf(row.Member))
		}
	}
	return m
}

func beatOf(m wire.Member) wire.BeatOf {
	return wire.BeatOf{ID: m.ID, Incarnation: m.Incarnation, Beat: m.Beat}
}

// forwardsTo reports whether a change received on one connection is sent on another. A
// change from another failure domain is forwarded only within this domain: its own roots
// send it to the other domains, and in a full mesh of roots each root would otherwise
// receive every change from all others.
func forwardsTo(w *table.World, from table.LinkID, to *table.Link) bool {
	if from == to.ID {
		return false
	}
	src := w.Links[from]
	if src == nil {
		return true
	}
	return src.Domain == w.Self.Domain || to.Domain == w.Self.Domain
}
