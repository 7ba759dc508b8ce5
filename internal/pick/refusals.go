package pick

import (
	"math"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

const (
	// refusalCost is the cost of a certain refusal as a fraction of a call's worth: a
	// slow answer is worth more than none. The cost of a likely refusal grows with the
	// square of its probability: where some calls are refused everywhere, that is no
	// reason to leave the failure domain.
	refusalCost = 1
	// ownerRefusalWeight is the weight of the newest attempt in an owner's refusal rate,
	// serviceRefusalWeight in that of all owners of a service.
	ownerRefusalWeight   = 0.3
	serviceRefusalWeight = 0.02
	// refusalDecayTime is the time constant with which an owner's refusal rate decays
	// towards the rate of all owners of its service.
	refusalDecayTime = 2 * time.Second
)

// refusalRates is the fraction of the recent calls that owners refused for lack of
// capacity, by urgency.
type refusalRates struct {
	byUrgency [config.MostUrgent + 1]float64
	updatedAt time.Time
}

// record records whether a call of this urgency was refused for lack of capacity. If it
// was, less urgent ones would have been refused too; if it was not, neither would more
// urgent ones have been.
func (r *refusalRates) record(urgency config.Urgency, res outcome.Result, weight float64, now time.Time) {
	r.updatedAt = now
	switch {
	case res.RefusedAsSuspect():
	case res.RefusedForCapacity() || res.Reason == outcome.ReasonNestedOverload:
		// An owner that refuses runs because their nested calls are refused has free slots,
		// and would get most calls otherwise.
		for u := range urgency + 1 {
			r.byUrgency[u] += weight * (1 - r.byUrgency[u])
		}
	case res.Reached():
		for u := urgency; u <= config.MostUrgent; u++ {
			r.byUrgency[u] -= weight * r.byUrgency[u]
		}
	}
}

// remainingWeight is the weight that the rates still have after their decay; zero if none
// were recorded yet.
func (r *refusalRates) remainingWeight(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return math.Exp(-float64(now.Sub(r.updatedAt)) / float64(refusalDecayTime))
}

// recordRefusal records whether an attempt was refused, for its upstream and for its
// service.
func (p *Picker) recordRefusal(service string, st *stats, urgency config.Urgency, r outcome.Result, now time.Time) {
	all := p.refusals[service]
	if all == nil {
		all = &refusalRates{}
		p.refusals[service] = all
	}
	weight := st.refusals.remainingWeight(now)
	for u, refused := range st.refusals.byUrgency {
		st.refusals.byUrgency[u] = all.byUrgency[u] + weight*(refused-all.byUrgency[u])
	}
	st.refusals.record(urgency, r, ownerRefusalWeight, now)
	all.record(urgency, r, serviceRefusalWeight, now)
}

// refusalRate returns the estimated fraction of the calls of an urgency that an owner
// refuses. An owner without recent calls counts like the mean of its service; otherwise a
// daemon in a fleet of hundreds would send its calls to the owners that it knows nothing
// about.
func (p *Picker) refusalRate(service string, st *stats, urgency config.Urgency, now time.Time) float64 {
	all := p.refusals[service]
	switch {
	case all == nil:
		return 0
	case st == nil:
		return all.byUrgency[urgency]
	}
	weight := st.refusals.remainingWeight(now)
	return all.byUrgency[urgency] + weight*(st.refusals.byUrgency[urgency]-all.byUrgency[urgency])
}

// refusalCostOf is the cost of the chance of a refusal, as a fraction of a call's worth.
func (p *Picker) refusalCostOf(service string, st *stats, urgency config.Urgency, now time.Time) float64 {
	refused := p.refusalRate(service, st, urgency, now)
	return refusalCost * refused * refused
}
