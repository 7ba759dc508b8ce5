package system

import (
	"slices"
	"time"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// busyRetry is the time after which a daemon that has too many connections may be dialed
// again.
const busyRetry = 5 * time.Second

// neighbours returns the connections on which changes are forwarded, in a fixed order:
// those whose peer has identified itself, without the short-lived probes that only
// compare states.
func neighbours(w *table.World) []*table.Link {
	var list []*table.Link
	for _, id := range sortedKeys(w.Links) {
		if l := w.Links[id]; l.Up() && !l.Probe {
			list = append(list, l)
		}
	}
	return list
}

func addLink(w *table.World, now time.Time, o Opened, out *Outbox) {
	l := &table.Link{
		ID: o.Link, Dialed: o.Dialed, Probe: o.Probe, Addr: o.Addr,
		Opened: now, HeardAt: now, EchoAt: now,
	}
	if !o.Dialed && len(w.Links) >= w.Params.MaxLinks {
		out.send(o.Link, wire.Busy{RetryAfterMs: busyRetry.Milliseconds(), Peers: randomPeers(w)})
		out.Closes = append(out.Closes, o.Link)
		return
	}
	w.Links[o.Link] = l
	if o.Dialed {
		w.SetDialing(o.Addr, false)
		sendHello(w, now, l, out)
	}
}

// maxPeersSuggested is the maximum number of other addresses sent to a daemon whose
// connection is refused.
const maxPeersSuggested = 4

// randomPeers returns the addresses of random live members. After a start of the whole
// fleet, all daemons dial the same few seeds. Without these addresses, those refused
// would wait for busyRetry, some of them several times.
func randomPeers(w *table.World) []string {
	var live []string
	for _, id := range sortedKeys(w.Members) {
		if row := w.Members[id]; !row.Lapsed && !row.Leaving {
			live = append(live, row.Peer)
		}
	}
	w.Rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(maxPeersSuggested, len(live))]
}

func sendHello(w *table.World, now time.Time, l *table.Link, out *Outbox) {
	hello := wire.Hello{
		ID: w.Self.ID, Domain: w.Self.Domain, Incarnation: w.Self.Incarnation,
		Probe: l.Probe, Suspects: suspectsHash(w), Rollouts: rolloutsHash(w), TakesConfirmations: true, TakesDepartures: true, Ping: nextPing(w, now, l),
	}
	if m := w.Members[l.Peer]; m != nil {
		hello.Floor = m.Floor
	}
	out.send(l.ID, hello)
}

// receiveHello handles the peer's hello. The accepting end answers with its own.
func receiveHello(w *table.World, now time.Time, l *table.Link, h wire.Hello, out *Outbox) {
	if h.ID == w.Self.ID {
		if h.Incarnation != w.Self.Incarnation {
			raiseAlarm(w, AlarmDuplicate, "another daemon runs as VM "+h.ID, out)
		}
		out.Closes = append(out.Closes, l.ID)
		return
	}
	l.Peer = h.ID
	l.Domain = h.Domain
	l.Probe = l.Probe || h.Probe
	if l.Dialed {
		l.Met = true
		w.ClearBackoff(l.Addr)
		if slices.Contains(w.Seeds, l.Addr) {
			w.SeedDomains[l.Addr] = h.Domain // the log may list the domain of an earlier daemon for this address
		}
	} else {
		sendHello(w, now, l, out)
	}
	dropDuplicate(w, l, out)
	sendSuspects(w, l, h, out)
	sendRollouts(w, now, l, h, out)
	l.TakesConfirmations = h.TakesConfirmations
	l.TakesDepartures = h.TakesDepartures
	sendDepartures(w, now, l, out)
	w.Config.Floor = max(w.Config.Floor, h.Floor)
	receivePing(w, now, l, h.Ping, out)
}

// dropDuplicate closes one of two connections to the same peer. If each end dialed one,
// it closes the one dialed by the higher ID; otherwise it closes the older one. Both ends
// make the same choice.
func dropDuplicate(w *table.World, l *table.Link, out *Outbox) {
	for _, id := range sortedKeys(w.Links) {
		other := w.Links[id]
		if other == l || other.Peer != l.Peer || other.Probe || l.Probe {
			continue
		}
		selfIsLower := w.Self.ID < l.Peer
		if other.Dialed != l.Dialed && l.Dialed != selfIsLower {
			drop(w, l, out)
			return
		}
		drop(w, other, out)
	}
}

