package pick

import (
	"math"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

const (
	// refusalCost is the cost of a certain refusal as a fraction of a call's worth: a
	// slow answer is worth more than none. The cost of a likely refusal grows with the
	// square of its probability: where some calls are refused everywhere, that is no
	// reason to leave the failure domain.
	refusalCost = 1
	// ownerRefusalWeight is the weight of the newest attempt in an owner's refusal rate,
	// domainRefusalWeight in the rate of a service's owners in a failure domain, and
	// serviceRefusalWeight in the rate of all owners of the service.
	ownerRefusalWeight   = 0.3
	domainRefusalWeight  = 0.05
	serviceRefusalWeight = 0.02
	// refusalDecayTime is the time constant with which refusal rates decay. The rate of a
	// failure domain decays towards the rate of all owners of the service. The rate of an owner
	// decays towards the rate of its failure domain under contention, otherwise towards the rate
	// of all owners.
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

// decayed returns the rate for an urgency, decayed towards the rate in means.
func (r *refusalRates) decayed(means *refusalRates, urgency config.Urgency, now time.Time) float64 {
	mean := means.byUrgency[urgency]
	return mean + r.remainingWeight(now)*(r.byUrgency[urgency]-mean)
}

// decay decays all rates towards those in means.
func (r *refusalRates) decay(means *refusalRates, now time.Time) {
	for u := range r.byUrgency {
		r.byUrgency[u] = r.decayed(means, config.Urgency(u), now)
	}
}

// serviceRefusals holds the refusal rates of a service's owners.
type serviceRefusals struct {
	all      refusalRates
	byDomain map[string]*refusalRates
}

func (p *Picker) refusalsOf(service string) *serviceRefusals {
	s := p.refusals[service]
	if s == nil {
		s = &serviceRefusals{byDomain: map[string]*refusalRates{}}
		p.refusals[service] = s
	}
	return s
}

// domainRate returns the rate of a failure domain.
func (s *serviceRefusals) domainRate(domain string, urgency config.Urgency, now time.Time) float64 {
	r := s.byDomain[domain]
	if r == nil {
		return s.all.byUrgency[urgency]
	}
	return r.decayed(&s.all, urgency, now)
}

// recordRefusal records whether an attempt was refused, for its upstream, for its failure
// domain and for its service.
func (p *Picker) recordRefusal(u *view.Upstream, st *stats, urgency config.Urgency, r outcome.Result, now time.Time) {
	s := p.refusalsOf(u.Service)
	domain := s.byDomain[u.Domain]
	if domain == nil {
		domain = &refusalRates{}
		s.byDomain[u.Domain] = domain
	}
	domain.decay(&s.all, now)
	// The mean must be that of refusalRate: with a lower mean, a refusal could lower an owner's
	// rate.
	if p.contention {
		st.refusals.decay(domain, now)
	} else {
		st.refusals.decay(&s.all, now)
	}
	st.refusals.record(urgency, r, ownerRefusalWeight, now)
	domain.record(urgency, r, domainRefusalWeight, now)
	s.all.record(urgency, r, serviceRefusalWeight, now)
}

// refusalRate returns the estimated fraction of the calls of an urgency that an owner
// refuses. An owner without recent calls has the mean rate of its service, or under contention
// the mean rate of its failure domain. Otherwise a daemon in a fleet of hundreds would send its
// calls to the owners that it knows nothing about.
func (p *Picker) refusalRate(u *view.Upstream, st *stats, urgency config.Urgency, now time.Time) float64 {
	s := p.refusals[u.Service]
	if s == nil {
		return 0
	}
	mean := s.all.byUrgency[urgency]
	if p.contention {
		mean = s.domainRate(u.Domain, urgency, now)
	}
	if st == nil {
		return mean
	}
	return mean + st.refusals.remainingWeight(now)*(st.refusals.byUrgency[urgency]-mean)
}

// refusalCostOf is the cost of the chance of a refusal, as a fraction of a call's worth.
func (p *Picker) refusalCostOf(u *view.Upstream, st *stats, c Criteria, now time.Time) float64 {
	refused := p.refusalRate(u, st, c.Urgency, now)
	if p.contention {
		refused = afterRefusals(refused, c.refusalsIn(u.Domain))
	}
	return refusalCost * refused * refused
}

// afterRefusals returns the chance that an owner refuses a call which n other owners of its
// failure domain have refused: each refusal halves the chance that the owner accepts the call,
// since the owners of a domain share its demand.
func afterRefusals(refused float64, n int) float64 {
	return 1 - math.Ldexp(1-refused, -n)
}

// refusalsIn returns how many owners of a failure domain have refused the call.
func (c Criteria) refusalsIn(domain string) int {
	n := 0
	for _, d := range c.RefusedIn {
		if d == domain {
			n++
		}
	}
	return n
}
