package suspect

import (
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// clock is a clock that a test sets by hand.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newClock() *clock { return &clock{at: time.Unix(1_700_000_000, 0)} }

func TestThreeCrashesQuarantineAndAnAnswerClears(t *testing.T) {
	is := is.New(t)
	tab := NewTable(newClock().now)
	is.True(!tab.Any())
	// A crash counts once, however many copies of the request ran at the upstream.
	for _, id := range []CrashID{1, 1, 2} {
		tab.RecordCrash(7, id)
	}
	is.Equal(tab.CrashCount(7), 2)
	is.True(tab.Answered(7))
	is.Equal(tab.CrashCount(7), 0)
	is.True(!tab.Any())
	is.True(!tab.Answered(7)) // nothing to clear
	for _, id := range []CrashID{3, 4} {
		is.True(!tab.RecordCrash(7, id).Quarantined()) // crashes before the answer do not count
	}
	is.True(tab.RecordCrash(7, 5).Quarantined())
	is.True(tab.Any())
}

// TestMergeDoesNotDependOnOrder applies random crashes, answers, runs and merges to three tables.
// After all have exchanged their records they must be equal; otherwise daemons would
// disagree on which requests are quarantined.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newClock()
		tabs := []*Table{NewTable(c.now), NewTable(c.now), NewTable(c.now)}
		for range rapid.IntRange(1, 40).Draw(rt, "ops") {
			tab := tabs[rapid.IntRange(0, 2).Draw(rt, "table")]
			d := Digest(rapid.IntRange(1, 3).Draw(rt, "digest"))
			switch rapid.IntRange(0, 6).Draw(rt, "op") {
			case 0:
				tab.RecordCrash(d, CrashID(rapid.IntRange(1, 6).Draw(rt, "end")))
			case 1:
				tab.Answered(d)
			case 2:
				tab.ClearUnanswered(d)
			case 3:
				tab.RecordUnattributedCrash(d, CrashID(rapid.IntRange(1, 6).Draw(rt, "unattributed end")))
			case 4:
				tab.BeginRun(d, rapid.SampledFrom([]string{"u1", "u2"}).Draw(rt, "begins at"))
			case 5:
				tab.EndRun(d, rapid.SampledFrom([]string{"u1", "u2"}).Draw(rt, "ends at"))
			default:
				mergeAll(tab, tabs[rapid.IntRange(0, 2).Draw(rt, "from")])
			}
		}
		for range 2 { // the last table's records reach the first in the second pass
			for i, tab := range tabs {
				mergeAll(tab, tabs[(i+1)%3])
				mergeAll(tab, tabs[(i+2)%3])
			}
		}
		for _, tab := range tabs[1:] {
			if tab.Hash() != tabs[0].Hash() {
				rt.Fatalf("tables differ after an exchange: %v and %v", tab.Records(), tabs[0].Records())
			}
		}
		for _, tab := range tabs {
			if suspected := slices.ContainsFunc(tab.Records(), func(r Record) bool { return len(r.Crashes) > 0 }); suspected != tab.Any() {
				rt.Fatalf("Any differs from suspects present (%v) in records %v", suspected, tab.Records())
			}
		}
	})
}

func mergeAll(to, from *Table) {
	for _, r := range from.Records() {
		to.Merge(r)
	}
}

// TestAnnouncedRunKeepsCopiesElsewhereFromStarting guards against copies of a suspect that start
// at other upstreams while one of them runs it, and against a run that keeps them from starting
// forever because its end was never announced.
func TestAnnouncedRunKeepsCopiesElsewhereFromStarting(t *testing.T) {
	is := is.New(t)
	c := newClock()
	here, there := NewTable(c.now), NewTable(c.now)
	exchange := func() {
		mergeAll(here, there)
		mergeAll(there, here)
	}
	here.RecordCrash(7, 1)
	exchange()
	here.BeginRun(7, "u1")
	is.True(!there.RunsElsewhere(7, "u2")) // not announced there yet
	exchange()
	is.True(there.RunsElsewhere(7, "u2"))
	is.True(!here.RunsElsewhere(7, "u1"))
	here.EndRun(7, "u1")
	exchange()
	is.True(!there.RunsElsewhere(7, "u2"))

	there.BeginRun(7, "u2")
	exchange()
	here.EndRun(7, "u1") // not the run that was announced last
	is.True(here.RunsElsewhere(7, "u1"))
	c.at = c.at.Add(maxAnnouncedRun)
	is.True(!here.RunsElsewhere(7, "u1"))

	there.BeginRun(7, "u2")
	exchange()
	is.True(there.Answered(7))
	exchange()
	is.True(!here.RunsElsewhere(7, "u1")) // no longer a suspect
}