// receivePing records what the peer holds and requests what this daemon lacks.
func receivePing(w *table.World, now time.Time, l *table.Link, p wire.Ping, out *Outbox) {
	l.SeenSeq = max(l.SeenSeq, p.Seq)
	if p.Echo > l.Echoed {
		l.Echoed = p.Echo
		l.EchoAt = now
	}
	l.Base = p.Base
	l.Position = p.Position
	l.Hash = p.Hash
	l.Members = p.Members
	compareHash(w, l, out)
	if !exchangesWith(w, now, l) {
		return
	}
	pullConfig(w, now, l, out)
	pullLargeAnswers(w, now, l, p, out)
	if all, each := w.MemberDigests(); all != p.Members && !now.Before(l.MembersPulled.Add(memberPullInterval(w, now))) {
		l.MembersPulled = now
		out.send(l.ID, wire.MembersPull{BucketDigests: each, DigestsOnly: true})
	}
}

// pullHeartbeatsWhileChanging is the interval of member pulls on a connection while
// members are changing, in heartbeats. Changes are then being pushed anyway, and two
// daemons differ only by those still in transit.
const pullHeartbeatsWhileChanging = 4

// memberPullInterval returns the minimum interval between member pulls on a connection.
func memberPullInterval(w *table.World, now time.Time) time.Duration {
	if now.Sub(w.MembersChangedAt) < w.Params.Heartbeat/2 {
		return pullHeartbeatsWhileChanging * w.Params.Heartbeat
	}
	return w.Params.Heartbeat
}

func nextPing(w *table.World, now time.Time, l *table.Link) wire.Ping {
	l.PingSeq++
	l.PingAt = now
	l.Pings.Sent(l.PingSeq, w.Boot)
	all, _ := w.MemberDigests()
	s := w.Config.State
	return wire.Ping{
		Seq: l.PingSeq, Echo: l.SeenSeq,
		Version: s.Version, Base: s.Base, Position: s.Position, Hash: s.Hash, LargeAnswers: s.LargeAnswers(), Members: all,
	}
}

// runLinks sends heartbeats and closes connections that are silent in either direction:
// nothing is received from the peer, or the peer no longer acknowledges this daemon's
// pings.
func runLinks(w *table.World, now time.Time, out *Outbox) {
	for _, id := range sortedKeys(w.Links) {
		l := w.Links[id]
		switch {
		case now.Sub(l.HeardAt) > w.Params.SilentAfter:
			closeSilent(w, now, l, "no message received from the peer", out)
		case now.Sub(l.EchoAt) > w.Params.SilentAfter:
			closeSilent(w, now, l, "no ping acknowledged by the peer", out)
		case l.Up() && now.Sub(l.PingAt) >= w.Params.Heartbeat:
			out.send(l.ID, nextPing(w, now, l))
		}
	}
}

func closeSilent(w *table.World, now time.Time, l *table.Link, reason string, out *Outbox) {
	out.Closes = append(out.Closes, l.ID)
	removeLink(w, now, Closed{Link: l.ID, Reason: reason}, out)
}

func removeLink(w *table.World, now time.Time, c Closed, out *Outbox) {
	l := w.Links[c.Link]
	if l == nil {
		return
	}
	delete(w.Links, c.Link)
	delete(w.MembersTree.Unwanted, c.Link)
	if l.Probe {
		return
	}
	out.event(event.Event{Kind: event.LinkLost, Peer: l.Peer, Detail: c.Reason})
	if l.Dialed && w.Reachable(l.Addr, now) {
		w.RecordDialFailure(l.Addr, now)
	}
}

// receiveBusy handles a refusal: of the connection if it arrives before the peer's hello,
// otherwise of a pull.
func receiveBusy(w *table.World, now time.Time, l *table.Link, b wire.Busy, out *Outbox) {
	until := now.Add(time.Duration(b.RetryAfterMs) * time.Millisecond)
	if l.Up() {
		l.PullAfter = until
		w.Config.PullUntil = time.Time{}
		return
	}
	drop(w, l, out)
	if l.Dialed {
		w.DeferDial(l.Addr, until)
	}
	if len(b.Peers) > 0 {
		addSeeds(w, now, b.Peers, nil)
		w.NextSeed = now
	}
}
