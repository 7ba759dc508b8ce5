package callpath

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/egress"
	"github.com/comfreygate/comfreygate/internal/intake"
	"github.com/comfreygate/comfreygate/internal/runs"
	"github.com/comfreygate/comfreygate/internal/view"
)

// simLoadControl describes a deployment with more than two services, load control and peaks.
type simLoadControl struct {
	loadControl bool
	// services are the services of the VMs in order; none: those of largeShare.
	services []simService
	// The calls are peakTimes as many from peakFrom to peakUntil after the start.
	peakFrom, peakUntil time.Duration
	peakTimes           float64
	// swing is the amplitude with which demand oscillates around its mean, with swingPeriod;
	// failure domains have their peaks one after the other. Zero: it is constant.
	swing       float64
	swingPeriod time.Duration
	// impatient callers retry at once, and three times as often.
	impatient bool
}

// simService is a service with the number of its VMs.
type simService struct {
	name string
	vms  int
}

// simSecond counts the calls first sent in one second.
type simSecond struct{ sent, inTime int }

// serviceOf returns the service of the VM with this index.
func (l *simLoadControl) serviceOf(i int, ofShare string) string {
	for _, service := range l.services {
		if i < service.vms {
			return service.name
		}
		i -= service.vms
	}
	return ofShare
}

// callerRetries returns how often a caller sends a refused call again.
func (l *simLoadControl) callerRetries() int {
	if l.impatient {
		return 3 * maxCallerRetries
	}
	return maxCallerRetries
}

// callerWait returns how long a caller waits before it sends a refused call again.
func (l *simLoadControl) callerWait(retryAfter time.Duration) time.Duration {
	if l.impatient {
		return time.Millisecond
	}
	return retryAfter
}

// peakFactor returns the current rate of the calls that enter at a VM, as a multiple of the usual
// rate.
func (s *fleetSim) peakFactor(vm *simVM) float64 {
	l, at := &s.load.simLoadControl, s.elapsed(s.now)
	if l.swing > 0 {
		phase := float64(at)/float64(l.swingPeriod) + float64(vm.domainIndex)/float64(s.load.domains)
		return 1 + l.swing*math.Sin(2*math.Pi*phase)
	}
	if at >= l.peakFrom && at < l.peakUntil {
		return l.peakTimes
	}
	return 1
}

// simStart is when a simulation starts.
var simStart = time.Unix(1000, 0)

func (s *fleetSim) elapsed(at time.Time) time.Duration { return at.Sub(simStart) }

// second returns the counts of a kind for the second of a time.
func (s *fleetSim) second(k *simKind, at time.Time) *simSecond {
	if k.bySecond == nil {
		k.bySecond = map[int]*simSecond{}
	}
	n := int(s.elapsed(at) / time.Second)
	if k.bySecond[n] == nil {
		k.bySecond[n] = &simSecond{}
	}
	return k.bySecond[n]
}

// secondAt returns the counts of a kind for the n-th second.
func (s *fleetSim) secondAt(k *simKind, n int) *simSecond {
	return s.second(k, simStart.Add(time.Duration(n)*time.Second))
}

// scaleTo scales all calls so that a service with direct and nested calls is busy to the
// given part. It must be called before run.
func (s *fleetSim) scaleTo(part float64, service string) {
	needed := 0.0
	for _, k := range s.kinds {
		if k.service == service {
			needed += k.ratePerVM * meshVMs * k.work.Seconds()
		}
		if k.nestedKind != nil && k.nestedKind.service == service {
			needed += k.nestedSlots()
		}
	}
	s.load.scaled(part * s.slotsOf(service) / needed)
}

// inTimeShare returns the share of the calls of a kind, first sent in the seconds from the
// first to before the last, that were answered in time.
func (k *simKind) inTimeShare(from, to int) float64 {
	var sum simSecond
	for n := from; n < to; n++ {
		if c := k.bySecond[n]; c != nil {
			sum.sent += c.sent
			sum.inTime += c.inTime
		}
	}
	return float64(sum.inTime) / float64(sum.sent)
}

// startLoadControl prepares the owner of a VM to limit runs.
func (s *fleetSim) startLoadControl(vm *simVM, m *Metrics, clock func() time.Time) {
	var routes []*view.Route
	for _, k := range s.kinds {
		k.route.Path = "/" + k.route.Name
		routes = append(routes, k.route)
	}
	vm.owner.cfg.Metrics, vm.owner.cfg.Dialect, vm.owner.cfg.Logger = m, DefaultDialect(), zerolog.Nop()
	vm.owner.intake, vm.owner.egress = intake.New(0, clock), egress.New(0, clock)
	vm.owner.view.Store(&view.View{LoadControl: s.load.loadControl, Routes: view.NewRoutes(routes...)})
	vm.owner.upstreams = map[string]*localUpstream{vm.id: vm.local}
	vm.local.gate, vm.local.runs = vm.gate, runs.New(clock, nil)
	vm.gate.SetNestedFirst(s.load.loadControl)
}

