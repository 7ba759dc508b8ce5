package callpath

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/admission"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/retry"
	"github.com/comfreygate/comfreygate/internal/view"
)

// fleetSim simulates many daemons in virtual time. The choice of an upstream, the retry
// rules and the gates are the real code; upstreams, callers and the network are
// simulated. The same seed gives the same result.
type fleetSim struct {
	rng    *rand.Rand
	load   simLoad
	now    time.Time
	end    time.Time
	events simEvents
	seq    int
	vms    []*simVM
	byID   map[string]*simVM
	kinds  []*simKind
	// attempts counts all attempts, crossDomain those sent to another failure domain.
	attempts    int
	crossDomain int
	// refusalRate is the fraction of the attempts at a service that its upstreams refuse.
	refusalRate map[string]float64
	// callsTo counts the calls to a service that are not repeats, repeatsAt the repeats
	// that reach its upstreams.
	callsTo   map[string]int
	repeatsAt map[string]int
	// sampledInUse and sampledSlots sum up, by service, the slots in use and all slots
	// over the samples taken.
	sampledInUse, sampledSlots map[string]int
	// crashes records the crashes of upstreams.
	crashes simCrashes
	// leaveShare is the fraction of the callers who leave at a random moment within their
	// objective.
	leaveShare float64
}

// simVM is a VM with its daemon and one upstream.
type simVM struct {
	id      string
	service string
	domain  string
	// domainIndex is the number of the failure domain.
	domainIndex int
	speed       float64
	ingress     *Ingress
	gate        *admission.Gate
	services    map[string]*view.Service
	waiting     []*simWait
	simUpstream
	simRateLimit
	simPace
}

type simWait struct {
	waiter     *admission.Waiter
	onDecision func(outcome.Reason)
}

// simKind is a kind of call.
type simKind struct {
	route       *view.Route
	service     string
	ratePerVM   float64 // calls per second that enter at each VM
	work        time.Duration
	spread      float64
	deadline    time.Duration
	lateValue   float64 // value of a late answer as a fraction of value
	value       float64 // value of an answer within the objective
	nestedKind  *simKind
	nestedShare float64
	nestedCalls int
	// sequential means that the nested calls are made one after the other, after the
	// run's own work; otherwise they are made at once, beside it.
	sequential bool

	// poison calls crash the upstream that runs them. All calls of the kind are copies of
	// one request.
	poison bool

	// sent counts the calls of the kind, inTime, late, refused and failed count their
	// results, and callerRetries counts the calls that callers sent again after a refusal.
	sent, inTime, late, refused, failed, callerRetries int
	// bySecond counts the calls that are not nested by the second in which they were first
	// sent.
	bySecond map[int]*simSecond
}

// simCall is a caller's request, including the times it is sent again.
type simCall struct {
	kind          *simKind
	vm            *simVM
	firstSent     time.Time
	deadline      time.Time
	callerRetries int
	// path is the path of the request, which stays the same when the caller sends it
	// again.
	path string
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (s *fleetSim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), seq: s.seq, do: do})
}

// run processes events until the simulated end.
func (s *fleetSim) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at.After(s.end) {
			return
		}
		s.now = e.at
		e.do()
	}
}

// simLoad describes a deployment and the calls sent to it.
type simLoad struct {
	slots   int
	domains int
	// largeShare is the fraction of the VMs whose upstreams belong to the larger service.
	largeShare float64
	speeds     []float64
	kinds      []*simKind
	simLoadControl
}

const (
	simSlots   = 15
	simDomains = 5
)

// simRoute returns a route with the policy for a kind of call.
func simRoute(name string, urgency config.Urgency, objective, timeout time.Duration, repeat bool) *view.Route {
	p := config.Policy{Name: name, Urgency: urgency, Objective: objective, Timeout: timeout, Retries: 1}
	if repeat {
		p.Repeatable = []string{http.MethodGet}
	}
	return &view.Route{Name: name, Policy: p}
}

