package system

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// gatherFull puts a member's whole record into the next window.
func gatherFull(w *table.World, now time.Time, id string, from table.LinkID) {
	w.Outgoing.Full[id] = from
	delete(w.Outgoing.Beats, id)
	startWindow(w, now)
}

// gatherBeat puts a member's renewal into the next window.
func gatherBeat(w *table.World, now time.Time, id string, from table.LinkID) {
	if _, ok := w.Outgoing.Full[id]; ok {
		return
	}
	w.Outgoing.Beats[id] = from
	startWindow(w, now)
}

func startWindow(w *table.World, now time.Time) {
	if w.Outgoing.Due.IsZero() {
		w.Outgoing.Due = now.Add(w.Params.Window)
	}
}

// runGossip passes on what the window gathered, once it has ended.
func runGossip(w *table.World, now time.Time, out *Outbox) {
	if w.Outgoing.Due.IsZero() || now.Before(w.Outgoing.Due) {
		return
	}
	for _, l := range neighbours(w) {
		if m := gathered(w, now, l); len(m.Full)+len(m.Beats) > 0 {
			out.send(l.ID, m)
		}
	}
	clear(w.Outgoing.Full)
	clear(w.Outgoing.Beats)
	w.Outgoing.Due = time.Time{}
}

// gathered returns what the window holds for this connection.
func gathered(w *table.World, now time.Time, l *table.Link) wire.Members {
	var m wire.Members
	for _, id := range sortedKeys(w.Outgoing.Full) {
		if !passes(w, w.Outgoing.Full[id], l) {
			continue
		}
		if id == w.Self.ID {
			m.Full = append(m.Full, w.Self)
		} else if row := w.Members[id]; row != nil {
			m.Full = append(m.Full, copyOf(row, now))
		}
	}
	for _, id := range sortedKeys(w.Outgoing.Beats) {
		if !passes(w, w.Outgoing.Beats[id], l) {
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

// passes reports whether news from one connection goes out on another. News
// from another failure domain goes to this domain only: its own roots tell
// the other domains, and a full mesh of roots would hear everything from all.
func passes(w *table.World, from table.LinkID, to *table.Link) bool {
	if from == to.ID {
		return false
	}
	src := w.Links[from]
	if src == nil {
		return true
	}
	return src.Domain == w.Self.Domain || to.Domain == w.Self.Domain
}