// nestedDraw returns the number from 0 to 1 that decides whether a run makes nested calls. In
// deployments with more than two services it is the same for all runs of a request, so that
// a request does not succeed merely because it is repeated.
func (s *fleetSim) nestedDraw(c *call) float64 {
	if len(s.load.services) == 0 {
		return s.rng.Float64()
	}
	return DefaultDialect().waitFraction("nested" + c.attempt.URL.Path)
}

const (
	meshVMs   = 65
	meshSlots = 18
	// meshWarmUp and meshCoolDown are the seconds at the start and the end of a simulation
	// whose calls are not judged: daemons know no loads yet, and calls do not end any more.
	meshWarmUp   = 3
	meshCoolDown = 5
)

// meshLoad models three services that call one another. Lookups of the front service make
// two nested calls to the middle one, which also gets direct calls, approvals; these make
// nested calls to the back service. All kinds are of equal urgency. Modelled on a deployment
// of 65 VMs with 36, 21 and 8 VMs per service and 1,275, 747 and 367 calls per second, of
// which the middle service can serve five sixths.
func meshLoad(load float64, services ...simService) simLoad {
	const urgency = 14
	check := &simKind{route: simRoute("check", urgency, 300*ms, 1000*ms, true), service: "middle", work: 77 * ms, spread: 0.5, deadline: 1000 * ms}
	entry := &simKind{route: simRoute("entry", urgency, 300*ms, 1000*ms, true), service: "back", work: 77 * ms, spread: 0.5, deadline: 1000 * ms}
	if len(services) == 0 {
		services = []simService{{"front", 36}, {"middle", 21}, {"back", 8}}
	}
	return simLoad{slots: meshSlots, domains: 3, speeds: []float64{0.5, 0.8, 1, 1.2, 1.6}, simLoadControl: simLoadControl{services: services}, kinds: []*simKind{
		{route: simRoute("lookup", urgency, 800*ms, 3000*ms, true), service: "front", ratePerVM: 1275.0 / meshVMs, work: 310 * ms, spread: 0.3,
			deadline: 3000 * ms, lateValue: 0.5, value: 1, nestedKind: check, nestedShare: 0.7, nestedCalls: 2},
		{route: simRoute("approval", urgency, 2500*ms, 5000*ms, false), service: "middle", ratePerVM: 747.0 / meshVMs, work: 400 * ms, spread: 0.3,
			deadline: 5000 * ms, lateValue: 0.5, value: 1, nestedKind: entry, nestedShare: 0.7, nestedCalls: 1},
		{route: simRoute("payout", urgency, 500*ms, 2000*ms, false), service: "back", ratePerVM: 367.0 / meshVMs, work: 210 * ms, spread: 0.3, deadline: 2000 * ms, lateValue: 0.5, value: 1},
		check, entry,
	}}.scaled(load)
}

// withControl sets whether load control is in force and returns the load.
func (l simLoad) withControl(on bool) simLoad {
	l.loadControl = on
	return l
}

// runMesh simulates the mesh and logs the results of each kind.
func runMesh(t *testing.T, load simLoad, length time.Duration, seed uint64) *fleetSim {
	t.Helper()
	s := newFleetSim(meshVMs, load, length, seed)
	s.run()
	for _, k := range s.kinds {
		t.Logf("seed %d, load control %t: %-8s sent %6d, in time %6d, late %5d, refused %6d, failed %5d", seed, load.loadControl, k.route.Name, k.sent, k.inTime, k.late, k.refused, k.failed)
	}
	return s
}

// slotsOf returns the slots of a service at the usual speed.
func (s *fleetSim) slotsOf(service string) float64 {
	total := 0.0
	for _, vm := range s.vms {
		if vm.service == service {
			total += vm.speed * float64(s.load.slots)
		}
	}
	return total
}

// nestedSlots returns how many slots the nested calls of a kind need if all its calls run.
func (k *simKind) nestedSlots() float64 {
	return k.ratePerVM * meshVMs * k.nestedShare * float64(k.nestedCalls) * k.nestedKind.work.Seconds()
}

