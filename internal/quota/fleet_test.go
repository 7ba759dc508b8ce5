package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fleet simulates daemons that apply limits, and their coordinators, in virtual time.
type fleet struct {
	rng        *rand.Rand
	now        time.Duration
	events     eventQueue
	seq        int
	daemons    []*daemon
	domains    []*domain
	limits     map[string]Limit
	workspaces []*workspace
	// partitioned holds the failure domains that are partitioned from all others.
	partitioned map[int]bool
	// callersReturn is set if callers send a refused call once more; firstTimeFirst if first-time
	// calls take precedence.
	callersReturn, firstTimeFirst bool
}

// call is a call of a workspace, which its caller may send twice.
type call struct {
	workspace *workspace
	deadline  time.Duration
	// returning is set once the call was refused and sent again.
	returning bool
	// inReference is set if the reference bucket admitted the call.
	inReference bool
}

type daemon struct {
	limiter     *LocalLimiter
	domain      *domain
	coordinator *Coordinator
	// requestInterval is the interval at which the coordinator requests leases.
	requestInterval time.Duration
	down            bool
	// oldBuild is set if the daemon, and its coordinator, do not know of returning calls.
	oldBuild bool
	// waiting are the calls that wait for a grant; reporting is set while a report is in
	// flight.
	waiting   []*call
	reporting bool
}

type domain struct {
	index   int
	daemons []*daemon
	// coordinator is the daemon that all daemons of the domain treat as the limit
	// coordinator.
	coordinator *daemon
}

// workspace is a workspace and the outcome of its calls.
type workspace struct {
	name string
	// usualRate is how many calls per second it usually sends; rateFactor is the multiple
	// of it that it sends now.
	usualRate, rateFactor float64
	// homeDomain is the domain at which all its calls arrive, or -1; with singleDaemon
	// they all arrive at one daemon.
	homeDomain   int
	singleDaemon bool
	// admitted are the times of the admitted calls, offered those of all calls.
	admitted, offered []time.Duration
	// limitFrom is when the workspace's limit was last changed.
	limitFrom time.Duration
	reference referenceBucket
	tally     tally
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{f.now + d, f.seq, run})
}

// Parameters of the simulated fleets.
const (
	fleetWorkspaces = 75
	// fleetSkew is the exponent of the Zipf distribution of the workspaces' usual rates.
	fleetSkew = 1.2
	// fleetLimitFactor is a workspace's limit, as a multiple of its usual rate.
	fleetLimitFactor = 1.6
	// callsPerDaemon is how many calls per second arrive at a daemon.
	callsPerDaemon = 28.0
	// firstCallAt is when calls begin to arrive, some time after the daemons start.
	firstCallAt = 4 * time.Second
)

// fleetTolerance is by how much limits may be exceeded.
var fleetTolerance = Tolerance{Window: 5 * time.Second, Fraction: 0.1, Calls: 20}

func newFleet(n, domains int, seed uint64) *fleet {
	return newFleetWithLoad(n, domains, callsPerDaemon*float64(n), seed)
}

// newFleetWithLoad returns a fleet at which the given number of calls per second arrive.
func newFleetWithLoad(n, domains int, callsPerSecond float64, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Second, limits: map[string]Limit{}, partitioned: map[int]bool{}}
	for i := range domains {
		f.domains = append(f.domains, &domain{index: i})
	}
	total := 0.0
	for i := range fleetWorkspaces {
		total += math.Pow(float64(i+1), -fleetSkew)
	}
	for i := range fleetWorkspaces {
		s := &workspace{name: fmt.Sprint("ws", i), usualRate: callsPerSecond * math.Pow(float64(i+1), -fleetSkew) / total, rateFactor: 1, homeDomain: -1}
		f.workspaces = append(f.workspaces, s)
		f.limits[s.name] = Limit{Rate: math.Ceil(fleetLimitFactor * s.usualRate), Burst: math.Ceil(fleetLimitFactor * s.usualRate)}
	}
	for i := range n {
		d := &daemon{limiter: NewLocalLimiter(), domain: f.domains[i%domains], coordinator: NewCoordinator(fleetTolerance)}
		d.coordinator.Set(f.limits, domains)
		d.domain.daemons = append(d.domain.daemons, d)
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.domains {
		d.coordinator = d.daemons[0]
	}
	for _, d := range f.daemons {
		f.after(time.Duration(f.rng.Int64N(int64(100*time.Millisecond))), func() { f.report(d, true) })
		f.after(time.Duration(f.rng.Int64N(int64(250*time.Millisecond))), func() { f.requestLeases(d) })
	}
	for _, s := range f.workspaces {
		f.after(firstCallAt+f.interarrival(s), func() { f.arrive(s) })
	}
	return f
}