// scaled multiplies the rate of all calls by factor and returns the load.
func (l simLoad) scaled(factor float64) simLoad {
	for _, k := range l.kinds {
		k.ratePerVM *= factor
	}
	return l
}

const ms = time.Millisecond

// bankLoad models the traffic of savings banks: lookups, which make two short nested
// calls to the smaller service, postings, uploads and queries. Modelled on a deployment
// of 95 VMs with 15 slots each, 74 of them for the larger service, with 845, 319, 101 and
// 99.5 calls per second.
func bankLoad(load float64) simLoad {
	check := &simKind{route: simRoute("check", 12, 500*ms, 1500*ms, true), service: "small", work: 120 * ms, spread: 0.5, deadline: 1500 * ms, value: 1}
	return simLoad{slots: simSlots, domains: simDomains, largeShare: 74.0 / 95, speeds: []float64{0.5, 1, 1, 1.5}, kinds: []*simKind{
		{route: simRoute("lookup", 14, 1500*ms, 5000*ms, true), service: "large", ratePerVM: 845.0 / 95, work: 480 * ms, spread: 0.8,
			deadline: 10_000 * ms, lateValue: 0.5, value: 1, nestedKind: check, nestedShare: 0.7, nestedCalls: 2},
		{route: simRoute("post", 15, 2000*ms, 6000*ms, false), service: "large", ratePerVM: 319.0 / 95, work: 630 * ms, spread: 0.5, deadline: 12_000 * ms, lateValue: 0.5, value: 1},
		{route: simRoute("upload", 15, 2000*ms, 8000*ms, false), service: "small", ratePerVM: 101.0 / 95, work: 580 * ms, spread: 0.8, deadline: 12_000 * ms, lateValue: 0.5, value: 1},
		{route: simRoute("query", 14, 1200*ms, 3000*ms, false), service: "small", ratePerVM: 99.5 / 95, work: 390 * ms, spread: 0.8, deadline: 6_000 * ms, lateValue: 0.5, value: 1},
		check,
	}}.scaled(load)
}

// fewSlotsLoad models the same banks' traffic after it has changed: shorter calls, more
// of them, and 4 slots per upstream; a posting is worth two lookups. Modelled on a
// deployment of 69 VMs, 55 of them for the larger service, with 1,054, 1,210, 125 and 371
// calls per second on the heaviest day.
func fewSlotsLoad(load float64) simLoad {
	check := &simKind{route: simRoute("check", 14, 80*ms, 250*ms, true), service: "small", work: 19 * ms, spread: 0.5, deadline: 250 * ms}
	return simLoad{slots: 4, domains: 3, largeShare: 55.0 / 69, speeds: []float64{1 / 0.7, 1 / 0.7, 1 / 1.6}, kinds: []*simKind{
		{route: simRoute("lookup", 14, 300*ms, 1000*ms, true), service: "large", ratePerVM: 1054.0 / 69, work: 77 * ms, spread: 0.5,
			deadline: 2000 * ms, lateValue: 0.5, value: 1, nestedKind: check, nestedShare: 0.7, nestedCalls: 2, sequential: true},
		{route: simRoute("post", 15, 400*ms, 1200*ms, false), service: "large", ratePerVM: 1210.0 / 69, work: 100 * ms, spread: 0.3, deadline: 2500 * ms, lateValue: 0.5, value: 2},
		{route: simRoute("upload", 15, 600*ms, 3000*ms, false), service: "small", ratePerVM: 125.0 / 69, work: 92 * ms, spread: 0.5, deadline: 4000 * ms, lateValue: 0.5, value: 2},
		{route: simRoute("query", 14, 250*ms, 800*ms, false), service: "small", ratePerVM: 371.0 / 69, work: 62 * ms, spread: 0.3, deadline: 1500 * ms, lateValue: 0.5, value: 1},
		check,
	}}.scaled(load)
}

