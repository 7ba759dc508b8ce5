package system

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// queueRecord queues a member's whole record for the current gossip window.
func queueRecord(w *table.World, now time.Time, id string, from table.LinkID) {
	w.Outgoing.Records[id] = from
	delete(w.Outgoing.Heartbeats, id)
	startGossipWindow(w, now)
}

// queueHeartbeat queues a member's heartbeat for the current gossip window, unless the
// member's whole record is queued already.
func queueHeartbeat(w *table.World, now time.Time, id string, from table.LinkID) {
	if _, ok := w.Outgoing.Records[id]; ok {
		return
	}
	w.Outgoing.Heartbeats[id] = from
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
		if !exchangesWith(w, now, l) {
			continue
		}
		if m := queuedFor(w, now, l); len(m.Records)+len(m.Heartbeats) > 0 {
			out.send(l.ID, m)
		}
	}
	clear(w.Outgoing.Records)
	clear(w.Outgoing.Heartbeats)
	w.Outgoing.Due = time.Time{}
}

// queuedFor returns the queued changes to send on this connection.
func queuedFor(w *table.World, now time.Time, l *table.Link) wire.Members {
	var m wire.Members
	for _, id := range sortedKeys(w.Outgoing.Records) {
		if !forwardsTo(w, w.Outgoing.Records[id], l) {
			continue
		}
		if id == w.Self.ID {
			m.Records = append(m.Records, w.Self)
		} else if row := w.Members[id]; row != nil {
			m.Records = append(m.Records, recordWithAge(row, now))
		}
	}
	for _, id := range sortedKeys(w.Outgoing.Heartbeats) {
		if !forwardsTo(w, w.Outgoing.Heartbeats[id], l) {
			continue
		}
		if id == w.Self.ID {
			m.Heartbeats = append(m.Heartbeats, heartbeatOf(w.Self))
		} else if row := w.Members[id]; row != nil {
			m.Heartbeats = append(m.Heartbeats, heartbeatOf(row.Member))
		}
	}
	return m
}

// heartbeatOf returns the member's last heartbeat as it is sent to other daemons.
func heartbeatOf(m wire.Member) wire.MemberHeartbeat {
	return wire.MemberHeartbeat{ID: m.ID, Incarnation: m.Incarnation, Heartbeat: m.Heartbeat}
}

// forwardsTo reports whether a change received on one connection is sent on another. A
// change from another failure domain is forwarded only within this daemon's domain: the
// roots of the other domain send the change to the remaining domains themselves. The roots
// form a full mesh, in which each root would otherwise receive every change from all others.
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

// exchangesWith reports whether this daemon forwards changes of members on the connection, and
// requests the records and the configuration that it lacks there. Between failure domains only the
// roots do so, and daemons that have no connection in their own domain. While many daemons start,
// most have connections to other domains for some seconds. If all daemons exchanged records on
// these connections, each record would cross between domains once for every daemon. A connection
// that stays open for longer is needed by a root of the other domain, which has not reached the
// roots of this one.
func exchangesWith(w *table.World, now time.Time, l *table.Link) bool {
	return l.Domain == w.Self.Domain || linksDomains(w, now) || !connectedInDomain(w) ||
		now.Sub(l.Opened) > unwantedGrace+w.Params.Heartbeat
}

// connectedInDomain reports whether this daemon has a connection, other than a probe, to a peer
// of its own failure domain.
func connectedInDomain(w *table.World) bool {
	for _, l := range w.Links {
		if l.Up() && !l.Probe && l.Domain == w.Self.Domain {
			return true
		}
	}
	return false
}
