package callpath

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/runs"
)

// admitRun decides whether an attempt may start a run: while nested calls of the route's runs
// are refused, only a fraction may. False: it is refused with the returned result.
func (o *Owner) admitRun(loc *localUpstream, a *Attempt) (outcome.Result, bool) {
	if a.Nested || !o.view.Load().Controls(config.RunLimits) || !loc.runs.Active() {
		return outcome.Result{}, true
	}
	route, ok := o.routeOf(a)
	if !ok {
		return outcome.Result{}, true
	}
	after, ok := loc.runs.Admit(route, a.Urgency, o.cfg.Dialect.waitFraction(a.Request))
	if ok {
		return outcome.Result{}, true
	}
	o.cfg.Metrics.RefusedRuns.Inc(1)
	return o.withLoad(outcome.Refuse(outcome.ReasonNestedOverload, after), loc), false
}

// recordRun records whether a run starved. Nested runs do not count, since they are never
// refused for it.
func (o *Owner) recordRun(loc *localUpstream, a *Attempt, p *parentRequest, began time.Time, r outcome.Result) {
	if a.Nested || r.Outcome == outcome.NotRun || !o.view.Load().Controls(config.RunLimits) {
		return
	}
	starved := p.starved.Load()
	if starved {
		o.cfg.Metrics.StarvedRuns.Inc(1)
	}
	if !starved && !loc.runs.Active() {
		return
	}
	if route, ok := o.routeOf(a); ok {
		loc.runs.Ended(route, began, starved)
	}
}

// routeOf returns the route that matches an attempt in this daemon's view. Matching takes
// processor time and is only done while runs starve.
func (o *Owner) routeOf(a *Attempt) (string, bool) {
	route, ok := o.view.Load().Match(a.Host, a.URL.Path)
	if !ok {
		return "", false
	}
	return route.Name, true
}

// lowestRunsPart returns the lowest admitted fraction of new runs over all routes of the
// upstreams of this VM. It is 1 where load control is not in force.
func (o *Owner) lowestRunsPart() float64 {
	if !o.view.Load().Controls(config.RunLimits) {
		return 1
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	lowest := 1.0
	for _, loc := range o.upstreams {
		lowest = min(lowest, loc.runs.Lowest())
	}
	return lowest
}

// logRunsLimit logs that the runs of a route are limited from now on, or no longer.
func (o *Owner) logRunsLimit(upstream string, c runs.Change) {
	msg := "new runs of the route are limited: nested calls of its runs are refused"
	if c.Part == 1 {
		msg = "new runs of the route are no longer limited"
	}
	o.cfg.Logger.Info().Str("step", "limit-runs").Str("peer", upstream).Str("route", c.Route).
		Float64("part", c.Part).Float64("starved", c.Starved).Float64("ended", c.Ended).
		Msg(msg)
}