// newFleetSim returns a simulation of n VMs under a load, for the given simulated time.
func newFleetSim(n int, load simLoad, length time.Duration, seed uint64) *fleetSim {
	s := &fleetSim{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), load: load, kinds: load.kinds,
		byID:         map[string]*simVM{},
		sampledInUse: map[string]int{}, sampledSlots: map[string]int{},
		refusalRate: map[string]float64{}, callsTo: map[string]int{}, repeatsAt: map[string]int{},
		crashes: simCrashes{crashesByPath: map[string][]time.Time{}, runsByPath: map[string][]time.Time{}},
	}
	s.end = s.now.Add(length)
	clock := func() time.Time { return s.now }
	events := event.NewRing("vm", event.NewClock(clock), 16)
	m := NewMetrics(metrics.NewRegistry())
	large := int(math.Round(load.largeShare * float64(n)))
	for i := range n {
		vm := &simVM{id: fmt.Sprintf("vm-%d", i), service: "large", domain: fmt.Sprintf("d%d", i%load.domains), domainIndex: i % load.domains, speed: load.speeds[s.rng.IntN(len(load.speeds))]}
		if i >= large {
			vm.service = "small"
		}
		vm.service = load.serviceOf(i, vm.service)
		s.startOwner(vm)
		vm.simUpstream = newSimUpstream(clock)
		s.startLoadControl(vm, m, clock)
		vm.ingress = NewIngress(IngressConfig{
			Limits: testLimits(),
			VM:     vm.id, Suspects: vm.suspects, Domain: vm.domain, RetryRatio: 0.2, RetryBurst: 3, CrossDomainCost: 40, Dialect: DefaultDialect(),
			Events: events, Metrics: m, Logger: zerolog.Nop(), Now: clock, Seed: seed*1000 + uint64(i),
		}, nil)
		vm.ingress.view.Store(&view.View{LoadControl: load.loadControl})
		s.vms = append(s.vms, vm)
		s.byID[vm.id] = vm
	}
	s.after(simWarmUp, s.sample)
	for _, vm := range s.vms {
		vm.services = s.servicesAsSeenBy(vm)
		for _, k := range s.kinds {
			s.arrivals(vm, k)
		}
	}
	return s
}

func (s *fleetSim) servicesAsSeenBy(vm *simVM) map[string]*view.Service {
	services := map[string]*view.Service{}
	for _, o := range s.vms {
		sv := services[o.service]
		if sv == nil {
			sv = &view.Service{Service: config.Service{Name: o.service}}
			services[o.service] = sv
		}
		sv.Upstreams = append(sv.Upstreams, view.Upstream{
			ID: o.id, Service: o.service, Slots: s.load.slots, Daemon: o.id, Domain: o.domain, Owner: o.id, Local: o == vm,
		})
	}
	return services
}

// arrivals schedules calls of a kind to enter at a VM, as a Poisson process.
func (s *fleetSim) arrivals(vm *simVM, k *simKind) {
	if k.ratePerVM == 0 {
		return
	}
	s.after(time.Duration(s.rng.ExpFloat64()/(k.ratePerVM*s.peakFactor(vm))*float64(time.Second)), func() {
		k.sent++
		s.second(k, s.now).sent++
		s.sendCall(&simCall{kind: k, vm: vm, firstSent: s.now, deadline: s.now.Add(k.deadline), path: s.newPath(k)})
		s.arrivals(vm, k)
	})
}

// maxCallerRetries is how often a caller sends a call again that was refused or that
// failed and may be repeated.
const maxCallerRetries = 2

