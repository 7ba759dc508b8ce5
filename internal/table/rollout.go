package table

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// Rollout is this daemon's state of a service's rollout.
type Rollout struct {
	rollout.Record
	// Since is when the order was given and PhaseSince when the current phase began, by
	// this daemon's clock.
	Since      time.Time
	PhaseSince time.Time
	// StopReason is the reason why this daemon sends the new version no more calls although
	// the store does not record yet that the rollout is reverted; else "".
	StopReason string
	// Stored is set if the store holds the record, Published if the store also holds the
	// phase where operators read it.
	Stored    bool
	Published bool
	// Evidence counts the calls that this daemon sees. It is shared with the call path.
	Evidence *rollout.Evidence
	// Domains holds the counts of each failure domain. Only roots have them.
	Domains map[string]wire.Tally
	// Settled is set some time after the rollout was completed: from then on upstreams of
	// other versions get calls again like those of this one.
	Settled bool
	// Due is when it is this daemon's turn to write to the store, or zero if there is
	// nothing to write.
	Due time.Time
	// Unsent is set if a change has not been sent to other daemons yet; From is the
	// connection on which the change arrived, zero if it was made here.
	From   LinkID
	Unsent bool
}

// Live reports whether the rollout is still in progress.
func (r *Rollout) Live() bool { return !r.Phase.Final() }

// Tally returns the sum of the counts of all failure domains.
func (r *Rollout) Tally() rollout.Tally {
	sum := rollout.Tally{}
	for _, t := range r.Domains {
		sum.Add(t.Rows)
	}
	return sum
}

// Plan returns the plan of a rollout with the given duration.
func (w *World) Plan(d time.Duration) rollout.Plan {
	return rollout.Plan{Duration: d, Exposure: w.Params.Exposure, Settle: w.Params.InForce}
}

// UpstreamsOf returns the IDs of a service's upstreams of the version that accept calls, and
// the number of those of other versions.
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
