package callpath

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
)

// playBelow offers requests, each with two calls at once to a service below that
// has room for some calls a second and a queue for a tenth of a second. It
// returns which part of the requests succeeded, and which part of the calls that
// ran was lost work.
func playBelow(guarded bool, perSecond, room float64) (succeeded, wasted float64) {
	rng := rand.New(rand.NewPCG(7, 7))
	at := time.Unix(1000, 0)
	b := newBelow(func() time.Time { return at }, rng.Float64)
	free := 0.0 // room for calls
	call := func() int {
		served := free >= 1 && rng.Float64() < free/(room/20) // fuller, more are refused
		b.note(config.Normal, !served)
		if !served {
			return 0
		}
		free--
		return 1
	}
	offered, done, ran, lost := 0, 0, 0, 0
	for range 40_000 { // of 1 ms
		at = at.Add(time.Millisecond)
		free = min(room/10, free+room/1000)
		if rng.Float64() > perSecond/1000 {
			continue
		}
		offered++
		if guarded && !b.admits(config.Normal) {
			continue
		}
		ok := call() + call()
		ran += ok
		switch ok {
		case 2:
			done++
		case 1:
			lost++
		}
	}
	return float64(done) / float64(offered), float64(lost) / float64(max(1, ran))
}

// TestRequestsWhoseCallsWouldFailAreRefusedFirst covers a service whose requests
// make two calls each to one that has room for 0.7 of them. Grounds: the busiest
// days, where 0.34 of all runs of the upper service failed for this.
func TestRequestsWhoseCallsWouldFailAreRefusedFirst(t *testing.T) {
	is := is.New(t)
	without, lost := playBelow(false, 100, 140)
	with, less := playBelow(true, 100, 140)
	t.Logf("succeeded %.2f -> %.2f of at most 0.70, calls in vain %.2f -> %.2f", without, with, lost, less)
	is.True(with > without+0.05)
	is.True(less < lost/2)
	calm, _ := playBelow(true, 100, 400)
	is.Equal(calm, 1.0) // nothing is refused while the calls are served
}

// TestRefusingEndsWithItsCause: the urgency of others is not touched, and the
// upstream is tried again however bad it was.
func TestRefusingEndsWithItsCause(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	b := newBelow(func() time.Time { return at }, func() float64 { return 0.5 })
	for range 100 {
		b.note(config.Normal, true)
	}
	is.True(!b.admits(config.Normal))
	is.True(b.admits(config.Critical))
	b.random = func() float64 { return 0.05 }
	is.True(b.admits(config.Normal)) // one in ten finds out
	b.random = func() float64 { return 0.5 }
	at = at.Add(5 * time.Second)
	is.True(b.admits(config.Normal)) // no news for long
}
