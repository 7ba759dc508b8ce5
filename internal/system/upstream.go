package system

import (
	"fmt"
	"slices"
	"time"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// receiveAnnouncement handles an upstream's announcement, either its first or a renewal.
func receiveAnnouncement(w *table.World, now time.Time, a table.Local, out *Outbox) {
	a.Until = now.Add(w.Params.UpstreamLapse)
	if reason := lateAnnouncement(w, a); reason != "" {
		out.event(event.Event{
			Kind: event.AnnouncedLate, Service: a.Service, Peer: a.ID, Detail: reason + ": " + describeAnnouncement(w, now, a),
		})
		return
	}
	old := w.Locals[a.ID]
	known := old != nil && old.Incarnation == a.Incarnation
	a.Draining = a.Draining || known && old.Draining
	switch {
	case known && old.Addr == a.Addr:
		renewLocal(w, now, old, a, out)
	case known || !a.Numbered():
		addLocal(w, now, a, describeAnnouncement(w, now, a), out)
	case a.Draining && addressHolder(w, a) != nil:
		// It may be late, from a process that has exited and whose address another one has.
		recordDeparture(w, now, a.Name, a.StartedMs)
		publishLocals(w)
	case a.Draining:
		addLocal(w, now, a, describeAnnouncement(w, now, a), out)
	default:
		receiveCandidate(w, now, a, out)
	}
}

// addLocal adds the row of an upstream, or replaces that of another incarnation or address.
func addLocal(w *table.World, now time.Time, a table.Local, detail string, out *Outbox) {
	removeDisplaced(w, now, a, out)
	delete(w.Candidates, a.ID)
	delete(w.Lapsed, a.ID)
	a.AnnouncedAtMs = now.UnixMilli()
	w.Locals[a.ID] = &a
	out.event(event.Event{Kind: event.UpstreamUp, Service: a.Service, Peer: a.ID, Detail: detail})
	publishLocals(w)
}

// renewLocal renews a row after an announcement of the same incarnation.
func renewLocal(w *table.World, now time.Time, old *table.Local, a table.Local, out *Outbox) {
	a.AnnouncedAtMs = old.AnnouncedAtMs
	a.Ramped = old.Ramped
	changed := a.Upstream != old.Upstream || a.Conns != old.Conns
	if a.Draining && !old.Draining {
		out.event(event.Event{Kind: event.UpstreamDraining, Service: a.Service, Peer: a.ID, Detail: describeAnnouncement(w, now, a)})
	}
	*old = a
	if changed {
		publishLocals(w)
	}
}

// describeAnnouncement returns what an announcement says of its sender and of its own age, and
// how long this daemon has been running: an announcement from before its start may arrive late.
func describeAnnouncement(w *table.World, now time.Time, a table.Local) string {
	state := "ready"
	if a.Draining {
		state = "draining"
	}
	return fmt.Sprintf("%s, sequence %d, started_ms %d, addr %s, daemon up %d ms", state, a.Sequence, a.StartedMs, a.Addr, now.Sub(w.Started).Milliseconds())
}

// lateAnnouncement returns why an announcement is known to be late, or "".
func lateAnnouncement(w *table.World, a table.Local) string {
	if d, ok := w.Departed[a.Name]; ok && a.StartedMs <= d.StartedMs && (a.Numbered() || !d.Recalled) {
		return "its incarnation has left"
	}
	for _, rows := range []map[string]*table.Local{w.Locals, w.Lapsed} {
		for _, row := range rows {
			if row.Name == a.Name && row.StartedMs > a.StartedMs {
				return "a later incarnation is known"
			}
		}
		if row := rows[a.ID]; row != nil && isOutOfOrder(row, a) {
			return fmt.Sprintf("sequence %d was received before", row.Sequence)
		}
	}
	if c := w.Candidates[a.ID]; c != nil && isOutOfOrder(&c.Local, a) {
		return fmt.Sprintf("sequence %d was received before", c.Sequence)
	}
	return ""
}

// isOutOfOrder reports whether a later announcement of the same incarnation was received
// before this one.
func isOutOfOrder(old *table.Local, a table.Local) bool {
	return old.Incarnation == a.Incarnation && a.Numbered() && a.Sequence <= old.Sequence
}

// removeDisplaced removes upstreams whose address was taken over by another process.
func removeDisplaced(w *table.World, now time.Time, a table.Local, out *Outbox) {
	if a.Process == "" {
		return
	}
	for _, id := range sortedKeys(w.Locals) {
		if row := w.Locals[id]; id != a.ID && row.Addr == a.Addr {
			retireLocal(w, now, row, "displaced at its address by "+a.ID, out)
		}
	}
}

// retireLocal deletes the row of an upstream that did not say that it is about to exit. What is
// known of it outlives the row, as its announcements may still arrive. Only an upstream that was
// draining counts as departed: another one may be missing for a while.
func retireLocal(w *table.World, now time.Time, row *table.Local, reason string, out *Outbox) {
	switch {
	case !row.Numbered():
	case row.Draining:
		recordDeparture(w, now, row.Name, row.StartedMs)
	default:
		lapsed := *row
		lapsed.Until = now.Add(departedRetention)
		w.Lapsed[row.ID] = &lapsed
	}
	removeLocal(w, row, reason, out)
}

// removeLocal deletes the row of an upstream and publishes the change.
func removeLocal(w *table.World, row *table.Local, reason string, out *Outbox) {
	delete(w.Locals, row.ID)
	if row.Draining {
		reason += ", was draining"
	}
	out.event(event.Event{Kind: event.UpstreamRemoved, Service: row.Service, Peer: row.ID, Detail: fmt.Sprintf("%s, last sequence %d", reason, row.Sequence)})
	publishLocals(w)
}

// drainUpstream marks an upstream as draining. It gets no new calls from this tick on.
// The row stays until the upstream stops announcing itself.
func drainUpstream(w *table.World, id string, out *Outbox) {
	row := w.Locals[id]
	if row == nil || row.Draining {
		return
	}
	row.Draining = true
	out.event(event.Event{Kind: event.UpstreamDraining, Service: row.Service, Peer: id, Detail: "stated other than in an announcement"})
	publishLocals(w)
}

// runUpstreams marks the upstreams whose ramp is over, removes those that no longer announce
// themselves, admits the candidates that have been confirmed, and has the store remember departures.
func runUpstreams(w *table.World, now time.Time, out *Outbox) {
	expireDepartures(w, now)
	for _, id := range sortedKeys(w.Locals) {
		row := w.Locals[id]
		if now.Before(row.Until) {
			updateRamp(w, now, row, out)
			continue
		}
		retireLocal(w, now, row, "lapsed", out)
	}
	runCandidates(w, now, out)
	storeDepartures(w, now, out)
}

func updateRamp(w *table.World, now time.Time, row *table.Local, out *Outbox) {
	s, ok := w.Config.State.Content.Services[row.Service]
	if row.Ramped || !ok || now.Before(time.UnixMilli(row.AnnouncedAtMs).Add(s.Ramp)) {
		return
	}
	row.Ramped = true
	out.event(event.Event{Kind: event.UpstreamRamped, Service: row.Service, Peer: row.ID})
}

// publishLocals publishes the upstreams on this VM, and those that have left, in this daemon's
// record.
func publishLocals(w *table.World) {
	ups := make([]wire.Upstream, 0, len(w.Locals))
	for _, id := range sortedKeys(w.Locals) {
		ups = append(ups, w.Locals[id].Upstream)
	}
	departures := ownDepartures(w)
	if slices.Equal(ups, w.Self.Upstreams) && slices.Equal(departures, w.Self.Departures) {
		w.ViewDirty = true
		return
	}
	added := addsDeparture(w.Self.Departures, departures)
	w.Self.Upstreams, w.Self.Departures = ups, departures
	touchSelf(w)
	if added {
		w.Memory.Changed, w.Memory.StoreFailed = w.Self.Seq, false
	}
	compareStored(w)
}
