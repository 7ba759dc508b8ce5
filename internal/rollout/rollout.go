// Package rollout decides how a service's calls move to a new version of its upstreams:
// which share of them the new version gets, when all of them move, and when the version is
// reverted because it performs worse than the others. It does no I/O, and the time is passed
// in.
package rollout

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Order is an operator's request to move a service to a version.
type Order struct {
	// ID increases with each order. The newest order of a service is in effect.
	ID      uint64 `json:"id"`
	Service string `json:"service"`
	Target  string `json:"target"`
	// Duration is how long the rollout may take.
	Duration time.Duration `json:"duration"`
}

// maxName is the maximum length of the names in an order, in bytes.
const maxName = 255

// epochShift is the number of bits of an order's ID below the store's epoch.
const epochShift = 40

// OrderID returns the ID of an order that the store holds at an offset. Offsets are given out
// again when the store is restored, so that an order of a later epoch is the later one.
func OrderID(epoch, offset uint64) uint64 { return epoch<<epochShift | (offset + 1) }

// epoch returns the store's epoch in which the order was read.
func (o Order) epoch() uint64 { return o.ID >> epochShift }

// SameAsBefore reports whether o was read in a later epoch of the store than known and asks for
// the same: the store was restored, and the order is in its copy or was written again.
func (o Order) SameAsBefore(known Order) bool {
	return o.epoch() > known.epoch() && o.Service == known.Service && o.Target == known.Target && o.Duration == known.Duration
}

// CopyOf reports whether o is the order known, read in a later epoch at the same offset: it is
// in the copy from which the store was restored.
func (o Order) CopyOf(known Order) bool {
	const offset = 1<<epochShift - 1
	return o.SameAsBefore(known) && o.ID&offset == known.ID&offset
}

// Check returns an error if the order is invalid.
func (o Order) Check() error {
	switch {
	case o.Service == "" || len(o.Service) > maxName:
		return errors.New("an order without a service")
	case o.Target == "" || len(o.Target) > maxName:
		return errors.Errorf("roll-out of %s: no version", o.Service)
	case o.Duration <= 0:
		return errors.Errorf("roll-out of %s to %s: %v is no duration", o.Service, o.Target, o.Duration)
	}
	return nil
}

// Phase is the phase of a rollout. It only increases within an order.
type Phase int

// The phases.
const (
	// Trying: a few upstreams of the new version, the canaries, get a share of the calls.
	Trying Phase = iota + 1
	// Moving: the new version gets all calls; the others finish those that they run.
	Moving
	// Completed: upstreams of other versions may stop at any time. Final.
	Completed
	// Reverted: the new version gets no calls. Final.
	Reverted
)

var phaseNames = map[Phase]string{Trying: "trying", Moving: "moving", Completed: "completed", Reverted: "reverted"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Final reports whether nothing follows the phase.
func (p Phase) Final() bool { return p == Completed || p == Reverted }

// Record is the agreed state of a service's rollout, as the store holds it.
type Record struct {
	Order
	Phase Phase `json:"phase"`
	// Barred are the versions that were reverted, or given up before completion, and have
	// not been ordered again since. They get no calls.
	Barred []string `json:"barred,omitempty"`
	// Began is when the order was first seen, in Unix milliseconds by the clock of the
	// daemon that saw it. It is used only by daemons that read the record from the store
	// and have not received its age from another daemon.
	Began int64 `json:"began"`
	// Why is the reason for a final phase.
	Why string `json:"why,omitempty"`
}

// Check returns an error if the record is invalid.
func (r Record) Check() error {
	if phaseNames[r.Phase] == "" {
		return errors.Errorf("roll-out of %s: no phase %d", r.Service, r.Phase)
	}
	return r.Order.Check()
}

// Begin returns the first record of an order. last is the service's previous record, or the
// zero record.
func (o Order) Begin(last Record, began time.Time) Record {
	r := Record{Order: o, Phase: Trying, Began: began.UnixMilli()}
	barred := slices.Clone(last.Barred)
	if last.ID != 0 && last.Phase != Completed {
		barred = append(barred, last.Target)
	}
	for _, v := range barred {
		if v != o.Target && !slices.Contains(r.Barred, v) {
			r.Barred = append(r.Barred, v)
		}
	}
	return r
}

// WithPhase returns the record advanced to a later phase.
func (r Record) WithPhase(p Phase, why string) Record {
	r.Phase, r.Why = p, why
	if p == Reverted && !slices.Contains(r.Barred, r.Target) {
		r.Barred = append(slices.Clone(r.Barred), r.Target)
	}
	return r
}

// Follows reports whether r may succeed o in the history of a service: it belongs to a later
// order, or to the same order in a later phase. A final phase is succeeded only by a later
// order.
func (r Record) Follows(o Record) bool {
	if r.ID != o.ID {
		return r.ID > o.ID
	}
	return !o.Phase.Final() && r.Phase > o.Phase
}
