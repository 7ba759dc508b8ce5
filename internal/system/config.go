package system

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

const (
	// historyLen is the number of records kept for daemons that are slightly behind.
	historyLen = 1024
	// pullTimeout is the time after which an unanswered pull may be sent again.
	pullTimeout = 2 * time.Second
)

// peerIsAhead reports whether the peer holds a later state than this daemon. Base grows
// when a lost log is replaced, Position grows within one log.
func peerIsAhead(w *table.World, l *table.Link) bool {
	s := w.Config.State
	if l.Base != s.Base {
		return l.Base > s.Base
	}
	return l.Position > s.Position
}

// pullConfig requests from the peer what it holds beyond this daemon's state. Only one
// pull is outstanding at a time, over all connections.
func pullConfig(w *table.World, now time.Time, l *table.Link, out *Outbox) {
	if !peerIsAhead(w, l) || now.Before(l.PullAfter) || now.Before(w.Config.PullUntil) {
		return
	}
	sendPull(w, now, l, false, out)
}

func sendPull(w *table.World, now time.Time, l *table.Link, full bool, out *Outbox) {
	s := w.Config.State
	w.Config.PullUntil = now.Add(pullTimeout)
	out.send(l.ID, wire.Pull{Base: s.Base, Position: s.Position, Full: full})
}

// compareHash checks that two daemons at the same log position hold the same content. It
// only raises an alarm: this daemon cannot tell which of the two is wrong, so it
// overwrites nothing.
func compareHash(w *table.World, l *table.Link, out *Outbox) {
	s := w.Config.State
	if l.Base != s.Base || l.Position != s.Position || l.Hash == s.Hash {
		return
	}
	raiseAlarm(w, AlarmHash, l.Peer+" holds different content at the same log position", out)
}

// pullLargeAnswers requests the whole state from a peer that holds the same one with more
// policies with large answers: a daemon of a build that does not know the field has passed it on
// to this one without them.
func pullLargeAnswers(w *table.World, now time.Time, l *table.Link, p wire.Ping, out *Outbox) {
	s := w.Config.State
	same := p.Base == s.Base && p.Position == s.Position && p.Hash == s.Hash
	if !same || p.LargeAnswers <= s.LargeAnswers() || now.Before(l.PullAfter) || now.Before(w.Config.PullUntil) {
		return
	}
	sendPull(w, now, l, true, out)
}

func answerPull(w *table.World, now time.Time, l *table.Link, p wire.Pull, out *Outbox) {
	s := w.Config.State
	behind := s.Position - p.Position
	if !w.Params.Documents && !p.Full && p.Base == s.Base && p.Position <= s.Position && behind <= uint64(len(w.Config.History)) {
		if behind > 0 {
			sendRecords(w, l, p.Position, out)
		}
		return
	}
	if p.Base > s.Base || (p.Base == s.Base && p.Position > s.Position) {
		return
	}
	if d, ok := delta(w, p.Position); ok && !p.Full {
		l.Sent = s.Position
		out.send(l.ID, d)
		return
	}
	sendSnapshot(w, now, l, out)
}

func sendRecords(w *table.World, l *table.Link, from uint64, out *Outbox) {
	s := w.Config.State
	h := w.Config.History
	data := h[uint64(len(h))-(s.Position-from):]
	l.Sent = s.Position
	out.send(l.ID, wire.Records{Base: s.Base, From: from, Data: data, Version: s.Version, Hash: s.Hash})
}

// sendSnapshot sends the whole state, or a retry-after time if the snapshot rate is
// exceeded. Without the limit, the snapshots requested after a restart of the whole fleet
// would overload the links.
func sendSnapshot(w *table.World, now time.Time, l *table.Link, out *Outbox) {
	c := &w.Config
	gap := time.Second / time.Duration(w.Params.SnapshotsPerSecond)
	// SnapshotNext is the next send slot. Unused slots expire after a second, so that a
	// burst has at most one second's worth of snapshots. A refused pull takes a slot too:
	// its retry-after time is when that slot is due.
	c.SnapshotNext = latestTime(c.SnapshotNext, now.Add(-time.Second)).Add(gap)
	if wait := c.SnapshotNext.Sub(now); wait > 0 {
		out.send(l.ID, wire.Busy{RetryAfterMs: wait.Milliseconds() + 1})
		return
	}
	if c.EncodedFor != c.State {
		b, err := c.State.Encode()
		if err != nil {
			raiseAlarm(w, AlarmHash, err.Error(), out)
			return
		}
		c.Encoded, c.EncodedFor = b, c.State
	}
	l.Sent = c.State.Position
	out.send(l.ID, wire.Snapshot{State: c.Encoded})
}

// receiveRecords applies records from a peer. It applies none of them if one is missing
// or if the resulting state differs from the one that the sender declared.
func receiveRecords(w *table.World, now time.Time, l *table.Link, r wire.Records, out *Outbox) {
	w.Config.PullUntil = time.Time{}
	s := w.Config.State
	end := r.From + uint64(len(r.Data))
	switch {
	case r.Base != s.Base || r.From > s.Position:
		l.Base, l.Position = r.Base, max(l.Position, end)
		pullConfig(w, now, l, out)
		return
	case end <= s.Position:
		return
	}
	l.Base, l.Position = r.Base, end
	missing := r.Data[s.Position-r.From:]
	next, _, err := config.ApplyAll(s, s.Position, missing)
	if err != nil {
		raiseAlarm(w, AlarmRules, err.Error(), out)
		return
	}
	if next.Version != r.Version || next.Hash != r.Hash {
		raiseAlarm(w, AlarmHash, "records from "+l.Peer+" produce different content than declared", out)
		sendPull(w, now, l, true, out)
		return
	}
	install(w, now, next, missing, out)
}

