package callpath

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/admission"
)

// simPace is the pace of a VM, which changes over time. The zero value is always 1 and never
// reported.
type simPace struct {
	// slowFactor is the pace during the slow spans, which are in order of time.
	slowFactor float64
	slowSpans  []simSpan
	// reported is set if the upstream reports its pace in its responses.
	reported bool
	// atStart is set if a run takes the pace of its start to its end; otherwise each part of a
	// run has the pace of that time.
	atStart bool
}

type simSpan struct{ from, to time.Time }

// at returns the pace at a time, and the time until which it stays the same; zero: for ever.
func (p *simPace) at(now time.Time) (pace float64, until time.Time) {
	for _, span := range p.slowSpans {
		switch {
		case now.Before(span.from):
			return 1, span.from
		case now.Before(span.to):
			return p.slowFactor, span.to
		}
	}
	return 1, time.Time{}
}

// timeAtPace returns how long a run takes that begins now and would take the given time at pace 1.
func (p *simPace) timeAtPace(began time.Time, work time.Duration) time.Duration {
	now, left := began, float64(work)
	for {
		pace, until := p.at(now)
		ends := now.Add(time.Duration(left * pace))
		if until.IsZero() || p.atStart || !ends.After(until) {
			return ends.Sub(began)
		}
		left -= float64(until.Sub(now)) / pace
		now = until
	}
}

// reportPace passes the pace to the gate, as the owner does with that of a response.
func (p *simPace) reportPace(g *admission.Gate, now time.Time) {
	if p.reported {
		pace, _ := p.at(now)
		g.RecordPace(pace)
	}
}

// A deployment with uneven upstreams: the times that work takes at them relative to the usual, and
// the fraction of the time in which it takes paceSlowFactor times as long, in spans of
// paceSlowSpan.
const (
	paceSlowShare  = 0.15
	paceSlowFactor = 2.5
	paceSlowSpan   = 600 * ms
)

var paceWorkFactors = []float64{0.7, 0.7, 1.7}

// unevenFleet returns a simulation of 46 upstreams with 6 slots each whose pace varies, under a
// load of factor times their mean capacity.
func unevenFleet(factor float64, reported, atStart bool, length time.Duration, seed uint64) *fleetSim {
	const upstreams, slots = 46, 6
	work := 130 * ms
	speed := 0.0
	for _, f := range paceWorkFactors {
		speed += 1 / f / float64(len(paceWorkFactors))
	}
	capacityPerVM := slots / work.Seconds() * speed * (1 - paceSlowShare + paceSlowShare/paceSlowFactor)
	s := newFleetSim(upstreams, simLoad{slots: slots, domains: 3, largeShare: 1, speeds: []float64{1}, kinds: []*simKind{{
		route: simRoute("query", 14, 500*ms, 1500*ms, true), service: "large", ratePerVM: factor * capacityPerVM,
		work: work, spread: 0.5, deadline: 3000 * ms, lateValue: 0.5, value: 1,
	}}}, length, seed)
	rng := rand.New(rand.NewPCG(seed, 2))
	for i, vm := range s.vms {
		vm.speed = 1 / paceWorkFactors[i%len(paceWorkFactors)]
		vm.simPace = simPace{slowFactor: paceSlowFactor, slowSpans: randomSlowSpans(rng, s.now, s.end), reported: reported, atStart: atStart}
	}
	return s
}

// randomSlowSpans returns spans of about paceSlowSpan that cover paceSlowShare of the time.
func randomSlowSpans(rng *rand.Rand, from, to time.Time) []simSpan {
	var spans []simSpan
	usual := float64(paceSlowSpan) * (1 - paceSlowShare) / paceSlowShare
	for at := from; at.Before(to); {
		at = at.Add(time.Duration(rng.ExpFloat64() * usual))
		end := at.Add(time.Duration((0.5 + rng.Float64()) * float64(paceSlowSpan)))
		spans = append(spans, simSpan{at, end})
		at = end
	}
	return spans
}

// answeredInTime returns the fractions of the calls of all fleets that were answered within their
// objective, late, and not at all.
func answeredInTime(fleets []*fleetSim) (inTime, late, refused float64) {
	n := 0.0
	for _, s := range fleets {
		k := s.kinds[0]
		inTime += float64(k.inTime)
		late += float64(k.late)
		refused += float64(k.refused + k.failed)
		n += float64(k.inTime + k.late + k.refused + k.failed)
	}
	return inTime / n, late / n, refused / n
}

// TestPaceAvoidsUpstreamsThatAreSlowNow simulates uneven upstreams whose speed changes several
// times in a few seconds. The failure: owners admitted, and ingress daemons selected, by service
// times that were right on average only, so that calls came late at upstreams that were slow at
// that moment.
func TestPaceAvoidsUpstreamsThatAreSlowNow(t *testing.T) {
	const load, seeds = 0.85, 3
	for _, atStart := range []bool{false, true} {
		run := func(reported bool) (inTime, late, refused float64) {
			fleets := make([]*fleetSim, seeds)
			var wg sync.WaitGroup
			for seed := range fleets {
				wg.Go(func() {
					fleets[seed] = unevenFleet(load, reported, atStart, 20*time.Second, uint64(seed))
					fleets[seed].run()
				})
			}
			wg.Wait()
			return answeredInTime(fleets)
		}
		inTime, late, refused := run(false)
		t.Logf("pace of the start kept %v, without the pace: in time %.4f, late %.4f, not answered %.4f", atStart, inTime, late, refused)
		withPace, late, refused := run(true)
		t.Logf("pace of the start kept %v, with the pace: in time %.4f, late %.4f, not answered %.4f", atStart, withPace, late, refused)
		if withPace < inTime+0.004 {
			t.Errorf("answered in time: %.4f with the pace, %.4f without, want 0.004 more", withPace, inTime)
		}
	}
}
