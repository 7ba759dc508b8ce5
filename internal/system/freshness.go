package system

import (
	"fmt"
	"time"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/freshness"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// Where a key that was taken away must let no call in after a bound, also at daemons out of
// touch, a daemon must know how fresh its configuration is. Whoever reads the store learns
// that from each answer, as of when it asked, and passes it on along all connections: what
// counts is the newest word, by whichever way it came.

const (
	// vouchStep is by how much a stamp must be newer to be passed on.
	vouchStep = 100 * time.Millisecond
	// vouchReads is how many reads of the store there are within the bound: the age of
	// what all others are told is twice the time between two at the most.
	vouchReads = 10
)

// vouchFor takes note that the configuration held was the newest when the store was asked.
func vouchFor(w *table.World, asked time.Duration) {
	if asked > 0 {
		renewStamp(w, freshness.Stamp(asked), 0)
	}
}

func renewStamp(w *table.World, s freshness.Stamp, from table.LinkID) {
	if s > w.Fresh.Stamp {
		w.Fresh.Stamp, w.Fresh.From = s, from
	}
}

// receiveVouch keeps another daemon's word until this one holds what it is about.
func receiveVouch(w *table.World, l *table.Link, v wire.Vouch) {
	sent, ok := l.Pings.At(v.Echo)
	if !ok {
		return
	}
	l.Vouch = table.Vouch{
		Base: v.Base, Position: v.Position,
		Stamp: freshness.Heard(sent, time.Duration(v.AgeUs)*time.Microsecond),
	}
	useVouch(w, l)
}

// useVouch renews this daemon's stamp from a neighbour's word, if it holds all that the
// neighbour held.
func useVouch(w *table.World, l *table.Link) {
	s := w.Config.State
	if l.Vouch.Base == s.Base && l.Vouch.Position <= s.Position {
		renewStamp(w, l.Vouch.Stamp, l.ID)
	}
}

// runFreshness passes the stamp on, and says when it gets too old and when it is renewed.
func runFreshness(w *table.World, out *Outbox) {
	if w.Params.Revoke == 0 {
		out.Stamp = w.Fresh.Stamp
		return
	}
	links := neighbours(w)
	for _, l := range links {
		useVouch(w, l)
	}
	out.Stamp = w.Fresh.Stamp
	noteFreshness(w, out)
	if w.Fresh.Stamp == 0 {
		return
	}
	for _, l := range links {
		if !l.TakesVouches || l.ID == w.Fresh.From || w.Fresh.Stamp < l.Vouched+freshness.Stamp(vouchStep) {
			continue
		}
		l.Vouched = w.Fresh.Stamp
		s := w.Config.State
		out.send(l.ID, wire.Vouch{
			Base: s.Base, Position: s.Position, Echo: l.SeenSeq, AgeUs: w.Fresh.Stamp.Age(w.Boot).Microseconds(),
		})
	}
}

func noteFreshness(w *table.World, out *Outbox) {
	fresh := w.Fresh.Stamp.Fresh(w.Boot, w.Params.Revoke)
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
		Detail: fmt.Sprintf("known to be the newest %v ago, bound %v", w.Fresh.Stamp.Age(w.Boot).Truncate(time.Millisecond), w.Params.Revoke),
	})
}
