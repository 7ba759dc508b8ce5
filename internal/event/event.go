// Package event keeps the recent events of a daemon, stamped so that the time
// lines of all daemons merge with every cause before its effects.
package event

import (
	"sync"
	"time"
)

// Clock is a hybrid logical clock: microseconds of wall time, pushed ahead of
// every stamp seen from another process. Source: Kulkarni et al., "Logical
// Physical Clocks", 2014. Safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last int64
	now  func() time.Time
}

// NewClock returns a clock over this wall clock.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a stamp above every stamp returned or observed before.
func (c *Clock) Now() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, c.now().UnixMicro())
	return c.last
}

// Observe takes note of a stamp from another process.
func (c *Clock) Observe(stamp int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, stamp)
}

// Kind says what happened.
type Kind string

// The kinds of event.
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
	UpstreamGone     Kind = "upstream-gone"
	MemberUp         Kind = "member-up"
	MemberLapsed     Kind = "member-lapsed"
	CallRefused      Kind = "call-refused"
	CallRetried      Kind = "call-retried"
	CallUnknown      Kind = "call-unknown"
	CallVoided       Kind = "call-voided"
	LogDown          Kind = "log-down"
	LogUp            Kind = "log-up"
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

// Event is one thing that happened on one daemon.
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

// Ring keeps the last events of one daemon. Safe for concurrent use.
type Ring struct {
	clock *Clock
	vm    string

	mu     sync.Mutex
	events []Event
	next   int
}

// NewRing returns a ring that keeps size events of that VM's daemon.
func NewRing(vm string, clock *Clock, size int) *Ring {
	return &Ring{clock: clock, vm: vm, events: make([]Event, 0, size)}
}

// Clock returns the clock that stamps the ring's events.
func (r *Ring) Clock() *Clock { return r.clock }

// Add stamps and keeps an event, forgetting the oldest if the ring is full.
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

// List returns the events kept, oldest first.
func (r *Ring) List() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Event, 0, len(r.events))
	out = append(out, r.events[r.next:]...)
	return append(out, r.events[:r.next]...)
}
