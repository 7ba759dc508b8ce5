package system

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// source is something that can confirm that an upstream has not left.
type source func(tick func(after time.Duration, in ...Input))

// sources are all of them. An announcement has been received before.
var sources = map[string]source{
	"peer": func(tick func(time.Duration, ...Input)) { tick(0, peerRemembers()) },
	"health": func(tick func(time.Duration, ...Input)) {
		tick(0, HealthChecked{ID: "vm/up", Process: "up", Healthy: true})
	},
	"store": func(tick func(time.Duration, ...Input)) { tick(0, DeparturesRead{}) },
	"second announcement": func(tick func(time.Duration, ...Input)) {
		tick(minAnnouncementGap, numbered(2))
	},
}

// peerRemembers is the report of a peer that has been running for long.
func peerRemembers(left ...wire.Departure) Input {
	return Received{Link: 1, Message: wire.Departures{UpMs: time.Minute.Milliseconds(), List: left}}
}

// numbered returns a ready announcement of the upstream vm/up.
func numbered(sequence uint64) Announced {
	return Announced{Local: table.Local{
		Upstream: wire.Upstream{ID: "vm/up", Service: "s", Slots: 4},
		Name:     "vm/up", Incarnation: "up", Process: "up", Addr: "10.0.0.1:80", Sequence: sequence,
	}}
}

// restartedWorld returns the tables of a daemon that has just started, has a connection to a peer
// and has received one announcement, and a function that runs its ticks.
func restartedWorld() (*table.World, func(after time.Duration, in ...Input)) {
	w := documentWorld()
	now := w.Started.Add(100 * time.Millisecond)
	tick := func(after time.Duration, in ...Input) {
		now = now.Add(after)
		Tick(w, now, in)
	}
	w.Links[1] = &table.Link{ID: 1, Peer: "p", Domain: "d", TakesDepartures: true, Opened: now, HeardAt: now, EchoAt: now}
	tick(0, numbered(1))
	return w, tick
}

// TestRestartedDaemonUsesAnUpstreamOnceEnoughSourcesAgree guards against a restarted daemon that uses
// an upstream because of sources that may be wrong together, and against one that goes without its
// upstream although enough agree. It plays all sets of sources, in all orders.
func TestRestartedDaemonUsesAnUpstreamOnceEnoughSourcesAgree(t *testing.T) {
	var play func(agreed []string)
	play = func(agreed []string) {
		t.Run(strings.Join(agreed, ", "), func(t *testing.T) {
			is := is.New(t)
			w, tick := restartedWorld()
			is.Equal(len(w.Locals), 0) // one announcement is none
			for _, name := range agreed {
				sources[name](tick)
			}
			required := 3 // a peer may never have been told, and health checks may be false
			if slices.Contains(agreed, "store") {
				required = 2
			}
			is.Equal(len(w.Locals) == 1, len(agreed) >= required)
		})
		for name := range sources {
			if !slices.Contains(agreed, name) {
				play(append(slices.Clone(agreed), name))
			}
		}
	}
	play(nil)
}

// TestDepartureThatIsRememberedOutweighsAllElse guards against calls to an upstream that has left:
// a peer or the store remembers that, and all other sources are false, before and after.
func TestDepartureThatIsRememberedOutweighsAllElse(t *testing.T) {
	left := wire.Departure{Name: "vm/up"}
	for name, remembered := range map[string]Input{"peer": peerRemembers(left), "store": DeparturesRead{List: []wire.Departure{left}}} {
		for _, lies := range []string{"before", "after"} {
			t.Run(name+" "+lies, func(t *testing.T) {
				is := is.New(t)
				w, tick := restartedWorld()
				if lies == "after" {
					tick(0, remembered)
				}
				for _, confirm := range sources {
					confirm(tick)
				}
				tick(0, remembered)
				tick(numberedInterval, numbered(9))
				for _, row := range w.Locals {
					is.True(row.Draining)
				}
				is.Equal(len(w.Candidates), 0)
				is.Equal(w.Self.Departures, []wire.Departure{left}) // and it is told on
			})
		}
	}
}

// TestUnhealthyUpstreamNeedsMoreThanItsAnnouncements guards against an upstream that says in its
// health checks that it leaves, and of which several announcements are late.
func TestUnhealthyUpstreamNeedsMoreThanItsAnnouncements(t *testing.T) {
	is := is.New(t)
	w, tick := restartedWorld()
	tick(0, HealthChecked{ID: "vm/up", Process: "up"})
	for sequence := uint64(2); sequence < 6; sequence++ {
		tick(numberedInterval, numbered(sequence))
	}
	is.Equal(len(w.Locals), 0)
	tick(w.Params.AnnouncementDelay, numbered(6)) // sent after the start
	is.Equal(len(w.Locals), 1)
}

