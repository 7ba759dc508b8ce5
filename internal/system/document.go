package system

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// DocumentRead is the result of waiting for a later document, or its error. Version 0
// means that there is no document yet.
type DocumentRead struct {
	Document config.Document
	Err      error
	// StartedAt is the boot time at which the read began, or zero if it was not recorded.
	StartedAt time.Duration
}

// maxDeltas is the number of deltas between successive versions that are kept, so that
// peers can be sent the difference from the version they hold instead of the whole
// document.
const maxDeltas = 64

const (
	// firstRootWaitFraction is how long the first root of a failure domain waits at the
	// store for a document, as a fraction of the time within which a change must be in
	// force. The store may fail to wake a waiting reader: a missed change is then found
	// within this time, and the remainder is left for distributing it over narrow links.
	firstRootWaitFraction = 0.45
	// otherRootWaitFraction is the corresponding fraction for the other roots, which
	// receive changes from the first one. If they lose the first root, a read that is
	// already waiting must end within the time allowed for a change.
	otherRootWaitFraction = 0.8
	// maxDocumentWait bounds the wait of one read at the store, which has a timeout of its
	// own.
	maxDocumentWait = 20 * time.Second
)

// documentReadWait returns how long a read for documents waits.
func documentReadWait(w *table.World) time.Duration {
	if w.MembersTree.Parent != "" {
		return min(time.Duration(otherRootWaitFraction*float64(w.Params.InForce)), maxDocumentWait)
	}
	wait := min(time.Duration(firstRootWaitFraction*float64(w.Params.InForce)), maxDocumentWait)
	if w.Params.Revoke > 0 {
		wait = min(wait, w.Params.Revoke/readsPerRevocationBound)
	}
	return wait
}

// receiveDocument handles the result of a read, and replaces the document held if a later
// one was read.
func receiveDocument(w *table.World, now time.Time, r DocumentRead, out *Outbox) {
	var invalid *config.InvalidError
	if errors.As(r.Err, &invalid) {
		r.Err = nil // the store answered; only the document is invalid
	}
	updateLogStatus(w, r.Err, out)
	if r.Err != nil {
		return
	}
	w.Log.ReadFromStart = w.Log.ReadFromStart || w.Config.State.Version == 0
	w.Log.CaughtUp = true
	backOffReads(w, now)
	w.Log.EndReadAt = now
	if invalid != nil {
		refuseDocument(w, 0, invalid, out)
		return
	}
	if applyDocument(w, now, r.Document, out) {
		confirmFromStore(w, r.StartedAt)
	}
}

// applyDocument installs a document that was read if it is later than the one held. It
// returns whether the configuration held now counts as the newest. It does not if a newer
// document is known that could not be used, or if the store holds an older one, as after a
// restore: a document that is not in force may have revoked keys. Because the store returns a
// document only once, and afterwards answers that there is nothing newer, AlarmDocument and
// Log.Behind record that.
func applyDocument(w *table.World, now time.Time, d config.Document, out *Outbox) bool {
	current := w.Config.State
	if d.Version == 0 {
		return w.Alarms[AlarmDocument] == "" && !w.Log.Behind
	}
	w.Log.Behind = d.Version < current.Version
	if w.Log.Behind {
		reportDocument(d.Version, fmt.Sprintf("no later than version %d, which is held", current.Version), out)
		return false
	}
	d.Normalize()
	outcome := "already held"
	if d.Version > current.Version {
		next, delta, err := d.ApplyTo(current)
		if err != nil {
			refuseDocument(w, d.Version, err, out)
			return false
		}
		outcome = fmt.Sprintf("takes the place of version %d, %d routes", current.Version, len(d.Content.Routes))
		installDocument(w, now, next, delta, out)
	} else {
		restoreLargeAnswers(w, now, d, out)
	}
	reportDocument(d.Version, outcome, out)
	clearAlarm(w, AlarmDocument)
	reportFlaws(w, d, out)
	return true
}

// restoreLargeAnswers installs a document of the version held if that one lacks large answers:
// it then came from a peer of a build that does not know the field.
func restoreLargeAnswers(w *table.World, now time.Time, d config.Document, out *Outbox) {
	next, delta, err := d.ApplyTo(w.Config.State)
	if err == nil && next.Restores(w.Config.State) {
		installDocument(w, now, next, delta, out)
	}
}

// refuseDocument reports that a document is not applied and which version stays in force.
// version is 0 if the document's version could not be read.
func refuseDocument(w *table.World, version uint64, reason error, out *Outbox) {
	out.event(event.Event{
		Kind: event.DocumentRefused, Version: version, Detail: fmt.Sprintf("version %d stays: %v", w.Config.State.Version, reason),
	})
	raiseAlarm(w, AlarmDocument, reason.Error(), out)
}

func reportDocument(version uint64, outcome string, out *Outbox) {
	out.event(event.Event{Kind: event.DocumentRead, Version: version, Detail: outcome})
}

// maxFlawsListed bounds the number of flaws listed in an alarm.
const maxFlawsListed = 8

// reportFlaws raises an alarm about the parts of the document that are not applied as
// written.
func reportFlaws(w *table.World, d config.Document, out *Outbox) {
	if len(d.Flaws) == 0 {
		clearAlarm(w, AlarmFlaws)
		return
	}
	var listed []string
	for _, f := range d.Flaws[:min(len(d.Flaws), maxFlawsListed)] {
		listed = append(listed, f.String())
	}
	if more := len(d.Flaws) - len(listed); more > 0 {
		listed = append(listed, fmt.Sprintf("and %d more", more))
	}
	raiseAlarm(w, AlarmFlaws, fmt.Sprintf("version %d is in force, but not all of it as written: %s", d.Version, strings.Join(listed, ". ")), out)
}

// installDocument makes the state of a later document the state held. d is the delta from
// the present state to next.
func installDocument(w *table.World, now time.Time, next *config.State, d config.Delta, out *Outbox) {
	c := &w.Config
	if c.State.Version > 0 {
		c.Deltas = append(c.Deltas, table.Step{From: c.State.Version, Delta: d})
		c.Deltas = c.Deltas[max(0, len(c.Deltas)-maxDeltas):]
	}
	install(w, now, next, nil, out)
}

// delta returns the difference between a version and the one held, if all deltas since
// that version are still kept.
func delta(w *table.World, version uint64) (wire.Delta, bool) {
	deltas := w.Config.Deltas
	i := slices.IndexFunc(deltas, func(s table.Step) bool { return s.From == version })
	if i < 0 {
		return wire.Delta{}, false
	}
	d := deltas[i].Delta
	for _, s := range deltas[i+1:] {
		d = d.Compose(s.Delta)
	}
	return wire.Delta{From: version, Version: w.Config.State.Version, Hash: w.Config.State.Hash, Delta: d}, true
}

// receiveDelta applies a delta from a peer. It pulls if the delta starts at another
// version, and requests the whole document if the result differs from what the peer
// declared.
func receiveDelta(w *table.World, now time.Time, l *table.Link, d wire.Delta, out *Outbox) {
	w.Config.PullUntil = time.Time{}
	l.Position = max(l.Position, d.Version)
	s := w.Config.State
	switch {
	case d.Version <= s.Version:
		return
	case d.From != s.Version:
		pullConfig(w, now, l, out)
		return
	}
	next, err := s.ApplyDelta(d.Delta, d.Version, d.Hash)
	if err != nil {
		out.event(event.Event{Kind: event.DeltaRefused, Peer: l.Peer, Version: d.Version, Detail: err.Error()})
		sendPull(w, now, l, true, out)
		return
	}
	installDocument(w, now, next, d.Delta, out)
}
