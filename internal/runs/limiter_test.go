package runs

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// simStep is the resolution of the simulated time.
const simStep = 5 * time.Millisecond

// runTime is how long a simulated run takes; one whose nested call is refused ends after
// refusalTime.
const (
	runTime     = 300 * time.Millisecond
	refusalTime = 10 * time.Millisecond
)

// simRoute is the load of one route in a simulation.
type simRoute struct {
	name    string
	urgency config.Urgency
	// perSecond is the rate of new runs at a time since the start.
	perSecond func(time.Duration) float64
	// served returns whether the nested calls of a run that starts now are served.
	served func(at time.Duration) bool
}

// simTotals are the results for a route in one second.
type simTotals struct{ arrived, admitted, starved, completed int }

// simRun is a run in progress.
type simRun struct {
	began, ends time.Time
	route       int
	starved     bool
}

type simRuns []simRun

func (r simRuns) Len() int           { return len(r) }
func (r simRuns) Less(i, j int) bool { return r[i].ends.Before(r[j].ends) }
func (r simRuns) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *simRuns) Push(x any)        { *r = append(*r, x.(simRun)) }
func (r *simRuns) Pop() any {
	old := *r
	last := old[len(old)-1]
	*r = old[:len(old)-1]
	return last
}

// simUpstream is an upstream with its Limiter.
type simUpstream struct {
	limiter *Limiter
	changes []Change
	running simRuns
}

// simulate runs routes at one upstream for some seconds and returns the totals of each route
// by second, and the Limiter's changes.
func simulate(seed uint64, seconds int, routes ...simRoute) ([][]simTotals, []Change) {
	totals, upstreams := simulateUpstreams(1, seed, seconds, routes...)
	return totals, upstreams[0].changes
}

// simulateUpstreams does the same at n upstreams, each with the full rate of every route.
func simulateUpstreams(n int, seed uint64, seconds int, routes ...simRoute) ([][]simTotals, []*simUpstream) {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	now := start
	upstreams := make([]*simUpstream, n)
	for i := range upstreams {
		u := &simUpstream{}
		u.limiter = New(func() time.Time { return now }, func(c Change) { u.changes = append(u.changes, c) })
		upstreams[i] = u
	}
	totals := make([][]simTotals, len(routes))
	for i := range totals {
		totals[i] = make([]simTotals, seconds)
	}
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += simStep {
		now = start.Add(at)
		second := int(at / time.Second)
		for _, u := range upstreams {
			for len(u.running) > 0 && !u.running[0].ends.After(now) {
				u.end(routes, totals, second)
			}
			for i, r := range routes {
				if rng.Float64() < r.perSecond(at)*simStep.Seconds() {
					u.arrive(rng, at, now, i, r, &totals[i][second])
				}
			}
		}
	}
	return totals, upstreams
}

// end ends the next run.
func (u *simUpstream) end(routes []simRoute, totals [][]simTotals, second int) {
	r := heap.Pop(&u.running).(simRun)
	u.limiter.Ended(routes[r.route].name, r.began, r.starved)
	if r.starved {
		totals[r.route][second].starved++
	} else {
		totals[r.route][second].completed++
	}
}

// arrive handles a new run.
func (u *simUpstream) arrive(rng *rand.Rand, at time.Duration, now time.Time, i int, r simRoute, t *simTotals) {
	t.arrived++
	if _, ok := u.limiter.Admit(r.name, r.urgency, rng.Float64()); !ok {
		return
	}
	t.admitted++
	run := simRun{began: now, ends: now.Add(runTime), route: i}
	if !r.served(at) {
		run.starved, run.ends = true, now.Add(refusalTime)
	}
	heap.Push(&u.running, run)
}

// constant returns an unchanging rate.
func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// sum adds up the totals of the seconds from the given one on.
func sum(totals []simTotals, from int) simTotals {
	var s simTotals
	for _, t := range totals[from:] {
		s.arrived += t.arrived
		s.admitted += t.admitted
		s.starved += t.starved
		s.completed += t.completed
	}
	return s
}

// capacity is a service below that serves so many nested calls per second, with a short
// queue.
type capacity struct {
	perSecond float64
	free      float64
	at        time.Duration
}

// take reports whether one more nested call is served.
func (c *capacity) take(at time.Duration) bool {
	c.free = min(c.free+c.perSecond*(at-c.at).Seconds(), max(2, c.perSecond*0.1))
	c.at = at
	if c.free < 1 {
		return false
	}
	c.free--
	return true
}

// takeAll reports whether a run's nested calls are all served. A call that is served beside
// one that is refused has used its capacity.
func (c *capacity) takeAll(at time.Duration, calls int) bool {
	served := true
	for range calls {
		served = c.take(at) && served
	}
	return served
}

