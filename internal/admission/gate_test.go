package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// TestSteadyOverloadYieldsFewLateAnswers offers an upstream with 18 slots more than twice
// the load that it can serve for a minute: calls of about 600 ms with an objective of a
// second. Calls that are served must not have waited so long that a call of average
// length comes late, and the slots must stay busy. On the busiest days of the larger
// deployments, a queue as long as the number of slots made 19,891 of 26,002 answers late.
func TestSteadyOverloadYieldsFewLateAnswers(t *testing.T) {
	const service, objective = 600 * time.Millisecond, time.Second
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 3))
	at := time.Unix(1000, 0)
	g := New(func() time.Time { return at }, 18, 18, time.Time{})
	g.Release(service) // sets the measured service time
	g.inFlight = 0
	type call struct {
		*Waiter
		arrived, started time.Time
		took             time.Duration
	}
	var queue, running []call
	served, late, refused, idle := 0, 0, 0, 0
	start := func(c call) {
		c.started = at
		c.took = time.Duration((0.5 + 0.5*rng.ExpFloat64()) * float64(service))
		running = append(running, c)
		served++
		if at.Sub(c.arrived)+service > objective {
			late++
		}
	}
	for ms := range 60_000 {
		at = at.Add(time.Millisecond)
		running = slices.DeleteFunc(running, func(c call) bool {
			ended := !c.started.Add(c.took).After(at)
			if ended {
				g.Release(c.took)
			}
			return ended
		})
		for len(queue) > 0 && isDecided(queue[0].Waiter) {
			start(queue[0])
			queue = queue[1:]
		}
		if ms%20 == 0 || ms%60 == 10 || ms%60 == 30 { // 83 per second; the slots serve 30
			w, reason, _ := g.Enter(Request{
				Urgency: config.Normal, Deadline: at.Add(6 * time.Second), Objective: at.Add(objective),
			})
			switch {
			case reason != "":
				refused++
			case w == nil:
				start(call{arrived: at})
			default:
				queue = append(queue, call{Waiter: w, arrived: at})
			}
		}
		if ms > 1000 && len(running) < 18 {
			idle++
		}
	}
	t.Logf("served %d, %d late, refused %d, %d ms with an idle slot", served, late, refused, idle)
	is.True(late*5 < served)
	is.True(served > 1700) // 30 per second for a minute: 1,800
	is.True(refused > 0)
}

func isDecided(w *Waiter) bool {
	select {
	case <-w.decided:
		return true
	default:
		return false
	}
}

// TestCallsPastTheirObjectiveMayQueueBriefly checks that a call which has missed its
// objective may still wait in a short queue: its answer is worth less, but not nothing.
func TestCallsPastTheirObjectiveMayQueueBriefly(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	g := New(func() time.Time { return at }, 8, 8, time.Time{})
	g.Release(time.Second)
	g.inFlight = 8
	late := Request{Urgency: config.Normal, Deadline: at.Add(time.Minute), Objective: at.Add(-time.Second)}
	for range 2 { // a quarter of the service time: two places of eight
		_, reason, _ := g.Enter(late)
		is.Equal(reason, outcome.Reason(""))
	}
	_, reason, _ := g.Enter(late)
	is.Equal(reason, outcome.ReasonOverload)
}
