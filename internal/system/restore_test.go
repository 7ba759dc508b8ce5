package system

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/freshness"
	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
	"github.com/comfreygate/comfreygate/platform/store"
)

// TestOlderStoreDoesNotConfirmFreshness guards against keys that are let in past their bound: a
// store that came back with an older configuration than the one held cannot tell which
// configuration is the newest, until the operator has written that again.
func TestOlderStoreDoesNotConfirmFreshness(t *testing.T) {
	is := is.New(t)
	w := documentWorld()
	at := time.Unix(1001, 0)
	read := func(second int, d config.Document) freshness.Timestamp {
		w.Boot = time.Duration(second) * time.Second
		out := Tick(w, at.Add(w.Boot), []Input{DocumentRead{Document: d, StartedAt: w.Boot}})
		return out.FreshAt
	}
	seconds := func(n int) freshness.Timestamp { return freshness.Timestamp(time.Duration(n) * time.Second) }
	is.Equal(read(1, documentOf(5, 3)), seconds(1))
	is.Equal(read(2, config.Document{}), seconds(2)) // nothing later
	is.Equal(read(3, documentOf(4, 3)), seconds(2))  // the store came back older
	is.Equal(read(4, config.Document{}), seconds(2))
	is.Equal(w.Config.State.Version, uint64(5))
	is.Equal(read(5, documentOf(5, 3)), seconds(5)) // written again
	is.Equal(read(6, config.Document{}), seconds(6))
}

// restoredWorld returns the tables of a daemon that reads the store and holds version 5 of the
// configuration, in the store's first epoch.
func restoredWorld(at time.Time) *table.World {
	w := documentWorld()
	Tick(w, at, []Input{StoreEpoch{1}, DocumentRead{Document: documentOf(5, 3)}, QuarantineRead{Complete: true}})
	return w
}

// restoreTime is the time after the store's return within which the system's own records must
// be written again.
const restoreTime = 2 * time.Second

// ticksFor runs ticks for a time, the first of them with the inputs, and returns what they
// request.
func ticksFor(w *table.World, from time.Time, d time.Duration, inputs ...Input) []Outbox {
	var outs []Outbox
	for at := from; at.Before(from.Add(d)); at = at.Add(tickInterval) {
		outs = append(outs, Tick(w, at, inputs))
		inputs = nil
	}
	return outs
}

// TestRolloutIsWrittenAgainAfterARestore: a store that came back older has lost the last phases
// of a rollout, and what operators read of it. Both are written again.
func TestRolloutIsWrittenAgainAfterARestore(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1100, 0)
	w := restoredWorld(at)
	order := rollout.Order{ID: 3, Service: "s", Target: "v2", Duration: 10 * time.Second}
	completed := order.Begin(rollout.Record{}, at.Add(-10*time.Second)).WithPhase(rollout.Completed, "")
	Tick(w, at, []Input{RolloutsRead{Records: []rollout.Record{completed}}, RolloutPublished{Record: completed}})
	for _, out := range ticksFor(w, at, restoreTime) {
		is.Equal(len(out.CommitRollouts)+len(out.PublishRollouts), 0)
	}
	at = at.Add(restoreTime)
	committed := 0
	for _, out := range ticksFor(w, at, restoreTime, StoreEpoch{2}) {
		for _, r := range out.CommitRollouts {
			is.Equal(r, completed)
			committed++
		}
		is.Equal(len(out.PublishRollouts), 0) // not before the record is agreed on again
	}
	is.Equal(committed, 1)
	at = at.Add(restoreTime)
	published := 0
	for _, out := range ticksFor(w, at, restoreTime, RolloutsRead{Records: []rollout.Record{completed}}) {
		published += len(out.PublishRollouts)
	}
	is.Equal(published, 1)
}

// TestAddressIsPublishedAgainAfterARestore: a store that came back older may not list the
// address of a daemon any more, so that daemons which start do not find it.
func TestAddressIsPublishedAgainAfterARestore(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1100, 0)
	w := restoredWorld(at)
	w.Params.Checkpoint = time.Hour
	publications := func(from time.Time, inputs ...Input) int {
		n := 0
		for _, out := range ticksFor(w, from, restoreTime, inputs...) {
			if out.PublishSelf {
				n++
			}
		}
		return n
	}
	publications(at, SelfListed{Listed: true})
	is.Equal(publications(at.Add(restoreTime)), 0)
	is.Equal(publications(at.Add(2*restoreTime), StoreEpoch{2}), 1)
	is.Equal(publications(at.Add(3*restoreTime), StoreEpoch{2}), 0)
	is.Equal(publications(at.Add(4*restoreTime), StoreEpoch{3}), 1) // a second time
}

