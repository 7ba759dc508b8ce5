package system

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// announcement returns an announcement of the incarnation that started at startedMs.
func announcement(startedMs int64, sequence uint64, draining bool) Announced {
	id := "vm/up@" + time.UnixMilli(startedMs).UTC().Format("150405.000")
	return Announced{Local: table.Local{
		Upstream: wire.Upstream{ID: id, Service: "s", Slots: 4, Draining: draining},
		Name:     "vm/up", Incarnation: "up", Process: "up", Addr: "a:1", Sequence: sequence, StartedMs: startedMs,
	}}
}

// TestLaterIncarnationReplacesEarlier restarts an upstream under the same name. The new
// incarnation starts its sequence numbers again, and delayed announcements and removals of
// earlier incarnations must not change its row.
func TestLaterIncarnationReplacesEarlier(t *testing.T) {
	is := is.New(t)
	w := documentWorld()
	at := w.Started.Add(w.Params.AnnouncementDelay) // no announcement is from before the daemon's start
	tick := func(in ...Input) *table.Local {
		Tick(w, at, in)
		is.True(len(w.Locals) <= 1)
		for _, row := range w.Locals {
			return row
		}
		return nil
	}
	is.Equal(tick(announcement(1000, 90, true)).StartedMs, int64(1000))
	row := tick(announcement(2000, 1, false)) // its sequence is lower than that of the earlier incarnation
	is.Equal(row.StartedMs, int64(2000))
	is.True(!row.Draining)
	is.Equal(tick(announcement(1000, 91, true)).StartedMs, int64(2000))                                      // late
	is.Equal(tick(Removed{Name: "vm/up", StartedMs: 1000}).StartedMs, int64(2000))                           // late
	is.Equal(tick(Removed{Name: "vm/up", StartedMs: 2000}) == nil, true)                                     // it stops
	is.Equal(tick(announcement(2000, 2, false)) == nil, true)                                                // late
	is.Equal(tick(announcement(3000, 1, false)).StartedMs, int64(3000))                                      // while late announcements are still expected
	is.Equal(tick(Removed{Name: "vm/up"}) == nil, true)                                                      // whichever incarnation is running
	is.Equal(tick(Removed{Name: "vm/up"}) == nil, true)                                                      // removed twice: the second time as it exits
	is.Equal(tick(announcement(3000, 9, false)) == nil, true)                                                // late
	is.Equal(tick(announcement(4000, 1, false)).StartedMs, int64(4000))                                      // another incarnation
	is.Equal(tick(announcement(4000, 3, true), announcement(4000, 2, false)).Draining, true)                 // reordered
	is.Equal(tick(announcement(1000, 100, false), announcement(2000, 5, false)).StartedMs, int64(4000))      // several late ones in one tick
	is.Equal(tick(Removed{Name: "vm/up", StartedMs: 1000}, announcement(4000, 4, true)).Sequence, uint64(4)) // a late removal
}

// TestIncarnationsInAnyOrder generates announcements and removals in any order. The row
// must always hold the last announcement of the latest known incarnation, unless that one
// or a later one was removed.
func TestIncarnationsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := documentWorld()
		at := w.Started.Add(w.Params.AnnouncementDelay) // no announcement is from before the daemon's start
		removed, lastSequence := int64(0), map[int64]uint64{}
		for range rapid.IntRange(1, 30).Draw(t, "words") {
			startedMs := 1000 * rapid.Int64Range(1, 4).Draw(t, "born")
			if rapid.IntRange(0, 4).Draw(t, "end") == 0 {
				Tick(w, at, []Input{Removed{Name: "vm/up", StartedMs: startedMs}})
				removed = max(removed, startedMs)
			} else {
				n := rapid.Uint64Range(1, 9).Draw(t, "sequence")
				Tick(w, at, []Input{announcement(startedMs, n, false)})
				lastSequence[startedMs] = max(lastSequence[startedMs], n)
			}
			newest := int64(0)
			for b := range lastSequence {
				newest = max(newest, b)
			}
			if newest <= removed {
				if len(w.Locals) != 0 {
					t.Fatalf("incarnations up to %d were removed, but the table holds %v", removed, w.Locals)
				}
				continue
			}
			for _, row := range w.Locals {
				if len(w.Locals) != 1 || row.StartedMs != newest || row.Sequence != lastSequence[newest] {
					t.Fatalf("newest incarnation %d, last sequence %d, but the table holds %+v", newest, lastSequence[newest], row)
				}
			}
			if len(w.Locals) != 1 {
				t.Fatalf("incarnation %d is not in the table", newest)
			}
		}
	})
}
