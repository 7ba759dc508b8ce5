package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// newNestedFirst returns a gate that admits nested calls first, with its clock.
func newNestedFirst(slots, maxQueue int) (*Gate, *time.Time) {
	at := time.Unix(1000, 0)
	g := New(func() time.Time { return at }, slots, maxQueue, time.Time{})
	g.SetNestedFirst(true)
	return g, &at
}

// request returns a request with an objective of 1 s and a deadline of 2 s.
func request(at time.Time, nested bool, flow string) Request {
	return Request{Urgency: config.Normal, Nested: nested, Flow: flow, Objective: at.Add(time.Second), Deadline: at.Add(2 * time.Second)}
}

// TestDirectCallsGetAShareBesideNestedOnes offers a gate twice as many nested calls as it has
// slots for, and a few direct ones. The failure: no direct call is answered at all, however
// urgent, at a service whose nested calls alone exceed its slots. Direct calls must get some
// slots, but not many, and none may be queued that then waits until its deadline.
func TestDirectCallsGetAShareBesideNestedOnes(t *testing.T) {
	const service, slots, length = 50 * time.Millisecond, 10, 20 * time.Second
	g, at := newNestedFirst(slots, slots)
	start := *at
	type run struct {
		nested bool
		ends   time.Time
	}
	var running []run
	waiting := map[*Waiter]bool{}
	admitted, expired := map[bool]int{}, 0
	begin := func(nested bool) {
		admitted[nested]++
		running = append(running, run{nested: nested, ends: at.Add(service)})
	}
	enter := func(nested bool) {
		w, reason, _ := g.Enter(request(*at, nested, ""))
		switch {
		case w != nil:
			waiting[w] = true
		case reason == "":
			begin(nested)
		}
	}
	for i := 0; at.Sub(start) < length; i++ {
		for n := 0; n < len(running); n++ {
			if !running[n].ends.After(*at) {
				running = append(running[:n], running[n+1:]...)
				n--
				g.Release(service)
			}
		}
		for w := range waiting {
			if !isDecided(w) && !at.Before(w.Deadline) {
				g.Withdraw(w, outcome.ReasonDeadline)
				expired++
			}
			if isDecided(w) {
				delete(waiting, w)
				if w.Refused() == "" {
					begin(w.Nested)
				}
			}
		}
		for range 2 { // 400 a second, with slots for 200
			enter(true)
		}
		if i%4 == 0 {
			enter(false)
		}
		*at = at.Add(5 * time.Millisecond)
	}
	share := float64(admitted[false]) / float64(admitted[true]+admitted[false])
	t.Logf("%d nested and %d direct calls admitted, %d expired in the queue", admitted[true], admitted[false], expired)
	if share == 0 || share > directShare {
		t.Errorf("%.3f of the slots for direct calls", share)
	}
	if expired > 0 {
		t.Errorf("%d calls waited until their deadline", expired)
	}
}

// TestDisplacedDirectCallIsRefusedAndCounted fills the queue with direct calls: a nested call
// takes the place of the last one, which must be refused as overload and count as not
// served. The first direct call keeps its place.
func TestDisplacedDirectCallIsRefusedAndCounted(t *testing.T) {
	is := is.New(t)
	g, at := newNestedFirst(1, 2)
	_, reason, _ := g.Enter(request(*at, false, "a"))
	is.Equal(reason, outcome.Reason("")) // takes the only slot
	first, _, _ := g.Enter(request(*at, false, "a"))
	second, _, _ := g.Enter(request(*at, false, "a"))
	is.True(first != nil && second != nil)
	before := g.direct.fraction(*at)
	nested, _, _ := g.Enter(request(*at, true, "a"))
	is.True(nested != nil)
	is.True(isDecided(second) && !isDecided(first))
	is.Equal(second.Refused(), outcome.ReasonOverload)
	is.True(g.direct.offered == 2) // the admitted and the displaced one
	is.True(g.direct.fraction(*at) <= before)
	is.Equal(g.Load().Queued, 2)
	third, reason, _ := g.Enter(request(*at, true, "a"))
	is.True(third == nil) // the place of the first direct call is kept
	is.Equal(reason, outcome.ReasonOverload)
	*at = at.Add(10 * time.Millisecond)
	g.Release(10 * time.Millisecond)
	is.True(isDecided(nested) && nested.Refused() == "")
	is.True(!isDecided(first))
}

// TestNestedCallsTakeTurnsWhateverDirectOnesWait queues direct calls of one flow and then
// nested calls of that flow and of another. The failure: the nested calls of the first flow
// counted as late as its last direct call, behind all nested calls of the other flow.
func TestNestedCallsTakeTurnsWhateverDirectOnesWait(t *testing.T) {
	is := is.New(t)
	g, at := newNestedFirst(1, 20)
	_, reason, _ := g.Enter(request(*at, true, "a"))
	is.Equal(reason, outcome.Reason(""))
	for range 5 {
		g.Enter(request(*at, false, "a"))
	}
	g.directAt = *at // a direct call has had its share
	var nested []*Waiter
	for _, flow := range []string{"b", "b", "b", "a", "a", "a"} {
		w, _, _ := g.Enter(request(*at, true, flow))
		is.True(w != nil)
		nested = append(nested, w)
	}
	var order string
	for range nested {
		g.Release(0)
		for i, w := range nested {
			if w != nil && isDecided(w) {
				order += w.Flow
				nested[i] = nil
			}
		}
	}
	is.Equal(order, "bababa")
}

// TestNestedCallsAreToldWhenTheyAreAdmitted fills the queue with direct calls. The failure: a
// refused nested call got the time until all direct calls will have been admitted as its
// retry-after, and daemons sent no nested calls until then.
func TestNestedCallsAreToldWhenTheyAreAdmitted(t *testing.T) {
	is := is.New(t)
	g, at := newNestedFirst(1, 20)
	g.Enter(request(*at, false, ""))
	g.Release(100 * time.Millisecond)
	for range 6 {
		g.Enter(request(*at, false, ""))
	}
	is.Equal(g.RetryAfterOf(request(*at, true, "")), 100*time.Millisecond)
	is.True(g.RetryAfterOf(request(*at, false, "")) > 300*time.Millisecond)
}

// TestNestedCallsWaitForMostOfTheirObjective uses a gate whose direct calls take longer than
// the objective of nested calls. The failure: the wait that is allowed to nested calls was
// computed from the time that direct calls take, and they were refused while slots became
// free in time.
func TestNestedCallsWaitForMostOfTheirObjective(t *testing.T) {
	is := is.New(t)
	g, at := newNestedFirst(10, 10)
	for range 11 {
		g.Enter(request(*at, false, ""))
	}
	g.Release(400 * time.Millisecond)
	nested := Request{Urgency: config.Normal, Nested: true, Objective: at.Add(300 * time.Millisecond), Deadline: at.Add(time.Second)}
	for range 4 { // a slot becomes free every 40 ms
		w, reason, _ := g.Enter(nested)
		is.True(w != nil)
		is.Equal(reason, outcome.Reason(""))
	}
	_, reason, _ := g.Enter(nested)
	is.Equal(reason, outcome.ReasonOverload) // would be late
}
