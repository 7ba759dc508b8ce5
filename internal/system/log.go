package system

import (
	"fmt"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/platform/store"
)

const (
	// logRetry is the pause after a read that returned nothing usable.
	logRetry = time.Second
	// checkpointStaggerFraction is the additional time that each next root waits before
	// it appends a checkpoint, as a fraction of the checkpoint interval.
	checkpointStaggerFraction = 0.02
	// checkpointRetryFraction is the time after which a root appends a checkpoint again
	// if it has not read its own back, as a fraction of the checkpoint interval.
	checkpointRetryFraction = 0.25
	// publishIntervalFraction is the interval at which a daemon publishes its addresses
	// to the log again, as a fraction of the checkpoint interval. A log that replaced a
	// lost one lists no daemons.
	publishIntervalFraction = 0.5
	// listedTimeout is how long a daemon waits to learn whether the log lists its addresses
	// before it publishes them: the time of one read.
	listedTimeout = time.Second
	// recheckSpread is the time over which daemons that start together spread their second
	// read of the addresses on the log. When the later ones read, the first of them have
	// published their addresses.
	recheckSpread = 400 * time.Millisecond
	// listedThreshold is the number of other daemons listed on the log from which on a
	// daemon need not publish its addresses, unless it is a root. A starting daemon dials
	// only a few of them, and if all n daemons were listed, each start of the fleet would
	// read n² addresses.
	listedThreshold = 32
)

// readFrom returns the offset of the next read.
func readFrom(w *table.World) uint64 {
	if w.Log.Scanning {
		return w.Log.Scan
	}
	return w.Config.State.Position
}

// receiveLog handles the result of a read of the configuration stream.
func receiveLog(w *table.World, now time.Time, r LogRead, out *Outbox) {
	updateLogStatus(w, r.Err, out)
	if r.Err != nil {
		return
	}
	w.Log.ReadAfter = time.Time{}
	b := r.Batch
	if reason := regression(w, r); reason != "" && !w.Log.Regressed {
		w.Log.Regressed = true
		raiseAlarm(w, AlarmRegressed, reason, out)
	}
	switch {
	case w.Log.Regressed:
		scanForCheckpoint(w, now, r, adoptReseed, out)
	case b.First > w.Config.State.Position:
		scanForCheckpoint(w, now, r, adoptCheckpoint, out)
	default:
		w.Log.Scanning = false
		applyEntries(w, now, b.Entries, out)
	}
	w.Log.ReadEpoch = b.Epoch
	w.Log.ReadFromStart = w.Log.ReadFromStart || r.From == 0
	atEnd := w.Config.State.Position >= b.End
	w.Log.CaughtUp = w.Log.CaughtUp || atEnd
	if atEnd {
		confirmFromStore(w, r.StartedAt)
		backOffReads(w, now)
		w.Log.EndReadAt = now
	}
}

// regression returns the reason why the log does not continue what this daemon holds, or "":
// the log lost commands that this daemon has applied, or may have.
func regression(w *table.World, r LogRead) string {
	b, position := r.Batch, w.Config.State.Position
	// A peer or another read may have delivered later records since this read began.
	overtaken := r.From < position && b.End >= r.From
	switch {
	case b.End < position && !overtaken:
		return "the log ends before the position held: it was truncated or replaced"
	case position > 0 && w.Log.ReadEpoch > 0 && b.Epoch > w.Log.ReadEpoch:
		return "the log came back from an older copy: the position held may mean another record"
	}
	return ""
}

func updateLogStatus(w *table.World, err error, out *Outbox) {
	up := err == nil
	if up && !w.Log.Up {
		out.event(event.Event{Kind: event.LogUp})
	}
	status := store.StatusOf(err)
	if !up && (w.Log.Up || !w.Log.Failed || status != w.Log.FailedStatus) {
		out.event(event.Event{Kind: event.LogDown, Detail: err.Error()})
	}
	w.Log.FailedStatus = status
	w.Log.Up = up
	w.Log.Failed = !up
}

// applyEntries applies consecutive records, except those that were already received from
// a peer.
func applyEntries(w *table.World, now time.Time, entries []store.Entry, out *Outbox) {
	s := w.Config.State
	var missing [][]byte
	for _, e := range entries {
		if e.Offset >= s.Position {
			missing = append(missing, e.Data)
			recordCheckpoint(w, now, e)
		}
	}
	next, applied, err := config.ApplyAll(s, s.Position, missing)
	if err != nil {
		raiseAlarm(w, AlarmRules, err.Error(), out)
		w.Log.ReadAfter = now.Add(logRetry)
	}
	if applied > 0 {
		install(w, now, next, missing[:applied], out)
	}
}

// recordCheckpoint records the time of a checkpoint only if it immediately follows the
// records it covers. With other records in between, readers would need those too, and
// they expire before the checkpoint.
func recordCheckpoint(w *table.World, now time.Time, e store.Entry) {
	if s, _ := checkpointState(e); s != nil && s.Position == e.Offset {
		w.Config.LastCheckpoint = now
	}
}

// scanForCheckpoint searches the log for a checkpoint from which this daemon can
// continue, that is, one that tryAdopt adopts. Records before the checkpoint are not
// applied.
func scanForCheckpoint(w *table.World, now time.Time, r LogRead, tryAdopt func(*table.World, time.Time, store.Batch, store.Entry, *Outbox) bool, out *Outbox) {
	if !w.Log.Scanning {
		w.Log.Scanning = true
		w.Log.Scan = 0
		if r.Batch.First < r.From {
			return // start over from the oldest record
		}
	}
	for _, e := range r.Batch.Entries {
		w.Log.Scan = e.Offset + 1
		if tryAdopt(w, now, r.Batch, e, out) {
			w.Log.Scanning = false
			return
		}
	}
	if len(r.Batch.Entries) == 0 || w.Log.Scan >= r.Batch.End {
		w.Log.Scan = 0
		w.Log.ReadAfter = now.Add(logRetry)
		if !w.Log.Regressed {
			raiseAlarm(w, AlarmGap, fmt.Sprintf("records from %d on have expired and no checkpoint covers them", w.Config.State.Position), out)
		}
	}
}

