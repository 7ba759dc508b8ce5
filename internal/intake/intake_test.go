package intake

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// narrowLink simulates a VM's link, which transfers one message after the other.
type narrowLink struct {
	bytesPerSecond float64
	freeAt         time.Time
}

// pass sends a message at the given time and returns how long it takes to arrive.
func (l *narrowLink) pass(at time.Time, size int64) time.Duration {
	l.freeAt = later(at, l.freeAt).Add(time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt.Sub(at)
}

// TestShortCallsAreNotDelayedByLongBodies guards against long bodies that fill a VM's
// link. It simulates links of 6 Mbit/s whose upstream receives bodies of 60 KB and, ten
// times as often, short calls on which other services wait while they hold a slot. At 12
// bodies a second, of which the link can carry 8, the short calls waited until their
// deadline of one second and the calls that had made them failed. The sizes and rates are
// those of the larger deployments.
func TestShortCallsAreNotDelayedByLongBodies(t *testing.T) {
	const body, short = 60_000, 1_000
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	at := time.Unix(1000, 0)
	link := narrowLink{bytesPerSecond: 6e6 / 8}
	in := New(6, func() time.Time { return at })
	type arrival struct {
		at   time.Time
		size int64
	}
	var waiting []arrival
	passed, refused, worst := 0, 0, time.Duration(0)
	for range 10_000 { // steps of 1 ms
		at = at.Add(time.Millisecond)
		if rng.Float64() < 0.012 {
			if t, _, ok := in.Reserve(body, at.Add(10*time.Second)); ok {
				waiting = append(waiting, arrival{t.start, body})
			} else {
				refused++
			}
		}
		for len(waiting) > 0 && !waiting[0].at.After(at) {
			link.pass(at, body)
			waiting = waiting[1:]
			passed++
		}
		if rng.Float64() < 0.12 {
			worst = max(worst, link.pass(at, short))
		}
	}
	t.Logf("bodies: %d passed, %d refused; the worst short call took %v to arrive", passed, refused, worst)
	is.True(worst < 300*time.Millisecond) // the objective is 400 ms
	is.True(passed >= 80)                 // 0.7 of the link carries 87 bodies in 10 s
	is.True(refused > 0)
}

// TestIntakeRefusesLateBodies covers bodies that would arrive after their deadline or
// wait too long, and the time to retry after that they are given.
func TestIntakeRefusesLateBodies(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	in := New(8, func() time.Time { return at }) // 700 KB/s for bodies
	first, _, ok := in.Reserve(350_000, at.Add(time.Minute))
	is.True(ok)
	is.Equal(first.start, at)
	_, _, ok = in.Reserve(350_000, at.Add(900*time.Millisecond))
	is.True(!ok) // it would arrive after 1 s
	second, _, ok := in.Reserve(700_000, at.Add(time.Minute))
	is.True(ok)
	is.Equal(second.start, at.Add(500*time.Millisecond))
	is.Equal(in.Remaining(first), time.Duration(0))
	is.Equal(in.Remaining(second), 500*time.Millisecond)
	_, after, ok := in.Reserve(20_000, at.Add(time.Minute))
	is.True(!ok) // the bodies before it take 1.5 s
	is.Equal(after, 1500*time.Millisecond)
	in.Cancel(second)
	is.Equal(in.Wait(), 500*time.Millisecond)
	unlimited := New(0, func() time.Time { return at })
	immediate, _, ok := unlimited.Reserve(1<<30, at)
	is.True(ok) // the link has no limit
	is.Equal(unlimited.Remaining(immediate), time.Duration(0))
}
