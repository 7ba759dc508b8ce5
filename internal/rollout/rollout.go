// Package rollout decides how a service's calls move to a new version of its upstreams:
// what part of them the new version may get, when all of them move, and when it is
// reverted because it serves them worse than the others do. It carries nothing, and the
// time is handed in.
package rollout

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Order is an operator's wish to move a service to a version.
type Order struct {
	// ID grows with each order: the newest of a service counts.
	ID      uint64 `json:"id"`
	Service string `json:"service"`
	Target  string `json:"target"`
	// Duration is how long the roll-out may take.
	Duration time.Duration `json:"duration"`
}

// maxName bounds the names in an order, in bytes.
const maxName = 255

// Check says why an order cannot be followed.
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

// Phase is how far a roll-out has come. It only grows within an order.
type Phase int

// The phases.
const (
	// Trying: a few upstreams of the new version get a small part of the calls.
	Trying Phase = iota + 1
	// Moving: the new version gets all calls, the others end those that they run.
	Moving
	// Completed: the others may stop at once. Final.
	Completed
	// Reverted: the new version gets no calls. Final.
	Reverted
)

var phaseNames = map[Phase]string{Trying: "trying", Moving: "moving", Completed: "completed", Reverted: "reverted"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Final reports whether nothing follows the phase.
func (p Phase) Final() bool { return p == Completed || p == Reverted }

// Record is what is agreed of a service's roll-out.
type Record struct {
	Order
	Phase Phase `json:"phase"`
	// Barred are the versions that were reverted and not ordered again since.
	Barred []string `json:"barred,omitempty"`
	// Began is when the order was first seen, in Unix milliseconds of the clock of the
	// daemon that saw it: only for those who learn of it from nobody else.
	Began int64 `json:"began"`
	// Why explains a final phase.
	Why string `json:"why,omitempty"`
}

// Check says why a record cannot be one.
func (r Record) Check() error {
	if phaseNames[r.Phase] == "" {
		return errors.Errorf("roll-out of %s: no phase %d", r.Service, r.Phase)
	}
	return r.Order.Check()
}

// Begin returns the record of an order that follows the service's last one, which may be
// the zero record.
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

// To returns the record in a later phase.
func (r Record) To(p Phase, why string) Record {
	r.Phase, r.Why = p, why
	if p == Reverted && !slices.Contains(r.Barred, r.Target) {
		r.Barred = append(slices.Clone(r.Barred), r.Target)
	}
	return r
}

// Follows reports whether r may come after o in the history of a service: it is of a
// later order, or of the same one in a later phase; nothing comes after a final one but
// a later order.
func (r Record) Follows(o Record) bool {
	if r.ID != o.ID {
		return r.ID > o.ID
	}
	return !o.Phase.Final() && r.Phase > o.Phase
}
