package suspect

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// MaxRecords is the largest number of records in a table: enough for the requests running
// at 60 upstreams of 16 slots that crash at once. A full table evicts cleared records first,
// then those with the fewest crashes, and the oldest of records with equally many. It takes
// 0.1 MB of memory.
const MaxRecords = 1024

// sweepInterval is the interval at which expired records are removed.
const sweepInterval = time.Minute

// Table holds a daemon's records of suspects. While there are none, Any costs one atomic
// load. It is safe for concurrent use.
type Table struct {
	now func() time.Time
	// suspected counts the records with at least one crash.
	suspected atomic.Int64
	// changed receives a token when a record changes.
	changed chan struct{}

	mu        sync.Mutex
	rows      map[Digest]*row
	nextSweep time.Time
	// pendingCount counts the rows that the next call of Changes returns.
	pendingCount int
}

type row struct {
	Record
	// reported is the record that Changes last returned; pending is set if the record has
	// changed since.
	reported Record
	pending  bool
	// runChangedAt is when Run last changed here.
	runChangedAt time.Time
}

// Change is a record that has changed, with the number of crashes that it had when Changes
// last returned it, and whether the request was quarantined then.
type Change struct {
	Record
	Before         int
	WasQuarantined bool
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, changed: make(chan struct{}, 1), rows: map[Digest]*row{}}
}

// Any reports whether any request is a suspect.
func (t *Table) Any() bool { return t.suspected.Load() > 0 }

// Changed returns a channel that receives a token when there are changes which Changes has
// not returned yet.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// CrashCount returns the number of crashes that the request is suspected of, at most
// QuarantineThreshold.
func (t *Table) CrashCount(d Digest) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[d]; r != nil {
		return len(r.Crashes)
	}
	return 0
}

// Record returns the record of a request, or false if there is none.
func (t *Table) Record(d Digest) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[d]; r != nil {
		return r.Record, true
	}
	return Record{}, false
}

// RecordCrash records a crash of an upstream that is attributed to the request, which the
// upstream was running.
func (t *Table) RecordCrash(d Digest, id CrashID) Record { return t.recordCrash(d, id, false) }

// RecordUnattributedCrash records a crash of an upstream that was running the request, but
// which other requests may have caused as well.
func (t *Table) RecordUnattributedCrash(d Digest, id CrashID) Record {
	return t.recordCrash(d, id, true)
}

func (t *Table) recordCrash(d Digest, id CrashID, unattributed bool) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := Record{Digest: d, Crashes: []CrashID{id}, Unattributed: unattributed, At: t.now().UnixMilli()}
	if r := t.rows[d]; r != nil {
		rec.Round = r.Round
	}
	t.merge(rec)
	return t.rows[d].Record
}

// Answered records that an upstream ran the request without crashing. It reports whether
// that cleared the request.
func (t *Table) Answered(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(d, false)
}

// ClearUnanswered clears a request without an answer. It reports whether the request was a
// suspect.
func (t *Table) ClearUnanswered(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(d, true)
}

func (t *Table) clear(d Digest, unanswered bool) bool {
	r := t.rows[d]
	if r == nil || len(r.Crashes) == 0 {
		return false
	}
	return t.merge(Record{Digest: d, Round: r.Round + 1, ClearedUnanswered: unanswered, At: t.now().UnixMilli()})
}

// maxAnnouncedRun is how long an announced run keeps copies of the request from starting: longer
// than most runs take. The end of a run is not announced if the daemon that runs it is killed.
const maxAnnouncedRun = time.Second

// BeginRun announces that an upstream runs a suspect. EndRun must follow. A run at an upstream
// with a longer ID than a record may hold is not announced.
func (t *Table) BeginRun(d Digest, upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[d]; r != nil && len(upstream) <= maxUpstreamIDBytes {
		t.merge(Record{Digest: d, Round: r.Round, Run: Run{Seq: r.Run.Seq + 1, Upstream: upstream}, At: t.now().UnixMilli()})
	}
}

// EndRun announces the end of a run. It does nothing if the run was not announced, or another
// one was since.
func (t *Table) EndRun(d Digest, upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[d]
	if r == nil || r.Run.Upstream != upstream || r.Run.Ended {
		return
	}
	ended := r.Run
	ended.Ended = true
	t.merge(Record{Digest: d, Round: r.Round, Run: ended, At: t.now().UnixMilli()})
}

// RunsElsewhere reports whether a run of the request at another upstream has been announced
// and has not ended.
func (t *Table) RunsElsewhere(d Digest, upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[d]
	if r == nil || r.Run.Upstream == "" || r.Run.Ended || r.Run.Upstream == upstream {
		return false
	}
	return t.now().Sub(r.runChangedAt) < maxAnnouncedRun
}

// Merge merges a record from another daemon. It reports whether that changed the table.
func (t *Table) Merge(o Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if !o.Valid() || o.Expired(now) {
		return false
	}
	if o.At > now.Add(maxClockSkew).UnixMilli() {
		o.At = now.UnixMilli()
	}
	return t.merge(o)
}

// merge merges a record into the table. The caller holds the lock.
func (t *Table) merge(o Record) bool {
	t.dropExpired()
	r := t.rows[o.Digest]
	if r == nil {
		t.evict()
		r = &row{Record: Record{Digest: o.Digest}}
		t.rows[o.Digest] = r
	} else if r.merged(o).Same(r.Record) {
		return false
	}
	next := r.merged(o)
	t.updateSuspected(len(r.Crashes), len(next.Crashes))
	if next.Run != r.Run {
		r.runChangedAt = t.now()
	}
	r.Record = next
	if !r.pending {
		r.pending = true
		t.pendingCount++
	}
	select {
	case t.changed <- struct{}{}:
	default: // a token is already pending
	}
	return true
}

// updateSuspected updates the count of suspects after a record's number of crashes has
// changed.
func (t *Table) updateSuspected(before, after int) {
	t.suspected.Add(int64(min(after, 1) - min(before, 1)))
}

func (t *Table) drop(r *row) {
	t.updateSuspected(len(r.Crashes), 0)
	if r.pending {
		t.pendingCount--
	}
	delete(t.rows, r.Digest)
}

func (t *Table) dropExpired() {
	now := t.now()
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(sweepInterval)
	for _, r := range t.rows {
		if r.Expired(now) {
			t.drop(r)
		}
	}
}

func (t *Table) evict() {
	if len(t.rows) < MaxRecords {
		return
	}
	var victim *row
	for _, r := range t.rows {
		if victim == nil || cmp.Or(cmp.Compare(len(r.Crashes), len(victim.Crashes)), cmp.Compare(r.At, victim.At)) < 0 {
			victim = r
		}
	}
	t.drop(victim)
}

// Changes returns the records that have changed since it was last called, sorted by digest.
func (t *Table) Changes() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pendingCount == 0 {
		return nil
	}
	t.pendingCount = 0
	var out []Change
	for _, r := range t.rows {
		if r.pending {
			out = append(out, Change{Record: r.Record, Before: len(r.reported.Crashes), WasQuarantined: r.reported.Quarantined()})
			r.reported, r.pending = r.Record, false
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Digest, b.Digest) })
	return out
}

// Records returns all records that have not expired, sorted by digest.
func (t *Table) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	out := make([]Record, 0, len(t.rows))
	for _, r := range t.rows {
		if !r.Expired(now) {
			out = append(out, r.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Digest, b.Digest) })
	return out
}

// Hash returns a hash of all records, independent of their order. It is zero for an empty
// table.
func (t *Table) Hash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for _, r := range t.rows {
		sum ^= r.hash()
	}
	return sum
}
