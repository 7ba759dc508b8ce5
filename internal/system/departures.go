package system

import (
	"slices"
	"strings"
	"time"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// departedRetention is how long late announcements of an upstream that has left or lapsed are
// expected. They are known to arrive seconds late.
const departedRetention = 2 * time.Minute

// removeUpstream removes an upstream that is about to exit. A late report does not remove
// a later incarnation of the same name.
func removeUpstream(w *table.World, now time.Time, r Removed, out *Outbox) {
	startedMs := r.StartedMs
	covers := func(l table.Local) bool {
		return l.Name == r.Name && (r.StartedMs == 0 || l.StartedMs <= r.StartedMs)
	}
	for _, c := range w.Candidates {
		if covers(c.Local) {
			startedMs = max(startedMs, c.StartedMs)
		}
	}
	for _, id := range sortedKeys(w.Locals) {
		if row := w.Locals[id]; covers(*row) {
			startedMs = max(startedMs, row.StartedMs)
			removeLocal(w, row, "deregistered", out)
		}
	}
	if _, known := w.Departed[r.Name]; startedMs == 0 && !known {
		startedMs = now.UnixMilli() // incarnation unknown: ignore announcements of any until now
	}
	recordDeparture(w, now, r.Name, startedMs)
	publishLocals(w)
}

// maxDepartures bounds the departures that are remembered, and so the size of this daemon's
// record. A VM has one upstream or a few.
const maxDepartures = 256

// recordDeparture records that an incarnation has left, so that its late announcements do not
// register it again. The caller publishes the change.
func recordDeparture(w *table.World, now time.Time, name string, startedMs int64) {
	w.Departed[name] = table.Departure{StartedMs: max(startedMs, w.Departed[name].StartedMs), Until: now.Add(departedRetention)}
	for id, c := range w.Candidates {
		if c.Name == name && c.StartedMs <= startedMs {
			delete(w.Candidates, id)
		}
	}
	for len(w.Departed) > maxDepartures {
		oldest := slices.MinFunc(sortedKeys(w.Departed), func(a, b string) int { return w.Departed[a].Until.Compare(w.Departed[b].Until) })
		delete(w.Departed, oldest)
	}
}

// expireDepartures forgets what late announcements are no longer expected of.
func expireDepartures(w *table.World, now time.Time) {
	for id, row := range w.Lapsed {
		if now.After(row.Until) {
			delete(w.Lapsed, id)
		}
	}
	expired := false
	for name, d := range w.Departed {
		if now.After(d.Until) {
			delete(w.Departed, name)
			expired = true
		}
	}
	if expired {
		publishLocals(w)
	}
}

// ownDepartures returns the upstreams on this VM that have said that they leave, whether or not
// they still announce themselves, sorted by name.
func ownDepartures(w *table.World) []wire.Departure {
	started := make(map[string]int64, len(w.Departed))
	for name, d := range w.Departed {
		started[name] = d.StartedMs
	}
	for _, row := range w.Locals {
		if row.Draining && row.Numbered() {
			started[row.Name] = max(started[row.Name], row.StartedMs)
		}
	}
	var list []wire.Departure
	for name, ms := range started {
		list = append(list, wire.Departure{Name: name, StartedMs: ms})
	}
	slices.SortFunc(list, func(a, b wire.Departure) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// DeparturesHeld reports whether a departure that was added to this daemon's record at the given
// revision survives this daemon: another daemon and the store hold it or, if one suffices,
// either of them. Another daemon suffices only if the store is known to fail, as both may restart
// together. If no other daemon can hold it, as there is none or all connected ones are of
// builds that do not remember departures, it counts as held by another daemon.
func DeparturesHeld(w *table.World, seq uint64, oneSuffices bool) bool {
	peer := w.Memory.HeldByPeer >= seq || !peersCanHold(w)
	stored := w.Memory.HeldByStore >= seq
	return peer && stored || oneSuffices && (stored || peer && w.Memory.StoreFailed)
}

// peersCanHold reports whether another daemon can hold this daemon's departures, now or once it is
// connected.
func peersCanHold(w *table.World) bool {
	connected, takes := false, false
	for _, l := range w.Links {
		connected = connected || l.Up()
		takes = takes || l.Up() && l.TakesDepartures
	}
	if connected {
		return takes
	}
	for _, m := range w.Members {
		if !m.Lapsed {
			return true
		}
	}
	return false
}

// acknowledgeRecord tells the sender of a record of its own that this daemon holds it, if it
// contains departures.
func acknowledgeRecord(w *table.World, from table.LinkID, rec wire.Member, out *Outbox) {
	l, row := w.Links[from], w.Members[rec.ID]
	if l == nil || l.Peer != rec.ID || !l.TakesDepartures || len(rec.Departures) == 0 {
		return
	}
	if row == nil || row.Incarnation != rec.Incarnation || rec.Newer(row.Member) {
		return // the record was ignored
	}
	out.send(from, wire.DeparturesHeld{Incarnation: rec.Incarnation, Seq: rec.Seq})
}

func receiveDeparturesHeld(w *table.World, m wire.DeparturesHeld) {
	if m.Incarnation == w.Self.Incarnation {
		w.Memory.HeldByPeer = max(w.Memory.HeldByPeer, m.Seq)
	}
}

// keepDepartures keeps the departures of a member whose next incarnation has started. The new one
// does not know of them.
func keepDepartures(row *table.Member, now time.Time) {
	row.PastDepartures = slices.DeleteFunc(row.PastDepartures, func(d table.PastDeparture) bool { return now.After(d.Until) })
	for _, d := range row.Departures {
		row.PastDepartures = append(row.PastDepartures, table.PastDeparture{Departure: d, Until: now.Add(departedRetention)})
	}
}

// sendDepartures tells the daemon at the other end of a connection which upstreams on its VM
// have left, as far as this daemon remembers.
func sendDepartures(w *table.World, now time.Time, l *table.Link, out *Outbox) {
	if !l.TakesDepartures {
		return
	}
	m := wire.Departures{UpMs: now.Sub(w.AwakeSince).Milliseconds()}
	if row := w.Members[l.Peer]; row != nil {
		m.List = append(m.List, row.Departures...)
		for _, d := range row.PastDepartures {
			if !now.After(d.Until) {
				m.List = append(m.List, d.Departure)
			}
		}
	}
	out.send(l.ID, m)
}

// receiveDepartures takes over what a peer remembers of this daemon's earlier incarnations.
func receiveDepartures(w *table.World, now time.Time, l *table.Link, m wire.Departures, out *Outbox) {
	if started := now.Add(-time.Duration(m.UpMs) * time.Millisecond); w.Memory.OldestPeer.IsZero() || started.Before(w.Memory.OldestPeer) {
		w.Memory.OldestPeer = started
	}
	recallDepartures(w, now, m.List, l.Peer, out)
}

// recallDepartures takes over departures from the memory of a peer or the store.
func recallDepartures(w *table.World, now time.Time, list []wire.Departure, from string, out *Outbox) {
	for _, d := range list {
		if known, ok := w.Departed[d.Name]; ok && known.StartedMs >= d.StartedMs {
			continue
		}
		w.Departed[d.Name] = table.Departure{StartedMs: d.StartedMs, Until: now.Add(departedRetention), Recalled: true}
		endDeparted(w, d, from, out)
		publishLocals(w)
	}
}

// endDeparted sends no more calls to an upstream that has left according to from.
func endDeparted(w *table.World, d wire.Departure, from string, out *Outbox) {
	detail := "it left before this daemon was started, according to " + from
	for _, id := range sortedKeys(w.Candidates) {
		if c := w.Candidates[id]; c.Name == d.Name && c.StartedMs <= d.StartedMs {
			delete(w.Candidates, id)
			out.event(event.Event{Kind: event.AnnouncedLate, Service: c.Service, Peer: id, Detail: detail})
		}
	}
	for _, id := range sortedKeys(w.Locals) {
		row := w.Locals[id]
		if row.Name == d.Name && row.StartedMs <= d.StartedMs && row.Numbered() && !row.Draining {
			row.Draining = true
			out.event(event.Event{Kind: event.UpstreamDraining, Service: row.Service, Peer: id, Detail: detail})
		}
	}
}