// TestQuarantineIsWrittenAgainAfterARestore: a quarantined request that the store has lost is
// not taken for one that is no longer quarantined.
func TestQuarantineIsWrittenAgainAfterARestore(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1100, 0)
	w := restoredWorld(at)
	for i := range suspect.QuarantineThreshold {
		w.Suspects.RecordCrash(7, suspect.CrashID(i+1))
	}
	written := func(from time.Time, inputs ...Input) int {
		n := 0
		for _, out := range ticksFor(w, from, restoreTime-tickInterval, inputs...) {
			n += len(out.StoreQuarantine)
		}
		return n
	}
	is.Equal(written(at), 1)
	is.Equal(written(at.Add(restoreTime), QuarantineRead{Records: w.Suspects.Records()}), 0)
	is.Equal(written(at.Add(2*restoreTime), StoreEpoch{2}, QuarantineRead{Complete: true}), 1)
	is.Equal(w.Suspects.CrashCount(7), suspect.QuarantineThreshold)
}

// TestRestoredCommandLogIsNotReadOn guards against daemons that apply different commands: a
// log of commands that came back older and has grown past the position held has other records
// there than the daemons that read on would expect.
func TestRestoredCommandLogIsNotReadOn(t *testing.T) {
	is := is.New(t)
	w := table.New(wire.Member{ID: "vm", Domain: "d", Peer: "vm"}, testParams(), noSuspects(), time.Unix(1000, 0), 1)
	at := time.Unix(1100, 0)
	command := func(offset uint64, service string) store.Entry {
		data, err := config.Record{Command: &config.Command{ID: service, Changes: []config.Change{{
			Verb: config.Put, Ref: config.Ref{Kind: config.KindService, Name: service}, Service: &config.Service{Name: service},
		}}}}.Encode()
		is.NoErr(err)
		return store.Entry{Offset: offset, Data: data}
	}
	read := func(epoch, from, end uint64, entries ...store.Entry) {
		Tick(w, at, []Input{LogRead{From: from, Batch: store.Batch{End: end, Entries: entries, Epoch: epoch}}})
	}
	read(1, 0, 2, command(0, "a"), command(1, "b"))
	read(1, 2, 3, command(2, "lost"))
	is.Equal(w.Config.State.Version, uint64(3))
	// The log came back with the first two commands and got two others.
	read(2, 3, 4, command(3, "second"))
	is.Equal(w.Config.State.Version, uint64(3))
	is.True(w.Alarms[AlarmRegressed] != "")
}

// TestReadOvertakenByPeersIsNoRegression guards against a daemon that takes a log for truncated
// because the answer to a read arrives after later records, which a peer has sent meanwhile. A
// paused reader finds both when it goes on.
func TestReadOvertakenByPeersIsNoRegression(t *testing.T) {
	is := is.New(t)
	w := table.New(wire.Member{ID: "vm", Domain: "d", Peer: "vm"}, testParams(), noSuspects(), time.Unix(1000, 0), 1)
	at := time.Unix(1100, 0)
	var entries []store.Entry
	for i, service := range []string{"a", "b", "c"} {
		data, err := config.Record{Command: &config.Command{ID: service, Changes: []config.Change{{
			Verb: config.Put, Ref: config.Ref{Kind: config.KindService, Name: service}, Service: &config.Service{Name: service},
		}}}}.Encode()
		is.NoErr(err)
		entries = append(entries, store.Entry{Offset: uint64(i), Data: data})
	}
	read := func(from, end uint64) {
		Tick(w, at, []Input{LogRead{From: from, Batch: store.Batch{End: end, Entries: entries[from:end], Epoch: 1}}})
	}
	read(0, 1)
	read(1, 3)
	read(1, 2) // began before the records up to 3 were applied
	is.Equal(w.Alarms[AlarmRegressed], "")
	is.Equal(w.Config.State.Version, uint64(3))
	Tick(w, at, []Input{LogRead{From: 3, Batch: store.Batch{End: 2, Epoch: 1}}})
	is.True(w.Alarms[AlarmRegressed] != "") // the log was truncated
}

// TestOrderAfterARestoreIsCarriedOut guards against a rollout that is never begun: an order was
// known by its offset alone, which a store that came back older gives out again. What such a
// store still has, or gets again, is no new order.
func TestOrderAfterARestoreIsCarriedOut(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1100, 0)
	w := restoredWorld(at)
	order := func(epoch, offset uint64, target string) rollout.Order {
		return rollout.Order{ID: rollout.OrderID(epoch, offset), Service: "s", Target: target, Duration: 10 * time.Second}
	}
	read := func(orders ...rollout.Order) string {
		at = at.Add(tickInterval)
		Tick(w, at, []Input{OrdersRead{Orders: orders}})
		return w.Rollouts["s"].Target
	}
	Tick(w, at, []Input{RolloutsRead{}})
	is.Equal(read(order(1, 2, "v2")), "v2")
	is.Equal(read(order(1, 8, "v3")), "v3")
	before := w.Rollouts["s"].ID
	Tick(w, at, []Input{StoreEpoch{2}})
	is.Equal(read(order(2, 2, "v2")), "v3") // the store's copy
	is.Equal(read(order(2, 4, "v3")), "v3") // written again
	is.Equal(w.Rollouts["s"].ID, before)    // and not begun again
	is.Equal(read(order(2, 5, "v4")), "v4") // a later order, at an offset given out again
	is.Equal(read(order(2, 6, "v3")), "v3") // ordered once more
}
