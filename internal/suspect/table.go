package suspect

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Most bounds the records of a table: the runs of 60 upstreams of 16 slots that end at
// once. Beyond it those that were cleared go first, then those with the fewest ends, the
// oldest first. In memory a full table takes 0.1 MB.
const Most = 1024

// sweepEvery is the interval at which records that are out of date are dropped.
const sweepEvery = time.Minute

// Table is what a daemon knows of requests under which upstreams have ended. Where none
// has, asking costs one load from memory. Safe for concurrent use.
type Table struct {
	now func() time.Time
	// suspected counts the records with ends.
	suspected atomic.Int64
	// changed gets a token when a record changes.
	changed chan struct{}

	mu    sync.Mutex
	rows  map[Digest]*row
	sweep time.Time
	// fresh counts the rows that Changes has to give.
	fresh int
}

type row struct {
	Record
	// told is how many ends the last Changes gave, fresh that there is more to give.
	told  int
	fresh bool
}

// Change is a record that has changed, and how many ends it had before.
type Change struct {
	Record
	Before int
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, changed: make(chan struct{}, 1), rows: map[Digest]*row{}}
}

// Any reports whether any request is suspected.
func (t *Table) Any() bool { return t.suspected.Load() > 0 }

// Changed gets a token after changes that Changes has not given yet.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// Ends returns how many upstreams have ended under the request, Enough at most.
func (t *Table) Ends(d Digest) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[d]; r != nil {
		return len(r.Ends)
	}
	return 0
}

// Record returns what is known of a request. False: nothing.
func (t *Table) Record(d Digest) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[d]; r != nil {
		return r.Record, true
	}
	return Record{}, false
}

// Charge takes note that an upstream has ended while it ran the request.
func (t *Table) Charge(d Digest, e End) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	charge := Record{Digest: d, Ends: []End{e}, At: t.now().UnixMilli()}
	if r := t.rows[d]; r != nil {
		charge.Round = r.Round
	}
	t.merge(charge)
	return t.rows[d].Record
}

// Answered takes note that an upstream has run the request and lives. It reports
// whether that clears the request.
func (t *Table) Answered(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(d, false)
}

// Vouch clears a request without an answer. It reports whether there was anything to
// clear.
func (t *Table) Vouch(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(d, true)
}

func (t *Table) clear(d Digest, vouched bool) bool {
	r := t.rows[d]
	if r == nil || len(r.Ends) == 0 {
		return false
	}
	return t.merge(Record{Digest: d, Round: r.Round + 1, Vouched: vouched, At: t.now().UnixMilli()})
}

// Merge takes in what another daemon knows. It reports whether that is news.
func (t *Table) Merge(o Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if !o.Valid() || o.Expired(now) {
		return false
	}
	if o.At > now.Add(skew).UnixMilli() {
		o.At = now.UnixMilli()
	}
	return t.merge(o)
}

// merge takes a record in. The caller holds the lock.
func (t *Table) merge(o Record) bool {
	t.expire()
	r := t.rows[o.Digest]
	if r == nil {
		t.makeRoom()
		r = &row{Record: Record{Digest: o.Digest}}
		t.rows[o.Digest] = r
	} else if r.merged(o).Same(r.Record) {
		return false
	}
	next := r.merged(o)
	t.count(len(r.Ends), len(next.Ends))
	r.Record = next
	if !r.fresh {
		r.fresh = true
		t.fresh++
	}
	select {
	case t.changed <- struct{}{}:
	default: // one token is enough
	}
	return true
}

// count follows a record's number of ends.
func (t *Table) count(before, after int) {
	t.suspected.Add(int64(min(after, 1) - min(before, 1)))
}

func (t *Table) drop(r *row) {
	t.count(len(r.Ends), 0)
	if r.fresh {
		t.fresh--
	}
	delete(t.rows, r.Digest)
}

func (t *Table) expire() {
	now := t.now()
	if now.Before(t.sweep) {
		return
	}
	t.sweep = now.Add(sweepEvery)
	for _, r := range t.rows {
		if r.Expired(now) {
			t.drop(r)
		}
	}
}

func (t *Table) makeRoom() {
	if len(t.rows) < Most {
		return
	}
	var least *row
	for _, r := range t.rows {
		if least == nil || cmp.Or(cmp.Compare(len(r.Ends), len(least.Ends)), cmp.Compare(r.At, least.At)) < 0 {
			least = r
		}
	}
	t.drop(least)
}

// Changes returns what has changed since it was last called, by digest.
func (t *Table) Changes() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fresh == 0 {
		return nil
	}
	t.fresh = 0
	var out []Change
	for _, r := range t.rows {
		if r.fresh {
			out = append(out, Change{Record: r.Record, Before: r.told})
			r.told, r.fresh = len(r.Ends), false
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Digest, b.Digest) })
	return out
}

// Records returns all that is known and not out of date, by digest.
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

// Hash returns a number that is the same for tables that say the same, and zero for an
// empty one.
func (t *Table) Hash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for _, r := range t.rows {
		sum ^= r.hash()
	}
	return sum
}
