// Package pressure keeps what a daemon knows of scarce resources: which calls were refused
// for lack of them, where, since when, and how long calls wait for them. It does no I/O; the
// clock is passed in.
package pressure

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// Resource is a kind of resource that calls compete for.
type Resource string

// The resources, by the name that operators see.
const (
	// Slots are the slots and the rate limits of upstreams.
	Slots Resource = "slots"
	// Link is the network link of an owner's VM.
	Link Resource = "link"
	// NestedCalls is the capacity of the services that a service's runs call.
	NestedCalls Resource = "nested-calls"
	// Limit is the rate limit of a workspace.
	Limit Resource = "limit"
	// Memory is the memory of a VM for the bodies of calls.
	Memory Resource = "memory"
	// Reachability is the connection to the owners of a service's upstreams.
	Reachability Resource = "reachability"
)

// Resources returns all resources.
func Resources() []Resource { return []Resource{Slots, Link, NestedCalls, Limit, Memory, Reachability} }

// ResourceOf returns the resource whose lack is the reason of a refusal, and false if the
// refusal has another cause.
func ResourceOf(r outcome.Reason) (Resource, bool) {
	switch r {
	case outcome.ReasonOverload, outcome.ReasonUpstreamLimit:
		return Slots, true
	case outcome.ReasonLink:
		return Link, true
	case outcome.ReasonNestedOverload:
		return NestedCalls, true
	case outcome.ReasonMemory:
		return Memory, true
	case outcome.ReasonOverLimit:
		return Limit, true
	case outcome.ReasonUnreachable:
		return Reachability, true
	}
	return "", false
}

const (
	// windowSeconds is the time in seconds over which refusals are counted.
	windowSeconds = 10
	// maxGap is the longest time without a refusal or a long wait that does not interrupt
	// scarcity. Callers over a limit are told to return within 3 s, so that a shorter gap
	// does not show that there is room.
	maxGap = 3 * time.Second
	// waitMaxAge is how long a reported wait is valid, as long as the load that it is from.
	waitMaxAge = time.Second
	// maxEntries bounds the table, at about 800 bytes an entry. It has room for three
	// services with two scarce resources on each of 160 VMs.
	maxEntries = 1024
	// othersName stands for the names and places of all entries beyond maxEntries.
	othersName = "(others)"
)

// Key identifies an entry of the table.
type Key struct {
	Resource Resource
	// Name is the service, or the workspace for Limit.
	Name string
	// Where is the place at which the resource is scarce: a failure domain, or a VM.
	Where string
}

// urgencyCounts are numbers of refusals by urgency.
type urgencyCounts [config.MostUrgent + 1]uint32

// entry is the state of one key.
type entry struct {
	// since is when the resource became scarce, scarceAt when it was last scarce.
	since, scarceAt time.Time
	// refused holds the refusals of the last windowSeconds: those of Unix second s are at
	// index s modulo windowSeconds. newest is the latest second that is counted.
	refused [windowSeconds]urgencyCounts
	newest  int64
	// wait is the longest wait reported since waitAt.
	wait   time.Duration
	waitAt time.Time
}

// Table holds the scarce resources that a daemon knows of. It is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu         sync.Mutex
	entries    map[Key]*entry
	nextExpiry time.Time
}

// New returns an empty table.
func New(now func() time.Time) *Table {
	return &Table{now: now, entries: map[Key]*entry{}}
}

// Refused records that a call or an attempt of this urgency was refused.
func (t *Table) Refused(k Key, urgency config.Urgency) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.markScarce(k, now)
	e.advance(now.Unix())
	e.refused[index(now.Unix())][min(max(urgency, 0), config.MostUrgent)]++
}

// Waited records how long a call would wait for a resource. A wait of maxWait or more makes
// the resource count as scarce; a shorter one is recorded only while the resource is scarce
// for another reason.
func (t *Table) Waited(k Key, wait, maxWait time.Duration) {
	if wait <= 0 {
		return
	}
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k]
	if wait >= maxWait {
		e = t.markScarce(k, now)
	}
	if e != nil && (wait >= e.wait || now.Sub(e.waitAt) >= waitMaxAge) {
		e.wait, e.waitAt = wait, now
	}
}

// markScarce records that the resource of a key is scarce now, and returns its entry. A new key
// gets an entry of its own while there is room.
func (t *Table) markScarce(k Key, now time.Time) *entry {
	e := t.entries[k]
	if e == nil && !t.room(now) {
		k = Key{Resource: k.Resource, Name: othersName, Where: othersName}
		e = t.entries[k]
	}
	if e == nil {
		e = &entry{since: now}
		t.entries[k] = e
	}
	if !e.scarceAt.IsZero() && now.Sub(e.scarceAt) > maxGap {
		e.since = now
	}
	e.scarceAt = now
	return e
}

// room reports whether the table has room for another key. A full table is searched for
// entries that are no longer scarce at most once a second.
func (t *Table) room(now time.Time) bool {
	if len(t.entries) < maxEntries {
		return true
	}
	if now.Before(t.nextExpiry) {
		return false
	}
	t.nextExpiry = now.Add(time.Second)
	t.expire(now)
	return len(t.entries) < maxEntries
}

// expire removes the entries that have not been scarce for windowSeconds.
func (t *Table) expire(now time.Time) {
	for k, e := range t.entries {
		if now.Sub(e.scarceAt) >= windowSeconds*time.Second {
			delete(t.entries, k)
		}
	}
}

// index returns the index of a Unix second in entry.refused.
func index(second int64) int { return int(second % windowSeconds) }

// advance clears the counts of the seconds that have left the window.
func (e *entry) advance(second int64) {
	for s := max(e.newest+1, second-windowSeconds+1); s <= second; s++ {
		e.refused[index(s)] = urgencyCounts{}
	}
	e.newest = max(e.newest, second)
}

// Count is a number of refusals of one urgency.
type Count struct {
	Urgency config.Urgency
	N       int
}

// Row describes one scarce resource.
type Row struct {
	Key
	Since time.Time
	// Refused holds the refusals of the last ten seconds, the most urgent first.
	Refused []Count
	// Wait is the longest wait now; zero: none is known.
	Wait time.Duration
}

// Rows returns the scarce resources, sorted by resource, name and place.
func (t *Table) Rows() []Row {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	rows := make([]Row, 0, len(t.entries))
	for k, e := range t.entries {
		rows = append(rows, e.row(k, now))
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(slices.Index(Resources(), a.Resource), slices.Index(Resources(), b.Resource)),
			cmp.Compare(a.Name, b.Name), cmp.Compare(a.Where, b.Where),
		)
	})
	return rows
}

// row returns the row of the entry, which has the key k.
func (e *entry) row(k Key, now time.Time) Row {
	e.advance(now.Unix())
	r := Row{Key: k, Since: e.since}
	for u := config.MostUrgent; u >= 0; u-- {
		n := 0
		for _, second := range e.refused {
			n += int(second[u])
		}
		if n > 0 {
			r.Refused = append(r.Refused, Count{Urgency: u, N: n})
		}
	}
	if now.Sub(e.waitAt) < waitMaxAge {
		r.Wait = e.wait
	}
	return r
}

// Scarce returns the number of entries of a resource.
func (t *Table) Scarce(r Resource) int {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	n := 0
	for k := range t.entries {
		if k.Resource == r {
			n++
		}
	}
	return n
}