func (s *fleetSim) sendCall(sc *simCall) {
	k := sc.kind
	s.submit(sc.vm, k, sc.path, s.now.Add(min(k.route.Policy.Timeout, sc.deadline.Sub(s.now))), sc.firstSent.Add(k.route.Policy.Objective), nil, func(r outcome.Result) {
		s.crashes.recordResult(k, r)
		took := s.now.Sub(sc.firstSent)
		left := sc.deadline.Sub(s.now)
		switch {
		case r.Reason == outcome.ReasonCancelled: // the caller has left
		case r.Outcome == outcome.Answered && r.Status < 500:
			if took <= k.route.Policy.Objective {
				k.inTime++
				s.second(k, sc.firstSent).inTime++
			} else {
				k.late++
			}
		case r.Outcome == outcome.NotRun && sc.callerRetries < s.load.callerRetries() && left > 0:
			sc.callerRetries++
			k.callerRetries++
			s.after(min(s.load.callerWait(r.RetryAfter), left/3), func() { s.sendCall(sc) })
		case r.Outcome == outcome.NotRun:
			k.refused++
		case sc.callerRetries < s.load.callerRetries() && k.route.Policy.Repeatable != nil && left > 0:
			sc.callerRetries++
			s.sendCall(sc)
		default:
			k.failed++
		}
	})
}

// submit sends a call through the ingress of a VM.
func (s *fleetSim) submit(vm *simVM, k *simKind, path string, deadline, objective time.Time, parent *simParent, done func(outcome.Result)) {
	in := vm.ingress
	c := &call{route: k.route, service: vm.services[k.service], attempt: Attempt{
		Urgency: k.route.Policy.Urgency, Deadline: deadline, Objective: objective, Repeatable: k.route.Policy.Repeatable != nil,
		Method: http.MethodGet, URL: &url.URL{Path: path}, Caller: vm.service, Request: path,
	}}
	if parent != nil {
		c.attempt.Nested, c.attempt.Urgency, c.attempt.ParentServedPermille = true, parent.urgency, int(permille*parent.vm.gate.ServedFraction())
		c.attempt.WaitFraction, c.attempt.Repeated, c.attempt.parent = parent.waitFraction, parent.repeated, parent.request
	}
	in.retries.Earn(in.retryCall(c))
	if c.attempt.Repeated {
		in.retries.ChargeRepeat(c.service.Name)
	} else {
		s.callsTo[c.service.Name]++
	}
	s.attempt(vm, k, c, &retry.Attempts{}, done)
}

// messageDelay is the one-way delay of a message within a VM, within a failure domain, or
// between failure domains.
func (s *fleetSim) messageDelay(from, to *simVM) time.Duration {
	switch {
	case from == to:
		return 50 * time.Microsecond
	case from.domain == to.domain:
		return 400 * time.Microsecond
	}
	return 700 * time.Microsecond
}

func (s *fleetSim) attempt(vm *simVM, k *simKind, c *call, attempts *retry.Attempts, done func(outcome.Result)) {
	in := vm.ingress
	if !s.now.Before(c.attempt.Deadline) {
		done(attempts.OutOfTime())
		return
	}
	if refusal, blocked := quarantined(vm.suspects, &c.attempt, s.now); blocked {
		done(attempts.Exhausted(refusal))
		return
	}
	u, refusal, ok := in.next(c, attempts)
	if !ok {
		done(attempts.Exhausted(refusal))
		return
	}
	to := s.byID[u.ID]
	c.attempt.RateLimit = in.picker.RateLimit(u.ID)
	c.attempt.Repeated = c.attempt.Repeated || attempts.Reached()
	s.attempts++
	if to.domain != vm.domain {
		s.crossDomain++
	}
	began := s.now
	s.after(s.messageDelay(vm, to), func() {
		s.arrive(vm, to, k, c, func(r outcome.Result) {
			s.after(s.messageDelay(vm, to), func() {
				if r.Outcome == outcome.Answered {
					in.picker.RecordAnswer(c.route.Name, 5000, s.now.Sub(began))
				}
				in.picker.Observe(u, in.rankUrgency(&c.attempt), r)
				in.picker.Finished(u)
				attempts.Add(u.ID, u.Domain, r)
				if r.Reason == outcome.ReasonCancelled || !in.mayRetry(c, attempts) {
					done(attempts.Best())
					return
				}
				s.attempt(vm, k, c, attempts, done)
			})
		})
	})
}

