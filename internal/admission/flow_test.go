package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
)

// simulateFlows simulates an upstream with six slots and a service time of 150 ms for a
// minute: nine workspaces offer 3 calls per second each and one offers 7.5 times as many,
// together a quarter more than the upstream can serve. It returns the fraction of each
// workspace's calls that was served. Without flows, all calls belong to the same flow.
func simulateFlows(withFlows bool) (servedFractions []float64) {
	const (
		workspaces  = 10
		slots       = 6
		tick        = time.Millisecond
		serviceTime = 150 * time.Millisecond
		duration    = 60 * time.Second
	)
	at := time.Unix(1000, 0)
	g := New(func() time.Time { return at }, slots, slots, at.Add(-time.Hour))
	offered, served := make([]int, workspaces), make([]int, workspaces)
	var ends []time.Time
	waiting := map[*Waiter]int{}
	rng := rand.New(rand.NewPCG(1, 1))
	start := func(i int) {
		served[i]++
		ends = append(ends, at.Add(serviceTime))
	}
	for startedAt := at; at.Sub(startedAt) < duration; at = at.Add(tick) {
		for len(ends) > 0 && !ends[0].After(at) {
			ends = ends[1:]
			g.Release(serviceTime)
		}
		for w, i := range waiting {
			select {
			case <-w.Decided():
				if w.Refused() == "" {
					start(i)
				}
				delete(waiting, w)
			default:
			}
		}
		for i := range workspaces {
			rate := 3.0
			if i == 0 {
				rate *= 7.5
			}
			if rng.Float64() > rate*tick.Seconds() {
				continue
			}
			offered[i]++
			a := Request{Urgency: config.Normal, Deadline: at.Add(2 * time.Second), Objective: at.Add(time.Second)}
			if withFlows {
				a.Flow = fmt.Sprint("ws", i)
			}
			w, reason, _ := g.Enter(a)
			switch {
			case w != nil:
				waiting[w] = i
			case reason == "":
				start(i)
			}
		}
	}
	for i := range workspaces {
		servedFractions = append(servedFractions, float64(served[i])/float64(offered[i]))
	}
	return servedFractions
}

// jain is Jain's fairness index: 1 if all values are equal.
func jain(x []float64) float64 {
	var sum, squares float64
	for _, v := range x {
		sum += v
		squares += v * v
	}
	return sum * sum / (float64(len(x)) * squares)
}

// TestOneWorkspaceDoesNotStarveOthers checks that workspaces which offer less than their
// even share are served, however many calls another one offers, and that the slots they
// leave free are used.
func TestOneWorkspaceDoesNotStarveOthers(t *testing.T) {
	is := is.New(t)
	byFlow, byArrival := simulateFlows(true), simulateFlows(false)
	t.Logf("served fractions by flow %.2f, by arrival %.2f; Jain's index of the workspaces within their share %.3f and %.3f", byFlow, byArrival, jain(byFlow[1:]), jain(byArrival[1:]))
	for _, fraction := range byFlow[1:] {
		is.True(fraction > 0.9)
	}
	least := 1.0
	for _, fraction := range byArrival[1:] {
		least = min(least, fraction)
	}
	is.True(least < 0.95)        // without flows, others are starved
	is.True(byFlow[0] > 0.4)     // slots that others leave free are used
	is.True(jain(byFlow) < 0.99) // the workspace above its share is refused more
}

// TestIdleFlowsAreEvicted bounds the memory of a gate that sees 10,000 workspaces once
// each.
func TestIdleFlowsAreEvicted(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	g := New(func() time.Time { return at }, 1, 4, at.Add(-time.Hour))
	g.Enter(Request{Urgency: config.Normal, Deadline: at.Add(time.Hour)})
	most := 0
	for i := range 10_000 {
		g.Enter(Request{Urgency: config.Normal, Flow: fmt.Sprint("ws", i), Deadline: at.Add(time.Hour)})
		g.Release(time.Millisecond)
		most = max(most, len(g.flows.nextStart))
	}
	is.True(most <= maxFlows)
}