// TestLongUpstreamIDDoesNotInvalidateRecord guards against a record that other daemons reject, with
// all its crashes, because the ID of the upstream in its run is too long.
func TestLongUpstreamIDDoesNotInvalidateRecord(t *testing.T) {
	is := is.New(t)
	tab := NewTable(newClock().now)
	tab.RecordCrash(7, 1)
	tab.BeginRun(7, strings.Repeat("u", maxUpstreamIDBytes+1))
	rec, _ := tab.Record(7)
	is.True(rec.Valid())
}

// TestTableIsBounded floods a table with requests that are suspected of one crash each.
// The table must keep MaxRecords records, and must not evict the request that is one
// crash short of quarantine.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	c := newClock()
	tab := NewTable(c.now)
	tab.RecordCrash(1, 1)
	tab.RecordCrash(1, 2)
	for i := range 5 * MaxRecords {
		c.at = c.at.Add(time.Millisecond)
		tab.RecordCrash(Digest(i+2), 3)
	}
	is.Equal(len(tab.Records()), MaxRecords)
	is.Equal(tab.CrashCount(1), 2)
	is.Equal(int(tab.suspected.Load()), MaxRecords)
}

func TestExpiredRecordsAreDroppedAndNotMerged(t *testing.T) {
	is := is.New(t)
	c := newClock()
	tab := NewTable(c.now)
	old := tab.RecordCrash(1, 1)
	c.at = c.at.Add(Retention + time.Second)
	is.True(!tab.Merge(old)) // another daemon's copy does not restore it
	tab.RecordCrash(2, 1)
	is.Equal(tab.CrashCount(1), 0)
	is.Equal(len(tab.Records()), 1)
	is.True(tab.Merge(Record{Digest: 3, Crashes: []CrashID{1}, At: c.at.Add(2 * Retention).UnixMilli()}))
	r, _ := tab.Record(3)
	is.Equal(r.At, c.at.UnixMilli()) // a clock that runs ahead does not prolong the retention
}

func TestInvalidRecordsAreNotMerged(t *testing.T) {
	is := is.New(t)
	c := newClock()
	tab := NewTable(c.now)
	is.True(!tab.Merge(Record{}))
	is.True(!tab.Merge(Record{Digest: 1, Crashes: []CrashID{1, 2, 3, 4}, At: c.at.UnixMilli()}))
	is.Equal(len(tab.Records()), 0)
}

func TestChangesReturnsEachChangeOnce(t *testing.T) {
	is := is.New(t)
	tab := NewTable(newClock().now)
	tab.RecordCrash(1, 1)
	tab.RecordCrash(1, 2)
	<-tab.Changed()
	changes := tab.Changes()
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Before, 0)
	is.Equal(len(changes[0].Crashes), 2)
	is.Equal(len(tab.Changes()), 0)
	tab.Answered(1)
	is.Equal(tab.Changes()[0].Before, 2)
}

// BenchmarkLookup measures the cost per call, without any suspects (the usual case) and with
// a full table.
func BenchmarkLookup(b *testing.B) {
	tab := NewTable(time.Now)
	body := make([]byte, 1000)
	lookup := func(b *testing.B) {
		for b.Loop() {
			if tab.Any() {
				tab.CrashCount(Of("clerk", "GET", "a.example", "/tickets/42", "", body))
			}
		}
	}
	b.Run("none", lookup)
	for i := range MaxRecords {
		tab.RecordCrash(Digest(i+1), CrashID(i))
	}
	b.Run("full", lookup)
}

// TestMemoryIsBounded measures a full table, with all requests quarantined, and a full
// Recent. Both together may take 1 MB of the 128 MB that a daemon may use for control.
func TestMemoryIsBounded(t *testing.T) {
	c := newClock()
	before := heapInUse()
	tab, recent := NewTable(c.now), NewRecent(c.now)
	for d := range Digest(2 * MaxRecords) {
		for n := range CrashID(QuarantineThreshold) {
			tab.RecordCrash(d+1, CrashID(d)*10+n)
		}
	}
	withTable := heapInUse()
	for d := range Digest(4 * maxRecent) {
		recent.Add(d)
	}
	withRecent := heapInUse()
	t.Logf("%d records take %d KB, %d answered requests %d KB", len(tab.Records()), (withTable-before)>>10,
		len(recent.current)+len(recent.previous), (withRecent-withTable)>>10)
	if withRecent-before > 1<<20 {
		t.Errorf("table and recent requests take %d bytes, want at most 1 MB", withRecent-before)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
