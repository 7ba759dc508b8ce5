package system

import (
	"fmt"
	"time"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/freshness"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// A revoked key must not admit calls after a time bound, also at daemons that are
// partitioned from the store. Every daemon must therefore know the freshness of its
// configuration: the last time at which it was known to be the newest. A daemon that
// reads the store learns this time with each answer: it is the time of the request. The
// daemon forwards it as a timestamp along all connections. A daemon uses the latest
// timestamp that it has received, on whichever connection.

const (
	// minTimestampAdvance is the least difference from the timestamp last sent on a
	// connection at which a later timestamp is sent there.
	minTimestampAdvance = 100 * time.Millisecond
	// readsPerRevocationBound is the number of reads of the store within the revocation
	// bound. The timestamp that the other daemons receive is thus at most two read
	// intervals old.
	readsPerRevocationBound = 10
)

// confirmFromStore records that the configuration held was the newest when the read of
// the store began. startedAt is the boot time of that read, or zero if it was not recorded.
func confirmFromStore(w *table.World, startedAt time.Duration) {
	if startedAt > 0 {
		advanceTimestamp(w, freshness.Timestamp(startedAt), 0)
	}
}

func advanceTimestamp(w *table.World, t freshness.Timestamp, from table.LinkID) {
	if t > w.Fresh.Timestamp {
		w.Fresh.Timestamp, w.Fresh.From = t, from
	}
}

// receiveConfirmation keeps a neighbour's confirmation until this daemon holds the
// configuration it refers to.
func receiveConfirmation(w *table.World, l *table.Link, c wire.FreshnessConfirmation) {
	sent, ok := l.Pings.At(c.Echo)
	if !ok {
		return
	}
	l.Confirmation = table.Confirmation{
		Base: c.Base, Position: c.Position,
		Timestamp: freshness.FromPeer(sent, time.Duration(c.AgeUs)*time.Microsecond),
	}
	applyConfirmation(w, l)
}

// applyConfirmation advances this daemon's timestamp from a neighbour's confirmation, if
// this daemon holds everything that the neighbour held.
func applyConfirmation(w *table.World, l *table.Link) {
	s := w.Config.State
	if l.Confirmation.Base == s.Base && l.Confirmation.Position <= s.Position {
		advanceTimestamp(w, l.Confirmation.Timestamp, l.ID)
	}
}

// runFreshness sends the timestamp to the neighbours, and reports when the configuration
// becomes stale and when it is fresh again.
func runFreshness(w *table.World, out *Outbox) {
	if w.Params.Revoke == 0 {
		out.FreshAt = w.Fresh.Timestamp
		return
	}
	links := neighbours(w)
	for _, l := range links {
		applyConfirmation(w, l)
	}
	out.FreshAt = w.Fresh.Timestamp
	reportFreshness(w, out)
	if w.Fresh.Timestamp == 0 {
		return
	}
	for _, l := range links {
		if !l.TakesConfirmations || l.ID == w.Fresh.From || w.Fresh.Timestamp < l.ConfirmationSent+freshness.Timestamp(minTimestampAdvance) {
			continue
		}
		l.ConfirmationSent = w.Fresh.Timestamp
		s := w.Config.State
		out.send(l.ID, wire.FreshnessConfirmation{
			Base: s.Base, Position: s.Position, Echo: l.SeenSeq, AgeUs: w.Fresh.Timestamp.Age(w.Boot).Microseconds(),
		})
	}
}

func reportFreshness(w *table.World, out *Outbox) {
	fresh := w.Fresh.Timestamp.Fresh(w.Boot, w.Params.Revoke)
	if fresh == w.Fresh.Known {
		return
	}
	w.Fresh.Known = fresh
	kind := event.ConfigStale
	if fresh {
		kind = event.ConfigFresh
	}
	out.event(event.Event{
		Kind: kind, Version: w.Config.State.Version,
		Detail: fmt.Sprintf("last known to be the newest %v ago, bound %v", w.Fresh.Timestamp.Age(w.Boot).Truncate(time.Millisecond), w.Params.Revoke),
	})
}
