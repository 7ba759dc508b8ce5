package pick

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// objectiveTimeCost is the cost of an attempt that takes as long as the objective, on top
// of the cost of its chance to come late: of two upstreams that are both good enough, the
// faster one is picked, but not across failure domains.
const objectiveTimeCost = 0.05

// upstreamCost is the cost of picking an upstream, apart from the path to it, as a
// fraction of a call's worth. The time at the upstream costs almost nothing while it is
// far below the objective, half of the worth if the expected time equals the objective,
// and all of it far beyond. With a linear cost, calls would be sent across failure domains
// to save times that are small beside the objective.
func (p *Picker) upstreamCost(u *view.Upstream, c Criteria, means serviceMeans, now time.Time) float64 {
	expected := float64(c.TypicalLatency)*p.slowness(u, means, now) + float64(p.bodyWait(u, c, now)+p.answerWait(u, c, now))
	objectiveFraction := expected / float64(max(c.Objective, time.Millisecond))
	late := objectiveFraction * objectiveFraction * objectiveFraction
	st := p.stats[u.ID]
	cost := late/(1+late) + objectiveTimeCost*objectiveFraction + p.refusalCostOf(u, st, c, now)
	if st != nil {
		cost += errorCost * st.errorRate * st.errorRate
	}
	return cost
}

// bodyWait returns how long the body would wait for the network link of the upstream's
// VM.
func (p *Picker) bodyWait(u *view.Upstream, c Criteria, now time.Time) time.Duration {
	st := p.stats[u.ID]
	if c.Body < outcome.LongBody || u.Local || st == nil {
		return 0
	}
	return max(0, st.load.Intake-now.Sub(st.loadAt))
}

// answerWait returns how long the answer would wait for the network link of the upstream's
// VM.
func (p *Picker) answerWait(u *view.Upstream, c Criteria, now time.Time) time.Duration {
	st := p.stats[u.ID]
	if c.Answer < outcome.LongBody || u.Local || st == nil {
		return 0
	}
	return max(0, st.load.Egress-now.Sub(st.loadAt))
}

// serviceMeans holds means over the upstreams of a service with a recent load report.
type serviceMeans struct {
	// serviceTime is their mean service time; zero: there was no recent report.
	serviceTime time.Duration
	// busyFraction is the fraction of their slots that is busy.
	busyFraction float64
}

// meansMaxAge is how long the means over a service's upstreams are reused: they change
// little in that time, and reading the state of hundreds of upstreams for every call
// would cost more than all the rest of a pick.
const meansMaxAge = 100 * time.Millisecond

// cachedMeans are means with the time at which they were computed.
type cachedMeans struct {
	serviceMeans
	computedAt time.Time
}

// meansOf returns the means over a service's upstreams with recent load reports.
func (p *Picker) meansOf(s *view.Service, now time.Time) serviceMeans {
	cached, ok := p.means[s.Name]
	if !ok || now.Sub(cached.computedAt) >= meansMaxAge {
		cached = cachedMeans{serviceMeans: p.computeMeans(s, now), computedAt: now}
		p.means[s.Name] = cached
	}
	return cached.serviceMeans
}

func (p *Picker) computeMeans(s *view.Service, now time.Time) serviceMeans {
	var serviceTime time.Duration
	var busyFraction float64
	withServiceTime, withLoad := 0, 0
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		st := p.stats[u.ID]
		if st == nil {
			continue
		}
		if now.Sub(st.loadAt) < serviceTimeMaxAge {
			serviceTime += reportedServiceTime(st, now)
			withServiceTime++
		}
		if now.Sub(st.loadAt) < loadMaxAge {
			busyFraction += p.busyFraction(u, st, now)
			withLoad++
		}
	}
	means := serviceMeans{serviceTime: serviceTime / time.Duration(max(1, withServiceTime)), busyFraction: usualBusyFraction}
	if withLoad > 0 {
		means.busyFraction = busyFraction / float64(withLoad)
	}
	return means
}

// busyFraction returns the fraction of an upstream's slots that is busy, as far as this
// daemon knows.
func (p *Picker) busyFraction(u *view.Upstream, st *stats, now time.Time) float64 {
	slots := u.Slots
	if st.load.Slots > 0 && now.Sub(st.loadAt) < loadMaxAge {
		slots = min(slots, st.load.Slots)
	}
	return float64(p.busy(st, now)) / float64(max(1, slots))
}

// usualBusyFraction is the fraction of an upstream's slots that is busy under ordinary
// load: the usual duration of a route's calls includes the wait at that load.
const usualBusyFraction = 0.5

// slowness returns how long an attempt would take at the upstream, as a multiple of the
// usual duration, given the upstream's speed and load. An upstream without a recent load
// report counts as at least as busy as the mean of the others: in a fleet of hundreds, a
// daemon gets a report from each upstream only every few seconds, and would otherwise
// send its calls to the upstreams without a report, across failure domains.
func (p *Picker) slowness(u *view.Upstream, means serviceMeans, now time.Time) float64 {
	st := p.stats[u.ID]
	if st == nil {
		return (1 + means.busyFraction) / (1 + usualBusyFraction)
	}
	speed := 1.0
	if now.Sub(st.loadAt) < serviceTimeMaxAge && means.serviceTime > 0 {
		speed = float64(reportedServiceTime(st, now)) / float64(means.serviceTime)
	}
	busyFraction := p.busyFraction(u, st, now)
	if now.Sub(st.loadAt) >= loadMaxAge {
		busyFraction = max(busyFraction, means.busyFraction)
	}
	return speed * (1 + busyFraction + 1/float64(max(1, u.Slots))) / (1 + usualBusyFraction)
}