// TestNestedCallsAreServedBeforeDirectOnes simulates the mesh with more calls to the middle
// service than it can serve. With load control, its slots go to the nested calls of lookups,
// so that no lookup fails for them, and the rest to approvals. The failure: 12,082 nested
// calls were refused as overload and 9,966 answered, while the same service ran direct calls.
func TestNestedCallsAreServedBeforeDirectOnes(t *testing.T) {
	const length, last = 14, 14 - meshCoolDown
	for _, factor := range []float64{1, 1.3} {
		for seed := range uint64(2) {
			off := runMesh(t, meshLoad(factor), length*time.Second, seed)
			on := runMesh(t, meshLoad(factor).withControl(true), length*time.Second, seed)
			for i, k := range on.kinds[:3] {
				t.Logf("%.1f times the load, seed %d: %s: %.3f in time without load control, %.3f with", factor, seed, k.route.Name, off.kinds[i].inTimeShare(meshWarmUp, last), k.inTimeShare(meshWarmUp, last))
			}
			lookup, approval, check := on.kinds[0], on.kinds[1], on.kinds[3]
			if refused := float64(check.refused) / float64(check.sent); refused > starvedTolerance {
				t.Errorf("%.1f times the load, seed %d: %.3f of the nested calls refused", factor, seed, refused)
			}
			if share := lookup.inTimeShare(meshWarmUp, last); share < 0.9 {
				t.Errorf("%.1f times the load, seed %d: %.3f of the lookups in time", factor, seed, share)
			}
			left := on.slotsOf("middle") - lookup.nestedSlots()
			possible := min(1, left/(approval.ratePerVM*meshVMs*approval.work.Seconds()))
			if share := approval.inTimeShare(meshWarmUp, last); share < 0.8*possible {
				t.Errorf("%.1f times the load, seed %d: %.3f of the approvals in time, %.3f possible", factor, seed, share, possible)
			}
		}
	}
}

// starvedTolerance is the part of the runs whose nested calls may be refused: a retry within
// the retry budget makes that good.
const starvedTolerance = 0.05

// TestRunsThatWouldStarveAreRefusedFirst simulates the mesh after the middle service has lost
// two thirds of its upstreams, so that nested calls alone exceed its slots. With load
// control, the lookups that cannot be served are refused before they run, and more are
// answered; direct calls to the service still get some slots.
func TestRunsThatWouldStarveAreRefusedFirst(t *testing.T) {
	const length, last = 14, 14 - meshCoolDown
	short := func() simLoad {
		return meshLoad(1, simService{"front", 36}, simService{"middle", 7}, simService{"back", 22})
	}
	for seed := range uint64(2) {
		off := runMesh(t, short(), length*time.Second, seed)
		on := runMesh(t, short().withControl(true), length*time.Second, seed)
		for i, k := range on.kinds[:3] {
			t.Logf("seed %d: %s: %.3f in time without load control, %.3f with", seed, k.route.Name, off.kinds[i].inTimeShare(meshWarmUp, last), k.inTimeShare(meshWarmUp, last))
		}
		lookup, approval := on.kinds[0], on.kinds[1]
		if failed := float64(lookup.failed) / float64(lookup.sent); failed > starvedTolerance {
			t.Errorf("seed %d: %.3f of the lookups ran and failed", seed, failed)
		}
		if with, without := lookup.inTimeShare(meshWarmUp, last), off.kinds[0].inTimeShare(meshWarmUp, last); with <= without {
			t.Errorf("seed %d: %.3f of the lookups in time with load control, %.3f without", seed, with, without)
		}
		if approval.inTimeShare(meshWarmUp, last) == 0 {
			t.Errorf("seed %d: no approval in time", seed)
		}
	}
}

// TestCallsAreServedAgainAfterAPeak simulates the mesh at 0.8 of the capacity of its middle
// service, with three times the calls for 4 s from callers that retry at once. From 2 s after
// the peak on, 0.95 of the calls must be answered in time again.
func TestCallsAreServedAgainAfterAPeak(t *testing.T) {
	const from, until, length = 4, 8, 18
	for seed := range uint64(2) {
		for _, control := range []bool{false, true} {
			l := meshLoad(1).withControl(control)
			l.peakFrom, l.peakUntil, l.peakTimes, l.impatient = from*time.Second, until*time.Second, 3, true
			s := newFleetSim(meshVMs, l, length*time.Second, seed)
			s.scaleTo(0.8, "middle")
			s.run()
			for n := range length - meshCoolDown {
				line, sent, inTime := "", 0, 0
				for _, k := range s.kinds[:3] {
					c := s.secondAt(k, n)
					line += fmt.Sprintf(" %s %.3f", k.route.Name, float64(c.inTime)/float64(c.sent))
					sent += c.sent
					inTime += c.inTime
				}
				share := float64(inTime) / float64(sent)
				t.Logf("seed %d, load control %t, second %2d, in time: all %.3f%s", seed, control, n, share, line)
				if control && n >= until+2 && share < 0.95 {
					t.Errorf("seed %d: %.3f of the calls of second %d in time", seed, share, n)
				}
			}
		}
	}
}