func (f *fleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at < until {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
	f.now = until
}

// messageDelay is how long a message takes one way, including its handling at a busy
// daemon.
func (f *fleet) messageDelay() time.Duration {
	return time.Millisecond + time.Duration(f.rng.ExpFloat64()*float64(4*time.Millisecond))
}

func (f *fleet) interarrival(s *workspace) time.Duration {
	return time.Duration(f.rng.ExpFloat64() / (s.usualRate * s.rateFactor) * float64(time.Second))
}

func (f *fleet) arrive(s *workspace) {
	f.after(f.interarrival(s), func() { f.arrive(s) })
	d := f.ingress(s)
	if d.down {
		return
	}
	s.offered = append(s.offered, f.now)
	c := &call{workspace: s, deadline: f.now + callTimeout, inReference: s.reference.admit(f.now, f.limits[s.name])}
	s.tally.arrived(f.now, c)
	f.send(c, d)
}

// ingress returns the daemon at which a call of a workspace arrives.
func (f *fleet) ingress(s *workspace) *daemon {
	at := f.daemons
	if s.homeDomain >= 0 {
		at = f.domains[s.homeDomain].daemons
	}
	d := at[f.rng.IntN(len(at))]
	if s.singleDaemon {
		d = at[0]
	}
	return d
}

// send delivers a call to a daemon.
func (f *fleet) send(c *call, d *daemon) {
	s := c.workspace
	switch v, retryAfter := d.limiter.Admit(f.now, s.name, f.kind(d, c), f.limits[s.name], len(f.daemons)); v {
	case Admitted:
		f.admit(c)
	case NeedsGrant:
		d.waiting = append(d.waiting, c)
		f.report(d, false)
	case Denied:
		f.refuse(c, retryAfter)
	}
}

// kind returns the kind that a daemon assigns to a call.
func (f *fleet) kind(d *daemon, c *call) Kind {
	if c.returning && f.firstTimeFirst && !d.oldBuild {
		return Returning
	}
	return FirstTime
}

func (f *fleet) admit(c *call) {
	c.workspace.admitted = append(c.workspace.admitted, f.now)
	c.workspace.tally.admitted(f.now, c)
}

// refuse tells a caller that its call is over the limit. The caller sends the call once
// more after the retry-after, but no later than after a third of the time that it has left.
func (f *fleet) refuse(c *call, retryAfter time.Duration) {
	c.workspace.tally.refused(f.now, c)
	if !f.callersReturn || c.returning {
		return
	}
	f.after(min(retryAfter, (c.deadline-f.now)/3), func() {
		c.returning = true
		for range f.daemons {
			if d := f.ingress(c.workspace); !d.down {
				f.send(c, d)
				return
			}
		}
	})
}

// report sends a report to the coordinator; periodic says that it is the regular one.
func (f *fleet) report(d *daemon, periodic bool) {
	if periodic {
		f.after(100*time.Millisecond, func() { f.report(d, true) })
	}
	if d.down || d.reporting {
		return
	}
	waiting := d.waiting
	d.waiting, d.reporting = nil, true
	r := d.limiter.Report()
	r.Wanted, r.WantedAgain = map[string]int{}, map[string]int{}
	for _, c := range waiting {
		if f.kind(d, c) == Returning {
			r.WantedAgain[c.workspace.name]++
		} else {
			r.Wanted[c.workspace.name]++
		}
	}
	coordinator, requestedAt := d.domain.coordinator, f.now
	f.after(f.messageDelay(), func() {
		if coordinator.down {
			f.after(300*time.Millisecond, func() { f.handleReply(d, requestedAt, waiting, r, nil) })
			return
		}
		received := r
		if coordinator.oldBuild {
			received.WantedAgain = nil
		}
		reply := coordinator.coordinator.HandleReport(f.now, received)
		f.after(f.messageDelay(), func() { f.handleReply(d, requestedAt, waiting, r, &reply) })
	})
}

func (f *fleet) handleReply(d *daemon, requestedAt time.Duration, waiting []*call, r Report, reply *Reply) {
	d.reporting = false
	if d.down {
		return
	}
	if reply == nil {
		d.limiter.Restore(r)
		reply = &Reply{}
	} else {
		d.limiter.HandleReply(requestedAt, *reply)
	}
	for _, c := range waiting {
		name, granted := c.workspace.name, reply.Granted
		if f.kind(d, c) == Returning {
			granted = reply.GrantedAgain
		}
		if granted[name] > 0 {
			granted[name]--
			f.admit(c)
			d.limiter.RecordGranted(f.now, name)
		} else {
			f.refuse(c, d.limiter.RecordDenied(f.now, name, f.kind(d, c)))
		}
	}
	if len(d.waiting) > 0 {
		f.report(d, false)
	}
}

func (f *fleet) requestLeases(d *daemon) {
	leased := false
	defer func() {
		d.requestInterval = NextLeaseRequestInterval(d.requestInterval, leased)
		f.after(d.requestInterval, func() { f.requestLeases(d) })
	}()
	if d.down || d.domain.coordinator != d || f.partitioned[d.domain.index] {
		return
	}
	request := LeaseRequest{Domain: fmt.Sprint(d.domain.index), Needs: d.coordinator.Needs(f.now)}
	for _, other := range f.domains {
		if other == d.domain || len(request.Needs) == 0 || f.partitioned[other.index] || other.coordinator.down {
			continue
		}
		leasedRates := other.coordinator.coordinator.GrantLeases(f.now, request)
		d.coordinator.AddLeases(f.now, f.now, fmt.Sprint(other.index), leasedRates)
		request.Subtract(leasedRates)
		leased = leased || len(leasedRates) > 0
	}
}

// kill stops a daemon and starts it again later. If it was the coordinator, another
// daemon takes over once the others have noticed.
func (f *fleet) kill(d *daemon) {
	d.down, d.waiting = true, nil
	if d.domain.coordinator == d {
		f.after(1800*time.Millisecond, func() { d.domain.coordinator = d.domain.daemons[len(d.domain.daemons)-1] })
	}
	f.after(3500*time.Millisecond, func() {
		d.down, d.limiter, d.coordinator, d.reporting = false, NewLocalLimiter(), NewCoordinator(fleetTolerance), false
		d.coordinator.Set(f.limits, len(f.domains))
		d.coordinator.SetFirstTimeFirst(f.firstTimeFirst && !d.oldBuild)
		d.domain.coordinator = d
	})
}

// worstExcess returns the excess of the worst window of any workspace, as a fraction of
// the calls allowed in it.
func (f *fleet) worstExcess() (worst float64, name string) {
	worst = math.Inf(-1)
	t := fleetTolerance
	for _, s := range f.workspaces {
		l := f.limits[s.name]
		allowed := (l.Rate*t.Window.Seconds()+l.Burst)*(1+t.Fraction) + t.Calls
		for i, at := range s.admitted {
			if at < s.limitFrom {
				continue
			}
			j, _ := slices.BinarySearch(s.admitted, at+t.Window)
			if x := (float64(j-i) - allowed) / allowed; x > worst {
				worst, name = x, s.name
			}
		}
	}
	return worst, name
}

// refusedFraction returns the fraction of the calls that were refused, of workspaces that
// stay within their limits.
func (f *fleet) refusedFraction() float64 {
	offered, admitted := 0, 0
	for _, s := range f.workspaces {
		if s.rateFactor == 1 {
			offered += len(s.offered)
			admitted += len(s.admitted)
		}
	}
	return 1 - float64(admitted)/float64(offered)
}

// TestLimitsHoldOverTheWholeFleet simulates load shifts, partitions and crashes in fleets
// with limited workspaces. In no window may more calls be admitted than a limit allows,
// and calls of workspaces within their limits must be admitted once leases have moved the
// rate to where the calls arrive.
func TestLimitsHoldOverTheWholeFleet(t *testing.T) {
	const (
		hotFactor, hotFrom = 7.5, 8 * time.Second
		length             = 22 * time.Second
		// rebalanceTime is the time in which leases move rate to where the calls arrive;
		// failoverTime is the time in which the daemons notice that a coordinator has
		// stopped.
		rebalanceTime, failoverTime = 1500 * time.Millisecond, 1800 * time.Millisecond
		// baseRefused is the fraction of the calls that may be refused without any
		// disturbance, since calls arrive in clusters.
		baseRefused = 0.005
	)
	hot := func(f *fleet) {
		f.after(hotFrom, func() {
			for _, i := range []int{0, 7, 30} {
				f.workspaces[i].rateFactor = hotFactor
			}
		})
	}
	// beyondDomain is the fraction of the calls beyond one domain's part of a limit.
	beyondDomain := func(domains int) float64 { return 1 - fleetLimitFactor/float64(domains) }
	for _, c := range []struct {
		name    string
		disturb func(*fleet)
		// unsettled is how long the disturbance lasts; refusedThen is the fraction of the
		// calls that may be refused in that time.
		unsettled   time.Duration
		refusedThen func(domains int) float64
	}{
		{"calm", func(*fleet) {}, 0, nil},
		{"three workspaces at 7.5 times their usual", hot, 0, nil},
		{"each workspace in one failure domain", func(f *fleet) {
			for i, s := range f.workspaces {
				s.homeDomain = i % len(f.domains)
			}
		}, rebalanceTime, beyondDomain},
		{"all callers move from one domain to another", func(f *fleet) {
			for i := range f.workspaces {
				f.workspaces[i].homeDomain = 0
				f.after(12*time.Second, func() { f.workspaces[i].homeDomain = 1 })
			}
		}, 2 * rebalanceTime, beyondDomain},
		{"hot ones come in at one daemon", func(f *fleet) {
			hot(f)
			for _, i := range []int{0, 7, 30} {
				f.workspaces[i].singleDaemon = true
			}
		}, 0, nil},
		{"a domain is cut off", func(f *fleet) {
			hot(f)
			f.after(7*time.Second, func() { f.partitioned[0] = true })
			f.after(15*time.Second, func() { f.partitioned[0] = false })
		}, 0, nil},
		{"a keeper is killed", func(f *fleet) {
			hot(f)
			f.after(10*time.Second, func() { f.kill(f.domains[0].coordinator) })
		}, failoverTime + 2*rebalanceTime, func(domains int) float64 { return 1 / float64(domains) }},
		{"half of all are killed", func(f *fleet) {
			hot(f)
			f.after(11*time.Second, func() {
				for _, i := range f.rng.Perm(len(f.daemons))[:len(f.daemons)/2] {
					f.kill(f.daemons[i])
				}
			})
		}, failoverTime + 2*rebalanceTime, func(int) float64 { return 1 }},
	} {
		for _, size := range []struct {
			daemons, domains int
			seeds            uint64
		}{{13, 3, 3}, {65, 3, 2}, {260, 7, 1}} {
			t.Run(fmt.Sprintf("%s/%d-daemons", c.name, size.daemons), func(t *testing.T) {
				t.Parallel()
				allowed := baseRefused
				if c.refusedThen != nil {
					allowed += c.unsettled.Seconds() / (length - firstCallAt).Seconds() * c.refusedThen(size.domains)
				}
				for seed := range size.seeds {
					f := newFleet(size.daemons, size.domains, seed)
					if seed > 0 {
						// Limits must hold however callers behave.
						f.callersReturn = true
						f.setFirstTimeFirst()
					}
					c.disturb(f)
					f.run(length)
					excess, name := f.worstExcess()
					refused := f.refusedFraction()
					t.Logf("seed %d: worst window exceeds its limit by %.3f (%s), %.4f of the calls within limits refused", seed, excess, name, refused)
					if excess > 0 || refused > allowed {
						t.Errorf("seed %d: %s exceeds its limit by %.3f in a window, %.4f of the calls within limits refused (want at most %.4f)", seed, name, excess, refused, allowed)
					}
				}
			})
		}
	}
}

// TestLeasesNeverAddUpToMoreThanTheLimit drives coordinators that grant and receive leases
// while answers are lost or late: the rates that they may give out must never add up to
// more than the limit.
func TestLeasesNeverAddUpToMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const domains = 3
		limit := Limit{Rate: 90, Burst: 30}
		var coordinators []*Coordinator
		for range domains {
			c := NewCoordinator(fleetTolerance)
			c.Set(map[string]Limit{"ws": limit}, domains)
			coordinators = append(coordinators, c)
		}
		now := time.Second
		check := func() {
			sum := 0.0
			for _, c := range coordinators {
				if b := c.bucket(now, "ws"); b != nil {
					sum += c.rate("ws", b, now)
				}
			}
			if sum > limit.Rate*(1+1e-9) {
				rt.Fatalf("at %v the coordinators give out %.2f calls/s, limit %.2f", now, sum, limit.Rate)
			}
		}
		for range rapid.IntRange(5, 80).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond
			i := rapid.IntRange(0, domains-1).Draw(rt, "keeper")
			for _, c := range coordinators {
				c.HandleReport(now, Report{})
			}
			coordinators[i].HandleReport(now, Report{Used: map[string]int{"ws": rapid.IntRange(0, 60).Draw(rt, "used")}})
			check()
			grantor := (i + rapid.IntRange(1, domains-1).Draw(rt, "lender")) % domains
			needs, requestedAt := coordinators[i].Needs(now), now
			leasedRates := coordinators[grantor].GrantLeases(now, LeaseRequest{Domain: fmt.Sprint(i), Needs: needs})
			check()
			if rapid.Bool().Draw(rt, "heard") {
				now += time.Duration(rapid.IntRange(0, 300).Draw(rt, "late")) * time.Millisecond
				coordinators[i].AddLeases(now, requestedAt, fmt.Sprint(grantor), leasedRates)
				check()
			}
		}
	})
}

