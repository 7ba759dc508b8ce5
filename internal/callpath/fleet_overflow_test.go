package callpath

import (
	"testing"
	"time"
)

// overflowLoad is a service whose demand swings by 0.5 around 0.75 of its capacity, in one
// failure domain after the other: each domain has a peak of 1.1 times its own capacity while
// the fleet as a whole has room.
func overflowLoad() simLoad {
	const vms, slots, work = 60, 6, 150 * ms
	l := simLoad{slots: slots, domains: 3, largeShare: 1, speeds: []float64{1}, kinds: []*simKind{{
		route: simRoute("query", 14, 500*ms, 1500*ms, true), service: "large", ratePerVM: 0.75 * slots / work.Seconds(),
		work: work, spread: 0.5, deadline: 3000 * ms, lateValue: 0.5, value: 1,
	}}}
	l.loadControl, l.swing, l.swingPeriod = true, 0.5, 8*time.Second
	return l
}

// TestPeakOfOneDomainIsServedByOthers simulates demand that peaks in one failure domain at a
// time. It guards against calls that are refused in the domain of the peak while other domains have
// free slots, as if the cost of bytes between domains were multiplied by eight wherever a call goes.
func TestPeakOfOneDomainIsServedByOthers(t *testing.T) {
	const length, minInTime = 20 * time.Second, 0.95
	for seed := range uint64(3) {
		s := newFleetSim(60, overflowLoad(), length, seed)
		for _, vm := range s.vms {
			vm.ingress.Update(vm.ingress.view.Load())
		}
		s.run()
		k := s.kinds[0]
		for from := meshWarmUp; from < 20-meshCoolDown; from += 2 {
			share := k.inTimeShare(from, from+2)
			t.Logf("seed %d, from second %d: %.3f in time", seed, from, share)
			if share < minInTime {
				t.Errorf("seed %d: %.3f of the calls from second %d on in time", seed, share, from)
			}
		}
		t.Logf("seed %d: %d refused of %d, %.3f of the attempts left their domain", seed, k.refused, k.sent, float64(s.crossDomain)/float64(s.attempts))
	}
}