func receiveSnapshot(w *table.World, now time.Time, l *table.Link, snap wire.Snapshot, out *Outbox) {
	w.Config.PullUntil = time.Time{}
	next, err := config.DecodeState(snap.State)
	if err != nil {
		raiseAlarm(w, AlarmHash, "snapshot from "+l.Peer+": "+err.Error(), out)
		return
	}
	adopt(w, now, next, out)
}

// adopt replaces the whole state if next is later than the state held or restores what it
// lacks, and reports whether it did.
func adopt(w *table.World, now time.Time, next *config.State, out *Outbox) bool {
	s := w.Config.State
	older := next.Base < s.Base || (next.Base == s.Base && next.Position <= s.Position)
	if older && !next.Restores(s) || next.Version < s.Version {
		return false
	}
	w.Config.History = nil
	if w.Params.Documents {
		d := config.Diff(s.Content, next.Content)
		installDocument(w, now, next, d, out)
		return true
	}
	install(w, now, next, nil, out)
	return true
}

// install makes next the state held. The caller has checked that next follows the present
// state. records are the records that lead from the present state to next, or nil if next
// was received as a whole.
func install(w *table.World, now time.Time, next *config.State, records [][]byte, out *Outbox) {
	old := w.Config.State
	if next.Version < old.Version {
		raiseAlarm(w, AlarmHash, "refused to go back to an older version", out)
		return
	}
	w.Config.State = next
	if next.Version != old.Version {
		w.Config.Since = now
	}
	w.Config.History = append(w.Config.History, records...)
	if extra := len(w.Config.History) - historyLen; extra > 0 {
		w.Config.History = append([][]byte(nil), w.Config.History[extra:]...)
	}
	w.Log.Regressed = w.Log.Regressed && next.Base == old.Base
	if !w.Log.Regressed {
		clearAlarm(w, AlarmRegressed)
	}
	clearAlarm(w, AlarmGap)
	for _, o := range newOutcomes(old, next) {
		out.event(outcomeEvent(o))
	}
	w.Config.PushDirty = true
	w.ViewDirty = true
	runPush(w, now, out)
}

// newOutcomes returns the outcomes in next that are not in old.
func newOutcomes(old, next *config.State) []config.Outcome {
	if len(old.Outcomes) == 0 {
		return next.Outcomes
	}
	last := old.Outcomes[len(old.Outcomes)-1].ID
	for i := len(next.Outcomes) - 1; i >= 0; i-- {
		if next.Outcomes[i].ID == last {
			return next.Outcomes[i+1:]
		}
	}
	return next.Outcomes
}

func outcomeEvent(o config.Outcome) event.Event {
	kind := event.CommandAccepted
	if o.Status == config.Rejected {
		kind = event.CommandRejected
	}
	return event.Event{Kind: kind, Version: o.Version, Request: o.ID, Detail: o.Reason}
}

// runPush sends new records, or the delta to a new document, down the tree: immediately if
// nothing was sent within the last window, otherwise when the window since the last push
// ends. Other neighbours than children, and children for which the records or deltas are no
// longer kept, only receive a ping, which shows them that there is something to pull.
func runPush(w *table.World, now time.Time, out *Outbox) {
	c := &w.Config
	if !c.PushDirty || now.Before(c.NextPush) {
		return
	}
	c.PushDirty = false
	c.NextPush = now.Add(w.Params.Window)
	s := c.State
	for _, l := range neighbours(w) {
		known := max(l.Sent, l.Position)
		child := !l.Dialed && l.Domain == w.Self.Domain
		if known >= s.Position && l.Base == s.Base {
			continue
		}
		if child && !w.Params.Documents && l.Base == s.Base && s.Position-known <= uint64(len(c.History)) {
			sendRecords(w, l, known, out)
			continue
		}
		if d, ok := delta(w, known); ok && child {
			l.Sent = s.Position
			out.send(l.ID, d)
			continue
		}
		out.send(l.ID, nextPing(w, now, l))
	}
}

// runReadiness decides when this daemon may serve calls, and updates the version that it
// reports as in force. A daemon that has just started waits for its peers: one of them
// may have seen it apply a later version than the first peer holds.
func runReadiness(w *table.World, now time.Time, out *Outbox) {
	runPush(w, now, out)
	version := w.Config.State.Version
	if version < w.Config.Floor {
		raiseAlarm(w, AlarmFloor, "configuration held is older than the version in force before the restart", out)
		return
	}
	clearAlarm(w, AlarmFloor)
	if !w.Ready {
		w.Ready = caughtUp(w, now)
		w.ViewDirty = w.ViewDirty || w.Ready
	}
	if w.Ready && w.Self.Heartbeat.Applied != version {
		w.Self.Heartbeat.Applied = version
		w.Self.Heartbeat.Seq++
		queueHeartbeat(w, now, w.Self.ID, 0)
		out.event(event.Event{Kind: event.Applied, Version: version})
	}
}

// caughtUp reports whether this daemon holds a configuration and no reachable peer is
// known to hold a later one. Without a configuration there is nothing to serve: a
// partitioned daemon cannot tell an empty log from an unreachable one. A root must also
// have read the log to its end, or fail to read it after the grace time. Any other daemon
// must have received the hello of a peer that it dialed, or have waited for the grace time.
func caughtUp(w *table.World, now time.Time) bool {
	if w.Config.State.Version == 0 {
		return false
	}
	met := false
	for _, l := range w.Links {
		if !l.Up() {
			continue
		}
		if peerIsAhead(w, l) {
			return false
		}
		met = met || l.Met
	}
	waited := now.Sub(w.Started) >= w.Params.Grace
	if w.MembersTree.Root {
		return w.Log.CaughtUp || (waited && w.Log.Failed)
	}
	return met || waited
}
