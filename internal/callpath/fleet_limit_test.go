package callpath

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/admission"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/ratelimit"
)

// simRateLimit is the rate limit of a simulated upstream.
type simRateLimit struct {
	// stated is the limit that the upstream states in its answers, known what its owner
	// knows of it.
	stated float64
	known  *ratelimit.Limit
	// arrivals are the requests that reached the upstream, in order of time.
	arrivals []time.Time
	// changes are the limits that the upstream has stated, in order of time.
	changes []simLimitChange
}

type simLimitChange struct {
	at    time.Time
	limit float64
}

// startOwner starts the daemon of a VM, for the first time or again: what its owner knows of
// the upstream is lost, and waiting attempts are refused.
func (s *fleetSim) startOwner(vm *simVM) {
	if vm.gate == nil {
		vm.stated = admission.Unlimited
	} else {
		vm.gate.Close(outcome.ReasonUpstreamRemoved)
		s.deliverDecisions(vm)
	}
	vm.gate = admission.New(func() time.Time { return s.now }, s.load.slots, s.load.slots, time.Time{})
	vm.gate.SetTimer(func(d time.Duration, f func()) {
		s.after(d, func() {
			f()
			s.deliverDecisions(vm)
		})
	})
	vm.known = ratelimit.New(vm.gate.SetRate)
}

// state makes the upstream state a limit from now on.
func (s *fleetSim) state(vm *simVM, limit float64) {
	vm.stated = limit
	vm.changes = append(vm.changes, simLimitChange{s.now, limit})
}

const (
	// A limit holds in every limitWindow from limitContactTime after it was first stated:
	// limitExcess times what it allows, and limitSlack requests.
	limitWindow      = 4 * time.Second
	limitContactTime = 3 * time.Second
	limitExcess      = 1.5
	limitSlack       = 5
)

// worstExcess returns by how many requests the upstream got more than its limits allow, in the
// worst window; negative: it got less in each.
func (l *simRateLimit) worstExcess() float64 {
	if len(l.changes) == 0 {
		return -limitSlack
	}
	from := l.changes[0].at.Add(limitContactTime)
	worst, first := -float64(limitSlack), 0
	for last, at := range l.arrivals {
		if at.Before(from) {
			first = last + 1
			continue
		}
		for at.Sub(l.arrivals[first]) >= limitWindow {
			first++
		}
		worst = max(worst, float64(last-first+1)-limitExcess*l.allowed(at)-limitSlack)
	}
	return worst
}

// allowed returns how many requests the limits allow in the window that ends at the time. A
// change counts as of contact time after it, or at once if it raises the limit.
func (l *simRateLimit) allowed(until time.Time) float64 {
	const step = 10 * time.Millisecond
	total := 0.0
	for at := until.Add(-limitWindow); at.Before(until); at = at.Add(step) {
		limit := 0.0
		for i, c := range l.changes {
			superseded := i+1 < len(l.changes) && !at.Before(l.changes[i+1].at.Add(limitContactTime))
			if !at.Before(c.at) && !superseded {
				limit = max(limit, c.limit)
			}
		}
		total += limit * step.Seconds()
	}
	return total
}

// TestFleetKeepsRateLimits simulates fleets in which a third of the upstreams state rate
// limits below what they would get, some change or drop them, and some of their daemons
// restart. No upstream may get more than its limits allow, over all daemons. The failure: an
// upstream with a limit of 69 per second got 178.
func TestFleetKeepsRateLimits(t *testing.T) {
	for _, size := range []int{11, 40} {
		for name, load := range map[string]func(float64) simLoad{"bank": bankLoad, "few-slots": fewSlotsLoad} {
			t.Run(fmt.Sprintf("%d-vms-%s", size, name), func(t *testing.T) {
				t.Parallel()
				const seeds = 12
				var mu sync.Mutex
				var wg sync.WaitGroup
				value, restarts := 0.0, 0
				for seed := range uint64(seeds) {
					wg.Go(func() {
						s := newFleetSim(size, load(0.8), 20*time.Second, seed)
						n := s.limitRandomly(rand.New(rand.NewPCG(seed, 7)))
						s.run()
						mu.Lock()
						defer mu.Unlock()
						value, restarts = value+s.valueShare()/seeds, restarts+n
						for _, vm := range s.vms {
							if excess := vm.worstExcess(); excess > 0 {
								t.Errorf("seed %d: upstream %s got %.0f requests more than its limits allow: %v", seed, vm.id, excess, vm.changes)
							}
						}
					})
				}
				wg.Wait()
				t.Logf("value %.3f of what all calls are worth, %d restarts", value, restarts)
			})
		}
	}
}

// restartsInARow is how often a daemon restarts within some 3 s.
const restartsInARow = 4

// limitRandomly makes a third of the upstreams state limits, and returns how many restarts of
// their daemons it planned.
func (s *fleetSim) limitRandomly(rng *rand.Rand) (restarts int) {
	within := func(from, to float64) time.Duration {
		return time.Duration((from + rng.Float64()*(to-from)) * float64(time.Second))
	}
	for _, vm := range s.vms {
		if rng.IntN(3) > 0 {
			continue
		}
		s.after(within(1, 6), func() { s.state(vm, 0.2+rng.Float64()*30) })
		if rng.IntN(2) == 0 {
			s.after(within(6, 14), func() { s.state(vm, 0.2+rng.Float64()*30) })
		}
		if rng.IntN(2) == 0 {
			at := within(7, 16)
			for i := range restartsInARow {
				restarts++
				s.after(at+time.Duration(i)*within(0.5, 0.9), func() { s.startOwner(vm) })
			}
		}
	}
	return restarts
}
