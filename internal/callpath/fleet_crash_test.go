package callpath

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/view"
)

// Timing observed of a poison request: it ran for 50 ms before the upstream crashed, and
// the upstream had restarted after 3.3 s.
const (
	simCrashDelay  = 50 * time.Millisecond
	simRestartTime = 3300 * time.Millisecond
	// simPropagationDelay is the time until a change of a suspect record has reached all
	// daemons: twice what the slowest of 93 daemons took over real sockets.
	simPropagationDelay = 20 * time.Millisecond
	// simPopularShare is the fraction of a kind's calls that are copies of one request.
	simPopularShare = 0.05
)

// simUpstream holds the suspect records of a VM's daemon and the running attempts of the
// VM's upstream.
type simUpstream struct {
	suspects   *suspect.Table
	owner      *Owner
	local      *localUpstream
	down       bool
	crashCount uint64
	runs       map[int]*simRun
}

type simRun struct {
	attempt *Attempt
	onCrash func()
}

func newSimUpstream(clock func() time.Time) simUpstream {
	t := suspect.NewTable(clock)
	return simUpstream{suspects: t, owner: &Owner{cfg: OwnerConfig{Suspects: t, Now: clock}, recent: suspect.NewRecent(clock)}, local: &localUpstream{}, runs: map[int]*simRun{}}
}

// simCrashes records crashes and the calls affected by them.
type simCrashes struct {
	// times are the times of all crashes. crashesByPath and runsByPath hold, by the path
	// of a poison request, the times of the crashes it caused and of its runs. All are in
	// order of time.
	times         []time.Time
	crashesByPath map[string][]time.Time
	runsByPath    map[string][]time.Time
	// wronglyRefused counts the calls refused as quarantined although they are not poison
	// requests.
	wronglyRefused int
	requests       int
}

func (c *simCrashes) recordResult(k *simKind, r outcome.Result) {
	if r.Reason == outcome.ReasonQuarantined && !k.poison {
		c.wronglyRefused++
	}
}

// newPath returns the path of a new request of a kind.
func (s *fleetSim) newPath(k *simKind) string {
	s.crashes.requests++
	if k.poison || s.crashes.requests%int(1/simPopularShare) == 0 {
		return "/" + k.route.Name
	}
	return fmt.Sprintf("/%s/%d", k.route.Name, s.crashes.requests)
}

// refusalOnArrival merges the suspect record that an attempt brings from its sender, and
// returns the reason why the attempt is refused before it reaches the gate, or "".
func (s *fleetSim) refusalOnArrival(from, to *simVM, c *call) outcome.Reason {
	if to.down {
		return outcome.ReasonUnreachable
	}
	if !to.suspects.Any() && !from.suspects.Any() {
		return ""
	}
	if rec, ok := from.suspects.Record(c.attempt.digest()); ok && len(rec.Crashes) > 0 {
		to.suspects.Merge(rec)
	}
	if _, refused := quarantined(to.suspects, &c.attempt, s.now); refused {
		return outcome.ReasonQuarantined
	}
	return ""
}

// simCallerLeft is the status of a run whose caller has left. The upstream may still run it.
const simCallerLeft = 0

// startRun starts an attempt that has a slot, or returns the reason why it must not run.
// onCrash is called if the upstream crashes during the run; otherwise the caller must
// call finish.
func (s *fleetSim) startRun(vm *simVM, k *simKind, c *call, onCrash func()) (finish func(status int), refusal outcome.Reason) {
	a := c.attempt
	a.Upstream = vm.id
	if refusal := vm.owner.checkSuspect(vm.local, &a); refusal.Reason != "" {
		return nil, refusal.Reason
	}
	s.propagate(vm)
	if k.poison {
		s.crashes.runsByPath[c.attempt.URL.Path] = append(s.crashes.runsByPath[c.attempt.URL.Path], s.now)
		s.after(simCrashDelay, func() {
			if !vm.down {
				s.crashes.crashesByPath[a.URL.Path] = append(s.crashes.crashesByPath[a.URL.Path], s.now)
				s.crashUpstream(vm)
			}
		})
	}
	s.seq++
	id, began := s.seq, s.now
	vm.runs[id] = &simRun{attempt: &a, onCrash: onCrash}
	return func(status int) {
		delete(vm.runs, id)
		if status == simCallerLeft {
			vm.owner.abandonAttempt(vm.local, &a, began)
			return
		}
		vm.owner.endAttempt(vm.local, &a)
		vm.owner.recordAnswer(&a, status)
		s.propagate(vm)
	}, ""
}