// arrive handles an attempt that reaches the daemon of its upstream.
func (s *fleetSim) arrive(vm, to *simVM, k *simKind, c *call, reply func(outcome.Result)) {
	req := admissionRequest(&c.attempt)
	refuse := func(reason outcome.Reason, after time.Duration) {
		r := outcome.Refuse(reason, after)
		r.Load, r.HasLoad, r.RateLimit = to.gate.Load(), true, to.gate.Rate()
		reply(r)
	}
	if c.attempt.RateLimit > 0 {
		to.known.Recall(s.now, c.attempt.RateLimit)
	}
	if reason := s.refusalOnArrival(vm, to, c); reason != "" {
		refuse(reason, 0)
		return
	}
	if r, ok := to.owner.admitRun(to.local, &c.attempt); !ok {
		reply(r)
		return
	}
	w, reason, after := to.gate.Enter(req)
	switch {
	case w == nil && reason == "":
		s.runAttempt(to, k, c, req, reply)
	case w == nil:
		refuse(reason, after)
	default:
		to.waiting = append(to.waiting, &simWait{waiter: w, onDecision: func(reason outcome.Reason) {
			if reason != "" {
				refuse(reason, to.gate.RetryAfterOf(req))
				return
			}
			s.runAttempt(to, k, c, req, reply)
		}})
		gate := to.gate
		s.after(req.Deadline.Sub(s.now)-admission.AnswerMargin, func() {
			gate.Withdraw(w, outcome.ReasonDeadline)
			s.deliverDecisions(to)
		})
	}
	s.deliverDecisions(to)
}

// deliverDecisions continues the waiting attempts that a gate has admitted or refused.
func (s *fleetSim) deliverDecisions(vm *simVM) {
	var rest, decided []*simWait
	for _, w := range vm.waiting {
		select {
		case <-w.waiter.Decided():
			decided = append(decided, w)
		default:
			rest = append(rest, w)
		}
	}
	vm.waiting = rest
	for _, w := range decided {
		w.onDecision(w.waiter.Refused())
	}
}

// simParent is the request that makes nested calls.
type simParent struct {
	// waitFraction is the WaitFraction of the request's nested calls.
	waitFraction float64
	repeated     bool
	urgency      config.Urgency
	vm           *simVM
	request      *parentRequest
}

// runAttempt runs an admitted attempt at an upstream.
func (s *fleetSim) runAttempt(vm *simVM, k *simKind, c *call, a admission.Request, reply func(outcome.Result)) {
	gate, known := vm.gate, vm.known
	if c.attempt.Repeated {
		s.repeatsAt[vm.service]++
	}
	if vm.down {
		gate.Release(0)
		reply(outcome.Refuse(outcome.ReasonUnreachable, outcome.MinRetryAfter))
		s.deliverDecisions(vm)
		return
	}
	if s.rng.Float64() < s.refusalRate[vm.service] {
		gate.Release(0)
		reply(outcome.Refuse(outcome.ReasonUpstreamRefused, 0))
		s.deliverDecisions(vm)
		return
	}
	vm.arrivals = append(vm.arrivals, s.now)
	sigma := math.Sqrt(math.Log(1 + k.spread*k.spread))
	factor := math.Exp(sigma*s.rng.NormFloat64() - sigma*sigma/2)
	began := s.now
	took := vm.timeAtPace(began, time.Duration(float64(k.work)*factor/vm.speed*s.slowdown(vm)))
	parent := &simParent{urgency: a.Urgency, vm: vm, waitFraction: s.rng.Float64(), repeated: c.attempt.Repeated, request: &parentRequest{}}
	finished := false
	finish, refusal := s.startRun(vm, k, c, func() {
		finished = true
		gate.Release(s.now.Sub(began))
		reply(outcome.MayHaveRun(outcome.ReasonCrashed, nil))
	})
	if refusal != "" {
		gate.Release(0)
		reply(outcome.Refuse(refusal, 0))
		s.deliverDecisions(vm)
		return
	}
	if s.leaveShare > 0 && s.rng.Float64() < s.leaveShare {
		s.after(time.Duration(s.rng.Float64()*float64(k.route.Policy.Objective)), func() {
			if finished {
				return
			}
			finished = true
			finish(simCallerLeft)
			gate.Release(s.now.Sub(began))
			reply(outcome.MayHaveRun(outcome.ReasonCancelled, nil))
			s.deliverDecisions(vm)
		})
	}
	end := func(status int) {
		if finished {
			return
		}
		finished = true
		finish(status)
		spent := s.now.Sub(began)
		known.Observe(s.now, began, vm.stated)
		vm.reportPace(gate, s.now)
		load := gate.LoadAfter(spent)
		gate.Release(spent)
		r := outcome.Result{Outcome: outcome.Answered, Status: status, Body: http.NoBody, Load: load, HasLoad: true, RateLimit: gate.Rate()}
		vm.owner.recordRun(vm.local, &c.attempt, parent.request, began, r)
		reply(r)
		s.deliverDecisions(vm)
	}
	pending := 1
	step := func() {
		if pending--; pending == 0 {
			end(http.StatusOK)
		}
	}
	calls := 0
	if k.nestedKind != nil && s.nestedDraw(c) < k.nestedShare {
		calls = k.nestedCalls
	}
	pending += calls
	nested := func(next func()) {
		s.submitNested(vm, k.nestedKind, a.Deadline, parent, func(status int) {
			if status != http.StatusOK {
				end(status)
				return
			}
			step()
			next()
		})
	}
	if !k.sequential {
		for range calls {
			nested(func() {})
		}
		s.after(took, step)
		return
	}
	var callNext func()
	callNext = func() {
		if calls--; calls >= 0 && !finished {
			nested(callNext)
		}
	}
	s.after(took, func() {
		step()
		callNext()
	})
}