// smallRate and largeRate are the runs per second of an upstream with 6 slots and of one with
// 18 slots and short runs.
const (
	smallRate = 20
	largeRate = 150
)

// TestFewStarvedRunsDoNotThrottle lets every 25th run starve, each at a random time: within
// what callers' retries make good. The failure: a limiter that follows single runs refuses
// calls of an upstream that serves nearly all of them.
func TestFewStarvedRunsDoNotThrottle(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 2))
		totals, _ := simulate(seed, 60, simRoute{name: "r", urgency: config.Normal, perSecond: constant(smallRate), served: func(time.Duration) bool { return rng.Float64() >= 0.04 }})
		s := sum(totals[0], 0)
		t.Logf("seed %d: %+v", seed, s)
		if float64(s.admitted) < 0.95*float64(s.arrived) {
			t.Errorf("seed %d: %d of %d runs admitted", seed, s.admitted, s.arrived)
		}
	}
}

// TestTwoStarvedRunsAdmitEverything lets two runs in succession starve. They are an accident
// at any rate of runs.
func TestTwoStarvedRunsAdmitEverything(t *testing.T) {
	n := 0
	totals, changes := simulate(1, 10, simRoute{name: "r", urgency: config.Normal, perSecond: constant(smallRate), served: func(at time.Duration) bool {
		n++
		return n != 50 && n != 51
	}})
	s := sum(totals[0], 0)
	if s.admitted != s.arrived || len(changes) > 0 {
		t.Errorf("%+v, changes %+v", s, changes)
	}
}

// TestServiceBelowShortByHalf has ten upstreams whose runs make two nested calls each, with
// capacity for half of these. Callers need as many complete runs as the nested capacity
// allows, and few wasted ones; without a limit, a quarter of the runs complete.
func TestServiceBelowShortByHalf(t *testing.T) {
	const upstreams, from, seconds = 10, 5, 40
	for _, rate := range []float64{smallRate, largeRate} {
		for seed := range uint64(5) {
			below := capacity{perSecond: upstreams * rate}
			totals, _ := simulateUpstreams(upstreams, seed, seconds, simRoute{name: "r", urgency: config.Normal, perSecond: constant(rate), served: func(at time.Duration) bool { return below.takeAll(at, 2) }})
			s := sum(totals[0], from)
			possible := (seconds - from) * upstreams * rate / 2
			t.Logf("%.0f/s, seed %d: %+v of %.0f possible", rate, seed, s, possible)
			if float64(s.completed) < 0.8*possible {
				t.Errorf("%.0f/s, seed %d: %d runs completed of %.0f possible", rate, seed, s.completed, possible)
			}
			if float64(s.starved) > 0.2*float64(s.admitted) {
				t.Errorf("%.0f/s, seed %d: %d of %d runs starved", rate, seed, s.starved, s.admitted)
			}
		}
	}
}

// TestServiceBelowUnreachable cuts the service below off for 5 s. Within two seconds the runs
// that are sure to fail must have stopped but for the probes, and ten seconds after the cut
// all runs must be admitted.
func TestServiceBelowUnreachable(t *testing.T) {
	const from, until = 3 * time.Second, 8 * time.Second
	for _, rate := range []float64{smallRate, largeRate} {
		for seed := range uint64(5) {
			totals, changes := simulate(seed, 25, simRoute{name: "r", urgency: config.Normal, perSecond: constant(rate), served: func(at time.Duration) bool { return at < from || at >= until }})
			cut, after := sum(totals[0][5:8], 0), sum(totals[0], 18)
			t.Logf("%.0f/s, seed %d: cut %+v, after %+v", rate, seed, cut, after)
			if float64(cut.admitted) > 0.15*float64(cut.arrived) || cut.admitted == 0 {
				t.Errorf("%.0f/s, seed %d: %d of %d runs admitted during the cut", rate, seed, cut.admitted, cut.arrived)
			}
			if after.admitted != after.arrived {
				t.Errorf("%.0f/s, seed %d: %d of %d runs admitted ten seconds after the cut", rate, seed, after.admitted, after.arrived)
			}
			if last := changes[len(changes)-1]; last.Part != 1 {
				t.Errorf("%.0f/s, seed %d: last change %+v", rate, seed, last)
			}
		}
	}
}