// crashUpstream crashes the upstream of a VM with all attempts that it is running.
func (s *fleetSim) crashUpstream(vm *simVM) {
	if vm.down {
		return
	}
	vm.down = true
	vm.simUpstream.crashCount++
	s.crashes.times = append(s.crashes.times, s.now)
	var runs []*simRun
	for _, id := range slices.Sorted(maps.Keys(vm.runs)) {
		runs = append(runs, vm.runs[id])
	}
	clear(vm.runs)
	vm.local.attempts.expire(s.now)
	c := crash{n: vm.simUpstream.crashCount, culprit: vm.local.attempts.culprit(vm.suspects)}
	for _, r := range runs {
		vm.owner.endAttempt(vm.local, r.attempt)
		vm.owner.recordCrash(r.attempt, c)
	}
	vm.owner.recordAbandoned(vm.local, vm.id, c)
	for _, r := range runs {
		r.onCrash()
	}
	s.deliverDecisions(vm)
	s.propagate(vm)
	s.after(simRestartTime, func() { vm.down = false })
}

// propagate sends the changed suspect records of a VM to all others, with a delay.
func (s *fleetSim) propagate(vm *simVM) {
	changes := vm.suspects.Changes()
	if len(changes) == 0 {
		return
	}
	vm.clearAnswered(changes)
	s.after(simPropagationDelay, func() {
		for _, other := range s.vms {
			for _, c := range changes {
				other.suspects.Merge(c.Record)
			}
			other.clearAnswered(other.suspects.Changes())
			s.propagate(other)
		}
	})
}

// clearAnswered lets a VM's owner clear newly quarantined requests that it answered
// recently.
func (vm *simVM) clearAnswered(changes []suspect.Change) {
	for _, c := range changes {
		if !c.WasQuarantined {
			vm.owner.ClearIfAnswered(c.Record)
		}
	}
}

// poisonKind returns a poison request that is sent 8 times per second in total, through
// any VM of its caller, and sent again by its callers as other calls are.
func poisonKind(name string, vms int) *simKind {
	p := config.Policy{Name: name, Urgency: 14, Objective: 300 * time.Millisecond, Timeout: time.Second, Retries: 1, Repeatable: []string{http.MethodGet}}
	return &simKind{
		route: &view.Route{Name: name, Policy: p}, service: "large", ratePerVM: 8 / float64(vms), work: time.Hour,
		deadline: 2 * time.Second, poison: true,
	}
}

// runWithCrashes simulates a fleet and returns it. disturb is called before the start and
// schedules poison requests or other crashes, if any.
func runWithCrashes(n int, length time.Duration, seed uint64, disturb func(*fleetSim)) *fleetSim {
	s := newFleetSim(n, bankLoad(0.8), length, seed)
	disturb(s)
	s.run()
	return s
}

// withPoisonRequests sends the given number of different poison requests from second 3
// on.
func withPoisonRequests(requests int) func(*fleetSim) {
	return func(s *fleetSim) {
		var from []*simVM
		for _, vm := range s.vms {
			if vm.service == "large" {
				from = append(from, vm)
			}
		}
		for i := range requests {
			k := poisonKind(fmt.Sprintf("deadly-%d", i), len(from))
			s.after(3*time.Second, func() {
				for _, vm := range from {
					s.arrivals(vm, k)
				}
			})
		}
	}
}

// crashTally sums up the effects of poison requests.
type crashTally struct{ crashes, runs, lateRuns, wronglyRefused, calls int }