// TestCoordinatorDropsIdleBuckets checks that a coordinator's memory does not grow with
// workspaces that no longer send calls.
func TestCoordinatorDropsIdleBuckets(t *testing.T) {
	is := is.New(t)
	limits := map[string]Limit{}
	used := map[string]int{}
	for i := range 10_000 {
		limits[fmt.Sprint("ws", i)] = Limit{Rate: 10, Burst: 10}
		used[fmt.Sprint("ws", i)] = 1
	}
	c := NewCoordinator(fleetTolerance)
	c.Set(limits, 3)
	now := time.Second
	c.HandleReport(now, Report{Used: used})
	is.Equal(len(c.buckets), 10_000)
	for range 100 {
		now += 100 * time.Millisecond
		c.HandleReport(now, Report{Used: map[string]int{"ws1": 1}})
	}
	is.Equal(len(c.buckets), 1)
	c.Set(map[string]Limit{}, 3) // removes all limits
	is.Equal(len(c.buckets), 0)
	is.Equal(c.HandleReport(now, Report{Wanted: map[string]int{"ws1": 3}}).Granted["ws1"], 3)
}

// TestWorkspaceAboveItsLimitGetsNearlyAllOfIt checks that a workspace which sends a
// little more than its limit gets at least 95 % of it.
func TestWorkspaceAboveItsLimitGetsNearlyAllOfIt(t *testing.T) {
	for _, size := range []struct{ daemons, domains int }{{13, 3}, {65, 3}, {260, 7}} {
		f := newFleet(size.daemons, size.domains, 1)
		const from, until = 8 * time.Second, 20 * time.Second
		for _, i := range []int{0, 7, 30} {
			f.workspaces[i].rateFactor = 1.25 * fleetLimitFactor
		}
		f.run(until)
		for _, i := range []int{0, 7, 30} {
			s := f.workspaces[i]
			n := 0
			for _, at := range s.admitted {
				if at >= from {
					n++
				}
			}
			fraction := float64(n) / (f.limits[s.name].Rate * (until - from).Seconds())
			t.Logf("%d daemons, %s at %.0f calls/s: %.3f of its rate admitted", size.daemons, s.name, f.limits[s.name].Rate, fraction)
			if fraction < 0.95 {
				t.Errorf("%d daemons, %s: %.3f of its rate admitted, want at least 0.95", size.daemons, s.name, fraction)
			}
		}
	}
}