// TestDepartureIsHeldWhereItCanBe guards against upstreams whose leaving is never acknowledged, since
// no other daemon can hold it: there is none, or all are of a build that does not know departures. And
// against an acknowledgement as soon as one holds it, while the other is about to: if all daemons end
// then, only the store is left.
func TestDepartureIsHeldWhereItCanBe(t *testing.T) {
	is := is.New(t)
	w, tick := restartedWorld()
	held := func() [2]bool { return [2]bool{DeparturesHeld(w, 7, false), DeparturesHeld(w, 7, true)} }
	is.Equal(held(), [2]bool{false, false})
	w.Links[1].TakesDepartures = false
	is.Equal(held(), [2]bool{false, false}) // the store may still hold it
	tick(0, DeparturesStored{Seq: 7, Failed: true})
	is.Equal(held(), [2]bool{false, true})
	delete(w.Links, 1)
	is.Equal(held(), [2]bool{false, true}) // alone
	w.Members["p"] = &table.Member{Member: wire.Member{ID: "p"}}
	is.Equal(held(), [2]bool{false, false}) // cut off
	tick(0, DeparturesStored{Seq: 7})
	is.Equal(held(), [2]bool{false, true})
	w.Memory.HeldByPeer = 7
	is.Equal(held(), [2]bool{true, true})
	w.Memory.HeldByStore, w.Memory.StoreFailed = 6, false
	is.Equal(held(), [2]bool{false, false}) // the store is slow, and both daemons may end
}

// TestDeparturesAreBounded guards against a daemon whose record grows with each DELETE that somebody
// on its VM sends, whatever it names.
func TestDeparturesAreBounded(t *testing.T) {
	is := is.New(t)
	w, tick := restartedWorld()
	for i := range 2 * maxDepartures {
		tick(time.Millisecond, Removed{Name: fmt.Sprintf("vm/%d", i)})
	}
	is.Equal(len(w.Self.Departures), maxDepartures)
	is.True(w.Departed[fmt.Sprintf("vm/%d", 2*maxDepartures-1)] != table.Departure{}) // the last one is kept
}

// TestStoredDeparturesOutliveThoseOfPeers guards against a restarted daemon that replaces what the store
// remembers by what a peer remembers, which knows less: it was frozen when the last upstream left.
func TestStoredDeparturesOutliveThoseOfPeers(t *testing.T) {
	is := is.New(t)
	w, _ := restartedWorld()
	now := w.Started.Add(200 * time.Millisecond)
	out := Tick(w, now, []Input{peerRemembers(wire.Departure{Name: "vm/earlier"})})
	is.Equal(out.StoreDepartures, nil) // not before it has been read
	is.True(!w.Memory.NextRead.IsZero())
	out = Tick(w, now, []Input{DeparturesRead{List: []wire.Departure{{Name: "vm/up"}}}})
	is.Equal(out.StoreDepartures.List, []wire.Departure{{Name: "vm/earlier"}, {Name: "vm/up"}})
	is.Equal(len(w.Candidates)+len(w.Locals), 0)
}

// TestStalledDaemonClaimsNoMemory guards against a daemon that was frozen while an upstream left
// elsewhere, and then counts as one that would remember it.
func TestStalledDaemonClaimsNoMemory(t *testing.T) {
	is := is.New(t)
	w, _ := restartedWorld()
	now := w.Started.Add(100 * time.Millisecond)
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		Tick(w, now, nil)
	}
	reported := func() int64 {
		var out Outbox
		sendDepartures(w, now, &table.Link{ID: 2, Peer: "q", TakesDepartures: true}, &out)
		return out.Sends[0].Message.(wire.Departures).UpMs
	}
	is.True(reported() > w.Params.AnnouncementDelay.Milliseconds())
	now = now.Add(5 * time.Second)
	Tick(w, now, nil)
	is.True(reported() < time.Second.Milliseconds())
}

// TestLaterStartOfAnUnknownUpstreamIsUsed guards against an upstream that gets no calls for minutes: a
// process that the daemon did not know said that it leaves, without its start, and the next process
// has the same ID.
func TestLaterStartOfAnUnknownUpstreamIsUsed(t *testing.T) {
	is := is.New(t)
	w := documentWorld()
	now := w.Started.Add(w.Params.AnnouncementDelay)
	announced := func(startedMs int64) Announced {
		a := numbered(1)
		a.Local.ID, a.Local.Incarnation, a.Local.StartedMs = fmt.Sprintf("vm/up@%d", startedMs), fmt.Sprint(startedMs), startedMs
		return a
	}
	Tick(w, now, []Input{Removed{Name: "vm/up"}})
	now = now.Add(time.Second)
	Tick(w, now, []Input{announced(now.UnixMilli() - 2000)}) // late, from before
	is.Equal(len(w.Locals), 0)
	Tick(w, now, []Input{announced(now.UnixMilli() - 500)})
	is.Equal(len(w.Locals), 1)
}