// tallyCrashes returns the tally of a simulation. Late runs are the runs of a poison
// request that began after its third crash was known everywhere; with several poison
// requests, the one with the most late runs counts.
func (s *fleetSim) tallyCrashes() crashTally {
	const propagationTime = 3 * time.Second
	t := crashTally{crashes: len(s.crashes.times), wronglyRefused: s.crashes.wronglyRefused, calls: s.crashes.requests}
	for path, runs := range s.crashes.runsByPath {
		t.runs += len(runs)
		late := 0
		for _, at := range runs {
			if crashes := s.crashes.crashesByPath[path]; len(crashes) >= suspect.QuarantineThreshold && at.After(crashes[suspect.QuarantineThreshold-1].Add(propagationTime)) {
				late++
			}
		}
		t.lateRuns = max(t.lateRuns, late)
	}
	return t
}

// maxLateRuns is how often one of two poison requests may run once all daemons could know of
// it.
const maxLateRuns = 3

// TestFleetQuarantinesPoisonRequests simulates fleets with one or two poison requests
// that are sent 8 times per second, through any VM, and sent again by their callers. One
// such request was seen to cause 24 crashes of 8 upstreams within 8 s. Poison requests
// must cause few crashes, and none once all daemons may know of them. No other call may
// be refused as quarantined, even if it ran beside a poison request several times or has
// many copies running at once.
func TestFleetQuarantinesPoisonRequests(t *testing.T) {
	const (
		// maxRefusedShare is the fraction of other calls that may be refused where two
		// poison requests crash most of a small fleet within a second, so that the same
		// calls run beside them repeatedly.
		maxRefusedShare = 1.0 / 500
	)
	for _, tc := range []struct {
		vms, requests int
		length        time.Duration
		seeds         uint64
	}{{11, 1, 8 * time.Second, 100}, {11, 2, 12 * time.Second, 60}, {95, 1, 20 * time.Second, 4}, {95, 2, 20 * time.Second, 2}, {930, 1, 8 * time.Second, 1}} {
		t.Run(fmt.Sprintf("%d-vms-%d-requests", tc.vms, tc.requests), func(t *testing.T) {
			var sum crashTally
			for seed := range tc.seeds {
				t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
					s := runWithCrashes(tc.vms, tc.length, seed, withPoisonRequests(tc.requests))
					got := s.tallyCrashes()
					lateLimit, refusedLimit := 0, 0
					if tc.requests > 1 {
						lateLimit, refusedLimit = maxLateRuns, int(maxRefusedShare*float64(s.crashes.requests))
					}
					if got.crashes < suspect.QuarantineThreshold || got.crashes > 2*tc.requests*suspect.QuarantineThreshold || got.lateRuns > lateLimit || got.wronglyRefused > refusedLimit {
						t.Errorf("%+v", got)
					}
					sum.add(got)
				})
			}
			t.Logf("mean of %.1f crashes and %.1f runs over %d seeds; %d other calls refused of %d calls in total",
				float64(sum.crashes)/float64(tc.seeds), float64(sum.runs)/float64(tc.seeds), tc.seeds, sum.wronglyRefused, sum.calls)
		})
	}
}

// TestFleetQuarantinesPoisonRequestsOfCallersWhoLeave guards against a poison request that is not
// contained, or harms others, where callers of all requests leave at any moment, many of them
// before the crash.
func TestFleetQuarantinesPoisonRequestsOfCallersWhoLeave(t *testing.T) {
	for _, tc := range []struct {
		leaveShare float64
		seeds      uint64
	}{{0.3, 60}, {0.9, 40}} {
		t.Run(fmt.Sprint(tc.leaveShare), func(t *testing.T) {
			var sum crashTally
			for seed := range tc.seeds {
				got := runWithCrashes(11, 8*time.Second, seed, func(s *fleetSim) {
					s.leaveShare = tc.leaveShare
					withPoisonRequests(1)(s)
				}).tallyCrashes()
				if got.crashes < suspect.QuarantineThreshold || got.crashes > 2*suspect.QuarantineThreshold || got.lateRuns > 0 || got.wronglyRefused > 0 {
					t.Errorf("seed %d: %+v", seed, got)
				}
				sum.add(got)
			}
			t.Logf("mean of %.1f crashes over %d seeds; %d other calls refused of %d calls in total", float64(sum.crashes)/float64(tc.seeds), tc.seeds, sum.wronglyRefused, sum.calls)
		})
	}
}