// adoptCheckpoint continues from a checkpoint if the log still holds every record after
// the position at which it was taken.
func adoptCheckpoint(w *table.World, now time.Time, b store.Batch, e store.Entry, out *Outbox) bool {
	next, reseed := checkpointState(e)
	if next == nil || (!reseed && next.Position < b.First) {
		return false
	}
	if reseed {
		next = config.NewReseededState(next, e.Offset)
	}
	return adopt(w, now, next, out)
}

// adoptReseed continues from the checkpoint that started a replacement log.
func adoptReseed(w *table.World, now time.Time, _ store.Batch, e store.Entry, out *Outbox) bool {
	next, reseed := checkpointState(e)
	if next == nil || !reseed {
		return false
	}
	return adopt(w, now, config.NewReseededState(next, e.Offset), out)
}

func checkpointState(e store.Entry) (s *config.State, reseed bool) {
	rec, err := config.DecodeRecord(e.Data)
	if err != nil || rec.Checkpoint == nil {
		return nil, false
	}
	s, err = config.DecodeState(rec.Checkpoint.State)
	if err != nil {
		return nil, false
	}
	return s, rec.Checkpoint.Reseed
}

// runCheckpoints appends a checkpoint if none was seen during the checkpoint interval.
// Each root waits longer than those ranked before it, so that usually only one appends.
// No lease is needed: a checkpoint is a function of the records before it, so neither a late
// checkpoint from a paused daemon nor two concurrent ones can be wrong.
func runCheckpoints(w *table.World, now time.Time, out *Outbox) {
	publishSelf(w, now, out)
	if !w.MembersTree.Root || !w.Log.Up || w.Log.Regressed || w.Log.Scanning {
		// During a scan this daemon's state is older than the records the log still
		// holds: nobody could use its checkpoint, and this daemon would not read it back
		// to confirm that it was appended.
		return
	}
	if w.Params.Documents {
		return
	}
	s := w.Config.State
	wait := float64(w.Params.Checkpoint) * (1 + checkpointStaggerFraction*float64(rootIndex(w)))
	if s.Version == 0 || now.Sub(w.Config.LastCheckpoint) < time.Duration(wait) || now.Before(w.Config.NextCheckpoint) {
		return
	}
	w.Config.NextCheckpoint = now.Add(time.Duration(float64(w.Params.Checkpoint) * checkpointRetryFraction))
	data, err := CheckpointRecord(s, w.Self.ID, false)
	if err != nil {
		raiseAlarm(w, AlarmHash, err.Error(), out)
		return
	}
	out.Append = data
	out.event(event.Event{Kind: event.Checkpointed, Version: s.Version})
}

// rootIndex returns this root's index among the roots of all failure domains.
func rootIndex(w *table.World) int {
	n := 0
	for _, d := range w.Domains() {
		if d == w.Self.Domain {
			break
		}
		n++
	}
	return n*w.Params.Roots + w.MembersTree.Rank
}

// CheckpointRecord returns the encoded record of a checkpoint of s.
func CheckpointRecord(s *config.State, by string, reseed bool) ([]byte, error) {
	state, err := s.Encode()
	if err != nil {
		return nil, err
	}
	return config.Record{Checkpoint: &config.Checkpoint{By: by, State: state, Reseed: reseed}}.Encode()
}

// publishSelf writes this daemon's addresses to the log if they are needed there.
func publishSelf(w *table.World, now time.Time, out *Outbox) {
	log := &w.Log
	// While the whole fleet starts, many daemons assume for a short time that they are a
	// root.
	settled := now.Sub(w.Started) >= probeAfterGraces*w.Params.Grace
	switch {
	case log.Listing == table.Unlisted && w.MembersTree.Root && settled:
		log.Listing, log.NextPublish = table.Listed, now
	case log.Listing == table.Unlisted, now.Before(log.NextPublish):
		return
	case log.Listing == table.ListingUnknown && now.Sub(w.Started) < listedTimeout:
		return
	case log.Listing == table.ListingRecheckDue:
		log.Listing, log.NextPublish = table.ListingRechecking, now.Add(listedTimeout)
		out.FindSeeds = true
		return
	}
	log.Listing, log.NextPublish = table.Listed, nextPublish(w, now)
	out.PublishSelf = true
}

func nextPublish(w *table.World, now time.Time) time.Time {
	return now.Add(time.Duration(float64(w.Params.Checkpoint) * publishIntervalFraction))
}

// receiveSelfListed handles the result of reading whether the log lists this daemon. It
// avoids an append for a daemon that has restarted with the same addresses, and for one
// whose addresses are not needed on the log.
func receiveSelfListed(w *table.World, now time.Time, s SelfListed) {
	log := &w.Log
	switch {
	case log.Listing == table.Listed || log.Listing == table.Unlisted:
	case s.Listed:
		log.Listing, log.NextPublish = table.Listed, nextPublish(w, now)
	case log.Listing == table.ListingUnknown:
		log.Listing, log.NextPublish = table.ListingRecheckDue, now.Add(time.Duration(w.Rand.Int64N(int64(recheckSpread))))
	case log.Listing == table.ListingRechecking && s.Others >= listedThreshold:
		log.Listing = table.Unlisted
	case log.Listing == table.ListingRechecking:
		log.NextPublish = now
	}
}