// submitNested sends a nested call of a running request. done is called with the status by
// which that request continues or fails.
func (s *fleetSim) submitNested(vm *simVM, k *simKind, deadline time.Time, parent *simParent, done func(status int)) {
	k.sent++
	if own := s.now.Add(k.deadline); own.Before(deadline) {
		deadline = own
	}
	s.submit(vm, k, s.newPath(k), deadline, s.now.Add(k.route.Policy.Objective), parent, func(r outcome.Result) {
		recordNested(&Attempt{parent: parent.request}, r)
		switch {
		case r.Outcome == outcome.Answered && r.Status < 500:
			k.inTime++
			done(http.StatusOK)
		case r.Outcome == outcome.NotRun:
			k.refused++
			done(http.StatusInternalServerError)
		default:
			k.failed++
			done(http.StatusInternalServerError)
		}
	})
}

// slowdown returns the factor by which runs take longer at an upstream that is nearly
// full.
func (s *fleetSim) slowdown(vm *simVM) float64 {
	share := float64(vm.gate.Load().InFlight) / float64(s.load.slots)
	return 1 + 0.1*math.Pow(share, 4)
}

// Slots in use are sampled every sampleInterval, once simWarmUp has passed.
const (
	sampleInterval = 20 * time.Millisecond
	simWarmUp      = 2 * time.Second
)

func (s *fleetSim) sample() {
	for _, vm := range s.vms {
		s.sampledInUse[vm.service] += vm.gate.Load().InFlight
		s.sampledSlots[vm.service] += s.load.slots
	}
	s.after(sampleInterval, s.sample)
}

// utilization returns the fraction of a service's slots that was in use.
func (s *fleetSim) utilization(service string) float64 {
	return float64(s.sampledInUse[service]) / float64(s.sampledSlots[service])
}

// valueShare returns the value of the answers that callers got as a fraction of the value
// that they would have if all calls were answered in time.
func (s *fleetSim) valueShare() float64 {
	earned, possible := 0.0, 0.0
	for _, k := range s.kinds {
		if k.ratePerVM > 0 {
			earned += k.value * (float64(k.inTime) + k.lateValue*float64(k.late))
			possible += k.value * float64(k.sent)
		}
	}
	return earned / possible
}