// TestFleetStopsPoisonRequestOfLeavingCallers guards against copies of a poison request that start
// once all daemons could know of it, where nine of ten callers leave.
func TestFleetStopsPoisonRequestOfLeavingCallers(t *testing.T) {
	const seed = 99
	got := runWithCrashes(11, 8*time.Second, seed, func(s *fleetSim) {
		s.leaveShare = 0.9
		withPoisonRequests(1)(s)
	}).tallyCrashes()
	if got.lateRuns > 0 {
		t.Errorf("seed %d: %d runs once all daemons could know of the request, want none", seed, got.lateRuns)
	}
}

// TestFleetQuarantinesNoBystanders guards against calls that are refused as quarantined
// because they ran beside a poison request at upstreams that crashed within the time that a
// record takes to reach the other daemons. With these seeds one to three calls were refused.
func TestFleetQuarantinesNoBystanders(t *testing.T) {
	for _, seed := range []uint64{17, 114, 256} {
		got := runWithCrashes(11, 8*time.Second, seed, withPoisonRequests(1)).tallyCrashes()
		if got.wronglyRefused > 0 {
			t.Errorf("seed %d: %d of %d calls refused, want none", seed, got.wronglyRefused, got.calls)
		}
	}
}

// TestFleetStopsSecondPoisonRequest guards against copies of a poison request that start at several
// upstreams when these return at the same time, after crashes of which none could be attributed to
// it.
func TestFleetStopsSecondPoisonRequest(t *testing.T) {
	const seed = 291
	got := runWithCrashes(11, 12*time.Second, seed, withPoisonRequests(2)).tallyCrashes()
	if got.lateRuns > maxLateRuns {
		t.Errorf("seed %d: %d runs once all daemons could know of the request, want at most %d", seed, got.lateRuns, maxLateRuns)
	}
}

func (t *crashTally) add(o crashTally) {
	t.wronglyRefused += o.wronglyRefused
	t.calls += o.calls
	t.crashes += o.crashes
	t.runs += o.runs
}

// TestFleetServesOthersDespitePoisonRequest compares the value that the callers of a
// large fleet get with and without a poison request: with it, the value may be lower by
// 0.01 at most.
func TestFleetServesOthersDespitePoisonRequest(t *testing.T) {
	for seed := range uint64(2) {
		poisoned := runWithCrashes(95, 20*time.Second, seed, withPoisonRequests(1))
		baseline := runWithCrashes(95, 20*time.Second, seed, func(*fleetSim) {})
		t.Logf("seed %d: value share %.4f, without the poison request %.4f", seed, poisoned.valueShare(), baseline.valueShare())
		if poisoned.valueShare() < baseline.valueShare()-0.01 {
			t.Errorf("seed %d: value share %.4f, more than 0.01 below the %.4f without the poison request", seed, poisoned.valueShare(), baseline.valueShare())
		}
	}
}

// TestUnrelatedCrashesQuarantineNothing crashes a fifth of the upstreams of a fleet for
// reasons unrelated to requests, after it has run for 12 s: first all at once, then one
// after the other. No request that was running there may be quarantined or refused for
// it.
func TestUnrelatedCrashesQuarantineNothing(t *testing.T) {
	for seed := range uint64(4) {
		s := runWithCrashes(95, 24*time.Second, seed, func(s *fleetSim) {
			s.after(12*time.Second, func() {
				for _, i := range s.rng.Perm(len(s.vms))[:len(s.vms)/5] {
					s.crashUpstream(s.vms[i])
				}
			})
			for i := range len(s.vms) / 5 {
				s.after(17*time.Second+time.Duration(i)*200*time.Millisecond, func() { s.crashUpstream(s.vms[s.rng.IntN(len(s.vms))]) })
			}
		})
		quarantinedCount := 0
		for _, r := range s.vms[0].suspects.Records() {
			if r.Quarantined() {
				quarantinedCount++
			}
		}
		t.Logf("seed %d: %d crashes, %d requests quarantined, %d calls refused for it, value share %.4f", seed, len(s.crashes.times), quarantinedCount, s.crashes.wronglyRefused, s.valueShare())
		if quarantinedCount > 0 || s.crashes.wronglyRefused > 0 {
			t.Errorf("seed %d: %d requests quarantined and %d calls refused, want none", seed, quarantinedCount, s.crashes.wronglyRefused)
		}
	}
}
