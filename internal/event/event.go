// Package event keeps the recent events of a daemon. Their timestamps come from a hybrid
// logical clock, so that the events of all daemons can be merged into one timeline in which
// every cause precedes its effects.
package event

import (
	"sync"
	"time"
)

// Clock is a hybrid logical clock: microseconds of wall time, advanced past every timestamp
// observed from another process. See Kulkarni et al., "Logical Physical Clocks", 2014. Safe
// for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last int64
	now  func() time.Time
}

// NewClock returns a clock that reads wall time from now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a timestamp greater than every timestamp returned or observed before.
func (c *Clock) Now() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, c.now().UnixMicro())
	return c.last
}

// Observe advances the clock to a timestamp from another process, if that is later.
func (c *Clock) Observe(timestamp int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, timestamp)
}

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	CommandAppended  Kind = "command-appended"
	CommandAccepted  Kind = "command-accepted"
	CommandRejected  Kind = "command-rejected"
	Applied          Kind = "applied"
	DocumentRead     Kind = "document-read"
	DocumentRefused  Kind = "document-refused"
	ParentChanged    Kind = "parent-changed"
	LinkLost         Kind = "link-lost"
	UpstreamUp       Kind = "upstream-announced"
	UpstreamRamped   Kind = "upstream-ramped"
	UpstreamDraining Kind = "upstream-draining"
	UpstreamRemoved  Kind = "upstream-gone"
	AnnouncedLate    Kind = "announced-late"
	UpstreamPending  Kind = "upstream-pending"
	NewIncarnation   Kind = "incarnation-raised"
	MemberUp         Kind = "member-up"
	MemberLapsed     Kind = "member-lapsed"
	CallRefused      Kind = "call-refused"
	CallRetried      Kind = "call-retried"
	CallUnknown      Kind = "call-unknown"
	CallVoided       Kind = "call-voided"
	LogDown          Kind = "log-down"
	LogUp            Kind = "log-up"
	StoreRestored    Kind = "store-restored"
	Checkpointed     Kind = "checkpoint-appended"
	RootChanged      Kind = "root-changed"
	Alarm            Kind = "alarm"
	DeltaRefused     Kind = "delta-refused"
	Suspected        Kind = "suspected"
	Quarantined      Kind = "quarantined"
	Cleared          Kind = "cleared"
	Rollout          Kind = "rollout"
	RolloutStopped   Kind = "rollout-stopped"
	RolloutRefused   Kind = "rollout-refused"
	ConfigStale      Kind = "config-stale"
	ConfigFresh      Kind = "config-fresh"
	Started          Kind = "started"
	Draining         Kind = "draining"
)

// Event is one recorded occurrence on one daemon.
type Event struct {
	Clock   int64  `json:"clock"`
	VM      string `json:"vm"`
	Kind    Kind   `json:"kind"`
	Version uint64 `json:"version,omitempty"`
	Peer    string `json:"peer,omitempty"`
	Service string `json:"service,omitempty"`
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Ring keeps the most recent events of one daemon. Safe for concurrent use.
type Ring struct {
	clock *Clock
	vm    string

	mu     sync.Mutex
	events []Event
	// next is the index of the oldest event once the ring is full: the next one overwrites it.
	next int
}

// NewRing returns a ring that keeps the last size events of the daemon on VM vm.
func NewRing(vm string, clock *Clock, size int) *Ring {
	return &Ring{clock: clock, vm: vm, events: make([]Event, 0, size)}
}

// Clock returns the clock that timestamps the ring's events.
func (r *Ring) Clock() *Clock { return r.clock }

// Add timestamps an event and stores it. If the ring is full, the oldest event is dropped.
func (r *Ring) Add(e Event) {
	e.Clock = r.clock.Now()
	e.VM = r.vm
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// List returns the stored events, oldest first.
func (r *Ring) List() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Event, 0, len(r.events))
	out = append(out, r.events[r.next:]...)
	return append(out, r.events[:r.next]...)
}
