package system

import (
	"encoding/binary"
	"fmt"
	"iter"
	"time"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// lapsedRetention is how long a lapsed record is kept. The record prevents old copies from
// restoring the member, keeps the member's floor, and lets failure domains find each other
// after a partition.
const lapsedRetention = 24 * time.Hour

// touchSelf starts a new revision of this daemon's own record.
func touchSelf(w *table.World) {
	w.Self.Seq++
	w.SelfDirty = true
	w.ViewDirty = true
	w.MembersChanged()
}

// lapseChecks is the number of times per lapse period that members are checked.
const lapseChecks = 50

func mergeMembers(w *table.World, now time.Time, from table.LinkID, m wire.Members, out *Outbox) {
	for _, rec := range m.Records {
		mergeMember(w, now, from, rec, out)
		acknowledgeRecord(w, from, rec, out)
	}
	for _, heartbeat := range m.Heartbeats {
		mergeHeartbeat(w, now, from, heartbeat)
	}
}

func mergeMember(w *table.World, now time.Time, from table.LinkID, rec wire.Member, out *Outbox) {
	if rec.ID == w.Self.ID {
		mergeSelf(w, now, rec, out)
		return
	}
	renewedAt := now.Add(-time.Duration(rec.AgeMs) * time.Millisecond)
	rec.AgeMs = 0
	row := w.Members[rec.ID]
	switch {
	case row == nil:
		row = &table.Member{Member: rec, RenewedAt: renewedAt}
		w.Members[rec.ID] = row
		out.event(event.Event{Kind: event.MemberUp, Peer: rec.ID})
	case rec.Newer(row.Member):
		restarted := rec.Incarnation != row.Incarnation
		heartbeat := row.Heartbeat
		if restarted {
			keepDepartures(row, now)
		}
		row.Member = rec
		row.RenewedAt = latestTime(row.RenewedAt, renewedAt)
		if !restarted && heartbeat.Seq > rec.Heartbeat.Seq {
			row.Heartbeat = heartbeat
		}
		if restarted {
			w.ClearBackoff(rec.Peer)
		}
	case rec.Incarnation == row.Incarnation && rec.Heartbeat.Seq > row.Heartbeat.Seq:
		row.Heartbeat = rec.Heartbeat
		row.RenewedAt = latestTime(row.RenewedAt, renewedAt)
		row.Floor = max(row.Floor, rec.Heartbeat.Applied)
		clearLapse(w, now, row)
		return
	default:
		return
	}
	row.Floor = max(row.Floor, rec.Heartbeat.Applied)
	w.MembersChangedAt = now
	w.MembersChanged()
	displaced := w.ClaimAddress(row.Member)
	row.Lapsed = now.Sub(row.RenewedAt) > w.Params.Lapse || w.Displaced(row.Member)
	lapseDisplaced(w, displaced, out)
	queueRecord(w, now, rec.ID, from)
}

// lapseDisplaced marks the member that lost its address to another daemon as lapsed; id
// is "" if there is none. If the member did not lapse at once, every call sent to it would
// reach the new daemon and be refused until its record lapses for want of a heartbeat.
func lapseDisplaced(w *table.World, id string, out *Outbox) {
	row := w.Members[id]
	if row == nil || row.Lapsed || !w.Displaced(row.Member) {
		return // no member lost its address, or that member has moved to another one since
	}
	row.Lapsed = true
	w.MembersChanged()
	out.event(event.Event{Kind: event.MemberLapsed, Peer: id, Detail: "another daemon has started at its address"})
}

// mergeSelf handles a copy of this daemon's own record. A copy from an earlier
// incarnation shows which version that incarnation had in force.
func mergeSelf(w *table.World, now time.Time, rec wire.Member, out *Outbox) {
	switch {
	case rec.Incarnation < w.Self.Incarnation:
		w.Config.Floor = max(w.Config.Floor, rec.Heartbeat.Applied)
	case rec.Incarnation == w.Self.Incarnation:
	case !w.IncarnationRaised && now.Sub(w.Started) < raiseIncarnationTime:
		w.Config.Floor = max(w.Config.Floor, rec.Heartbeat.Applied)
		raiseIncarnation(w, rec.Incarnation+1, out)
	default:
		raiseAlarm(w, AlarmDuplicate, "another daemon runs as VM "+rec.ID, out)
	}
}

// raiseIncarnationTime is how long after its start a daemon takes a record of its own with a later
// incarnation for one of an earlier process, which was started while the VM's clock was ahead.
const raiseIncarnationTime = 10 * time.Second

// raiseIncarnation makes this daemon's records newer than those of an earlier process. It is done once:
// two daemons that run as one VM would replace each other's records without end.
func raiseIncarnation(w *table.World, incarnation uint64, out *Outbox) {
	out.event(event.Event{Kind: event.NewIncarnation, Detail: fmt.Sprintf("from %d to %d: the clock of this VM was set back since its last start, or another daemon runs as this VM", w.Self.Incarnation, incarnation)})
	w.Self.Incarnation, w.IncarnationRaised = incarnation, true
	touchSelf(w)
}

func mergeHeartbeat(w *table.World, now time.Time, from table.LinkID, h wire.MemberHeartbeat) {
	row := w.Members[h.ID]
	if row == nil || row.Incarnation != h.Incarnation || h.Seq <= row.Heartbeat.Seq {
		return
	}
	row.Heartbeat = h.Heartbeat
	row.Floor = max(row.Floor, h.Applied)
	row.RenewedAt = now
	clearLapse(w, now, row)
	queueHeartbeat(w, now, h.ID, from)
}

// clearLapse makes a lapsed member live again after a heartbeat, unless it was displaced.
func clearLapse(w *table.World, now time.Time, row *table.Member) {
	if row.Lapsed && now.Sub(row.RenewedAt) <= w.Params.Lapse && !w.Displaced(row.Member) {
		row.Lapsed = false
		w.MembersChanged()
	}
}

// runMembers renews this daemon's record with a heartbeat, and marks members that have not
// renewed theirs as lapsed. A lapse is a local conclusion and is never sent to other
// daemons: it does not prove that the member has stopped.
func runMembers(w *table.World, now time.Time, out *Outbox) {
	if w.SelfDirty || !now.Before(w.NextRenew) {
		w.NextRenew = now.Add(w.Params.Renew)
		w.Self.Heartbeat.Seq++
		if w.SelfDirty {
			queueRecord(w, now, w.Self.ID, 0)
		} else {
			queueHeartbeat(w, now, w.Self.ID, 0)
		}
		w.SelfDirty = false
	}
	if now.Before(w.NextLapse) {
		return
	}
	w.NextLapse = now.Add(w.Params.Lapse / lapseChecks)
	for id, row := range w.Members {
		silence := now.Sub(row.RenewedAt)
		switch {
		case silence > lapsedRetention:
			w.RemoveMember(id)
		case silence > w.Params.Lapse && !row.Lapsed:
			row.Lapsed = true
			w.MembersChanged()
			out.event(event.Event{Kind: event.MemberLapsed, Peer: id})
		}
	}
}

// answerMembersPull sends the live members of each bucket that differs, or only their
// digests. While many daemons start, their tables differ slightly all the time. Sending
// whole records, most of which the peer already holds, would cost n² records for n daemons.
func answerMembersPull(w *table.World, now time.Time, l *table.Link, p wire.MembersPull, out *Outbox) {
	_, each := w.MemberDigests()
	if len(p.BucketDigests) != len(each) {
		return
	}
	differs := func(id string) bool { b := table.Bucket(id); return each[b] != p.BucketDigests[b] }
	if p.DigestsOnly {
		sendMemberDigests(w, now, l, differs, out)
		return
	}
	var m wire.Members
	if differs(w.Self.ID) {
		m.Records = append(m.Records, w.Self)
	}
	for _, id := range sortedKeys(w.Members) {
		row := w.Members[id]
		// A lapsed record is still sent to the member it describes, since it carries that
		// member's floor.
		if row.Lapsed && id != l.Peer {
			continue
		}
		if differs(id) {
			m.Records = append(m.Records, recordWithAge(row, now))
		}
	}
	if len(m.Records) > 0 {
		out.send(l.ID, m)
	}
}

// sendMemberDigests sends the digests of the live members that match.
func sendMemberDigests(w *table.World, now time.Time, l *table.Link, match func(id string) bool, out *Outbox) {
	if row := w.Members[l.Peer]; row != nil && row.Lapsed {
		out.send(l.ID, wire.Members{Records: []wire.Member{recordWithAge(row, now)}}) // carries the peer's floor
	}
	var digests []byte
	held := w.MembersByDigest()
	for _, d := range sortedKeys(held) {
		if match(held[d]) {
			digests = binary.LittleEndian.AppendUint64(digests, d)
		}
	}
	if len(digests) > 0 {
		out.send(l.ID, wire.MembersDigests{Digests: digests})
	}
}

// digestLen is the length of a digest in a message, in bytes.
const digestLen = 8

// digestsIn returns the digests in a message. An incomplete digest at the end is ignored.
func digestsIn(b []byte) iter.Seq[uint64] {
	return func(yield func(uint64) bool) {
		for len(b) >= digestLen && yield(binary.LittleEndian.Uint64(b)) {
			b = b[digestLen:]
		}
	}
}

// requestUnknownMembers requests the records whose digests match no record held here.
func requestUnknownMembers(w *table.World, l *table.Link, m wire.MembersDigests, out *Outbox) {
	held := w.MembersByDigest()
	var unknown []byte
	for d := range digestsIn(m.Digests) {
		if _, ok := held[d]; !ok {
			unknown = binary.LittleEndian.AppendUint64(unknown, d)
		}
	}
	if len(unknown) > 0 {
		out.send(l.ID, wire.MembersRequest{Digests: unknown})
	}
}

// answerMembersRequest sends the records that match the requested digests.
func answerMembersRequest(w *table.World, now time.Time, l *table.Link, m wire.MembersRequest, out *Outbox) {
	held := w.MembersByDigest()
	var found wire.Members
	for d := range digestsIn(m.Digests) {
		id, ok := held[d]
		switch {
		case !ok: // the record has changed since its digest was sent
		case id == w.Self.ID:
			found.Records = append(found.Records, w.Self)
		default:
			found.Records = append(found.Records, recordWithAge(w.Members[id], now))
		}
	}
	if len(found.Records) > 0 {
		out.send(l.ID, found)
	}
}

func recordWithAge(row *table.Member, now time.Time) wire.Member {
	rec := row.Member
	rec.AgeMs = max(0, now.Sub(row.RenewedAt).Milliseconds())
	return rec
}

func latestTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
