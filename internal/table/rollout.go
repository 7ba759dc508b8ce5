package table

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// Rollout is what this daemon knows of a service's roll-out.
type Rollout struct {
	rollout.Record
	// Since is when the order was given, PhaseSince when the phase began, by this
	// daemon's clock.
	Since      time.Time
	PhaseSince time.Time
	// Stop says why the new version gets no calls any more, before that is agreed.
	Stop string
	// Held says that the store holds the record, Told that operators can read its phase
	// there.
	Held bool
	Told bool
	// Evidence is what this daemon sees. It is shared with the call path.
	Evidence *rollout.Evidence
	// Domains holds what was seen in each failure domain. Only roots know.
	Domains map[string]wire.Tally
	// Settled is set some time after the roll-out was completed: other versions are then
	// like this one again.
	Settled bool
	// Due is when it is this daemon's turn to write to the store, or zero: nothing is
	// to be written.
	Due time.Time
	// From is the connection on which news of it came that were not passed on yet, News
	// that there are any.
	From LinkID
	News bool
}

// Live reports whether the roll-out goes on.
func (r *Rollout) Live() bool { return !r.Phase.Final() }

// Tally returns what all failure domains have seen.
func (r *Rollout) Tally() rollout.Tally {
	sum := rollout.Tally{}
	for _, t := range r.Domains {
		sum.Add(t.Rows)
	}
	return sum
}

// Plan returns the plan of a roll-out of that duration.
func (w *World) Plan(d time.Duration) rollout.Plan {
	return rollout.Plan{Duration: d, Exposure: w.Params.Exposure, Settle: w.Params.InForce}
}

// UpstreamsOf returns the IDs of a service's upstreams that take calls: those of the
// version and how many there are of others.
func (w *World) UpstreamsOf(service, version string) (ids []string, others int) {
	w.EachLive(func(m wire.Member) {
		for _, u := range m.Upstreams {
			switch {
			case m.Leaving || u.Service != service || u.Draining:
			case u.Version == version:
				ids = append(ids, u.ID)
			default:
				others++
			}
		}
	})
	return ids, others
}