// TestMoreUrgentRunsAreAdmittedFirst has two urgencies on one route, each half of the runs,
// and nested capacity for 0.6 of them: the more urgent runs must be admitted, the others
// share the rest.
func TestMoreUrgentRunsAreAdmittedFirst(t *testing.T) {
	for seed := range uint64(5) {
		below := capacity{perSecond: 0.6 * largeRate}
		served := func(at time.Duration) bool { return below.take(at) }
		totals, _ := simulate(seed, 40,
			simRoute{name: "r", urgency: config.Critical, perSecond: constant(largeRate / 2), served: served},
			simRoute{name: "r", urgency: config.Normal, perSecond: constant(largeRate / 2), served: served})
		urgent, other := sum(totals[0], 5), sum(totals[1], 5)
		t.Logf("seed %d: urgent %+v, other %+v", seed, urgent, other)
		if float64(urgent.admitted) < 0.95*float64(urgent.arrived) {
			t.Errorf("seed %d: %d of %d urgent runs admitted", seed, urgent.admitted, urgent.arrived)
		}
		if float64(other.admitted) > 0.4*float64(other.arrived) {
			t.Errorf("seed %d: %d of %d less urgent runs admitted", seed, other.admitted, other.arrived)
		}
	}
}

// TestOtherRoutesAreNotLimited starves one route of an upstream. The runs of another route,
// whose nested calls go elsewhere, must all be admitted.
func TestOtherRoutesAreNotLimited(t *testing.T) {
	totals, _ := simulate(1, 20,
		simRoute{name: "starved", urgency: config.Normal, perSecond: constant(smallRate), served: func(time.Duration) bool { return false }},
		simRoute{name: "served", urgency: config.Background, perSecond: constant(smallRate), served: func(time.Duration) bool { return true }})
	starved, served := sum(totals[0], 2), sum(totals[1], 0)
	if served.admitted != served.arrived {
		t.Errorf("%d of %d runs of the other route admitted", served.admitted, served.arrived)
	}
	if float64(starved.admitted) > 0.15*float64(starved.arrived) {
		t.Errorf("%d of %d starved runs admitted", starved.admitted, starved.arrived)
	}
}

// TestLimitEndsWithAPeakOfArrivals triples the arrivals for 5 s, with nested capacity for 1.2
// times the usual ones. Two seconds after the peak all runs must be admitted, although the
// limit by itself rises by a tenth a second only.
func TestLimitEndsWithAPeakOfArrivals(t *testing.T) {
	const from, until = 3 * time.Second, 8 * time.Second
	for seed := range uint64(5) {
		below := capacity{perSecond: 1.2 * largeRate}
		arrivals := func(at time.Duration) float64 {
			if at >= from && at < until {
				return largeRate
			}
			return largeRate / 3.0
		}
		below.perSecond = 1.2 * largeRate / 3
		totals, _ := simulate(seed, 20, simRoute{name: "r", urgency: config.Normal, perSecond: arrivals, served: func(at time.Duration) bool { return below.take(at) }})
		peak, after := sum(totals[0][5:8], 0), sum(totals[0], 10)
		t.Logf("seed %d: peak %+v, after %+v", seed, peak, after)
		if float64(after.admitted) < 0.98*float64(after.arrived) {
			t.Errorf("seed %d: %d of %d runs admitted after the peak", seed, after.admitted, after.arrived)
		}
	}
}

// TestRetryAfterIsBounded checks that a refused run gets a retry-after that callers can use,
// later for runs that are admitted later.
func TestRetryAfterIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := New(func() time.Time { return now }, nil)
	for range 20 {
		l.Ended("r", now, true)
		l.Admit("r", config.Normal, 0)
	}
	now = now.Add(windowLength)
	first, ok := l.Admit("r", config.Normal, 0.2)
	is.True(!ok)
	last, ok := l.Admit("r", config.Normal, 0.9)
	is.True(!ok)
	is.True(first >= outcome.MinRetryAfter && first < last && last <= outcome.MaxRetryAfter)
	_, ok = l.Admit("r", config.Normal, 0.01)
	is.True(ok) // the probes
	is.Equal(l.Lowest(), minPart)
}

// TestRoutesAreBounded starves more routes than are tracked, and then lets them idle: their
// state must not accumulate.
func TestRoutesAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := New(func() time.Time { return now }, nil)
	for i := range 3 * maxRoutes {
		l.Ended(string(rune('a'+i)), now, true)
	}
	is.Equal(len(l.routes), maxRoutes)
	now = now.Add(time.Hour)
	is.Equal(l.Lowest(), 1.0)
	is.Equal(len(l.routes), 0)
	is.True(!l.Active())
}

// TestNoLimitWithoutMeasuredArrivals ends starved runs of a burst that arrived before their
// route was tracked. The failure: without any measured arrival the admitted rate became zero,
// and 0.9 of the next burst was refused although its nested calls could be served.
func TestNoLimitWithoutMeasuredArrivals(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	changes := 0
	l := New(func() time.Time { return at }, func(Change) { changes++ })
	for range 20 {
		l.Ended("r", at, true)
	}
	at = at.Add(windowLength)
	l.Lowest()
	is.Equal(changes, 0)
	for range 3 {
		at = at.Add(windowLength)
		for i := range 20 {
			_, ok := l.Admit("r", config.Normal, float64(i)/20)
			is.True(ok)
		}
	}
}
