package admission

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// TestEqualUrgencyIsServedEvenlyWhateverTheDeadline offers one upstream twice the load
// that it can run, in two kinds of calls of equal urgency: one third with a deadline of
// 2.5 s, the others of 250 ms. Ordering by deadline would starve the calls with the long
// one; each kind must get its share of the slots.
func TestEqualUrgencyIsServedEvenlyWhateverTheDeadline(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	g := New(func() time.Time { return at }, 4, 4, time.Time{})
	var running []chan struct{}
	served := map[time.Duration]int{}
	for i := range 300 {
		timeLeft := 250 * time.Millisecond
		if i%3 == 0 {
			timeLeft = 2500 * time.Millisecond
		}
		w, reason, _ := g.Enter(Request{Urgency: config.Normal, Deadline: at.Add(timeLeft)})
		if reason == "" {
			served[timeLeft]++
			if w != nil {
				running = append(running, w.decided)
			}
		}
		at = at.Add(time.Millisecond)
		if i%2 == 1 { // half as many finish as arrive
			g.Release(10 * time.Millisecond)
		}
	}
	long, short := float64(served[2500*time.Millisecond])/100, float64(served[250*time.Millisecond])/200
	t.Logf("admitted: %.2f of the calls with the long deadline, %.2f of the others, %d waited", long, short, len(running))
	is.True(long > 0.8*short)
	is.True(short > 0.8*long)
}

// TestWaitingAttemptIsRefusedInTime lets an attempt wait for a slot that never becomes
// free. The refusal, which proves that the attempt has not run, must arrive before the
// ingress gives up and reports an unknown outcome.
func TestWaitingAttemptIsRefusedInTime(t *testing.T) {
	is := is.New(t)
	g := New(time.Now, 1, 4, time.Time{})
	deadline := time.Now().Add(100 * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	reason, _ := g.Acquire(ctx, Request{Urgency: config.Normal, Deadline: deadline})
	is.Equal(reason, outcome.Reason("")) // takes the only slot
	reason, _ = g.Acquire(ctx, Request{Urgency: config.Normal, Deadline: deadline})
	is.Equal(reason, outcome.ReasonDeadline)
	is.NoErr(ctx.Err()) // there is time left to send the refusal
}

// TestNestedCallsGoFirstIfTheirParentServiceIsShorterOfSlots fills a short queue. Nested
// calls of an upstream that serves a smaller fraction of its calls displace direct ones,
// however urgent; other nested calls are ordered by urgency, as direct calls are.
func TestNestedCallsGoFirstIfTheirParentServiceIsShorterOfSlots(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	g := New(func() time.Time { return at }, 1, 2, time.Time{})
	enter := func(u config.Urgency, nested bool, parentServed float64) *Waiter {
		w, _, _ := g.Enter(Request{Urgency: u, Nested: nested, ParentServedFraction: parentServed, Deadline: at.Add(time.Minute)})
		return w
	}
	refused := func(w *Waiter) bool {
		<-w.decided
		return w.refused == outcome.ReasonOverload
	}
	is.True(enter(config.Normal, false, 0) == nil) // takes the slot
	first, second := enter(config.Normal, false, 0), enter(config.Normal, false, 0)
	is.True(enter(config.Normal, true, 1) == nil) // refused: its parent's upstream is not short of slots
	nested := enter(config.Normal, true, 0.3)
	is.True(refused(second))
	urgent := enter(config.Critical, false, 0)
	is.True(refused(first))
	second = enter(config.Background, true, 0.3) // displaces the urgent direct call
	is.True(refused(urgent))
	is.True(enter(config.MostUrgent, false, 0) == nil) // refused: the waiting calls have priority
	third := enter(config.Critical, true, 0.3)
	is.True(refused(second))
	g.Release(time.Millisecond)
	<-third.decided
	is.Equal(third.refused, outcome.Reason(""))
	g.Release(time.Millisecond)
	<-nested.decided
	is.Equal(nested.refused, outcome.Reason(""))
}

// TestNestedCallsRankByUrgencyIfThisServiceIsShorterOfSlots checks the order where half
// of the direct calls are refused at this upstream and a fifth at the parent's.
func TestNestedCallsRankByUrgencyIfThisServiceIsShorterOfSlots(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	g := New(func() time.Time { return at }, 1, 2, time.Time{})
	for i := range 100 {
		g.direct.record(at, i%2 == 0)
	}
	is.True(!g.hasPriority(Request{Nested: true, ParentServedFraction: 0.8}))
	is.True(g.hasPriority(Request{Nested: true, ParentServedFraction: 0.4}))
	is.True(!g.hasPriority(Request{ParentServedFraction: 0.4})) // not nested
}
