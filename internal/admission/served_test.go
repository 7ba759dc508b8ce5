package admission

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
)

// TestServedFractionDecays checks that a single refusal at an upstream with little load
// does not count as a shortage, and that a shortage is forgotten after a few decay times.
func TestServedFractionDecays(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	var quiet, busy servedAverage
	quiet.record(at, false)
	is.Equal(quiet.fraction(at), 1.0)
	for i := range 100 {
		busy.record(at, i%4 == 0)
	}
	is.True(busy.fraction(at) < 0.35)
	is.True(busy.fraction(at.Add(5*servedDecayTime)) > shortageThreshold-0.1)
}

// simulatedSlots is the number of slots of each upstream of twoServices.
const simulatedSlots = 11

// twoServices simulates two upstreams of one service each, in virtual time. Requests of
// 60 ms to the upper one make a nested call of 15 ms to the lower one and hold their slot
// meanwhile; critical calls of 78 ms go to the lower one directly, in bursts. It follows
// a day on which removals and a burst left the upper service three of five upstreams, and
// the lower one was full for fractions of a second.
type twoServices struct {
	at           time.Time
	upper, lower *Gate
	// requests counts the upper requests that made their nested call. The wait fractions
	// of consecutive requests are spread evenly.
	requests int
	// hideShortage hides the upper service's shortage from the lower gate.
	hideShortage bool
	running      []simulatedCall
	waiting      []simulatedCall
	// served counts the upper requests that were answered, failed those whose nested call
	// was refused, and critical the direct calls that the lower service served.
	served, failed, critical int
}

type simulatedCall struct {
	*Waiter
	gate *Gate
	took time.Duration
	ends time.Time
	done func(ok bool)
}

func newTwoServices(hideShortage bool) *twoServices {
	s := &twoServices{at: time.Unix(1000, 0), hideShortage: hideShortage}
	now := func() time.Time { return s.at }
	s.upper = New(now, simulatedSlots, simulatedSlots, time.Time{})
	s.lower = New(now, simulatedSlots, simulatedSlots, time.Time{})
	return s
}

func (s *twoServices) call(c simulatedCall, a Request, objective, deadline time.Duration) {
	a.Objective, a.Deadline = s.at.Add(objective), s.at.Add(deadline)
	w, reason, _ := c.gate.Enter(a)
	c.Waiter = w
	switch {
	case reason != "":
		c.done(false)
	case w == nil:
		s.start(c)
	default:
		s.waiting = append(s.waiting, c)
	}
}

func (s *twoServices) start(c simulatedCall) {
	c.ends = s.at.Add(c.took)
	s.running = append(s.running, c)
}

// request offers a request to the upper service. Its slot is held until its nested call
// ends.
func (s *twoServices) request() {
	c := simulatedCall{gate: s.upper, took: 60 * time.Millisecond}
	c.done = func(ok bool) {
		if ok {
			s.nested()
		}
	}
	s.call(c, Request{Urgency: config.Background}, 200*time.Millisecond, 800*time.Millisecond)
}

func (s *twoServices) nested() {
	began := s.at
	c := simulatedCall{gate: s.lower, took: 15 * time.Millisecond}
	c.done = func(ok bool) {
		if ok {
			s.served++
		} else {
			s.failed++
		}
		s.upper.Release(60*time.Millisecond + s.at.Sub(began))
	}
	parentServed := s.upper.ServedFraction()
	if s.hideShortage {
		parentServed = 1
	}
	s.requests++
	_, waitFraction := math.Modf(float64(s.requests) * math.Phi)
	a := Request{Urgency: config.Background, Nested: true, ParentServedFraction: parentServed, WaitFraction: waitFraction}
	s.call(c, a, 60*time.Millisecond, 200*time.Millisecond)
}

func (s *twoServices) direct() {
	c := simulatedCall{gate: s.lower, took: 78 * time.Millisecond}
	c.done = func(ok bool) {
		if ok {
			s.critical++
		}
	}
	s.call(c, Request{Urgency: config.Critical}, 250*time.Millisecond, time.Second)
}

func (s *twoServices) tick() {
	s.at = s.at.Add(time.Millisecond)
	running := s.running
	s.running = nil
	for _, c := range running {
		if c.ends.After(s.at) {
			s.running = append(s.running, c)
			continue
		}
		if c.gate == s.lower {
			s.lower.Release(c.took)
		}
		c.done(true)
	}
	waiting := s.waiting
	s.waiting = nil
	for _, c := range waiting {
		switch {
		case !isDecided(c.Waiter):
			s.waiting = append(s.waiting, c)
		case c.refused != "":
			c.done(false)
		default:
			s.start(c)
		}
	}
}

// run offers the upper service 250 requests per second, of which it can serve 140, and
// the lower one on average the given number of critical calls per second, of which it can
// serve 100 beside the nested ones. Three quarters of the critical calls arrive in the
// first half of each second.
func (s *twoServices) run(seconds, critical int) {
	for ms := range seconds * 1000 {
		s.tick()
		if ms%4 == 0 {
			s.request()
		}
		gap := 1000 / (critical / 2)
		if ms%1000 < 500 {
			gap = 1000 / (critical * 3 / 2)
		}
		if ms%gap == 0 {
			s.direct()
		}
	}
}

// runBoth runs 30 s with the given number of critical calls per second, once with the
// upper service's shortage hidden from the lower gate and once with it known there.
func runBoth(t *testing.T, critical int) (hidden, known *twoServices) {
	t.Helper()
	hidden, known = newTwoServices(true), newTwoServices(false)
	hidden.run(30, critical)
	known.run(30, critical)
	t.Logf("shortage hidden: %d served, %d failed, %d critical; known: %d, %d, %d",
		hidden.served, hidden.failed, hidden.critical, known.served, known.failed, known.critical)
	return hidden, known
}

// TestParentShortageGivesNestedCallsPriority checks that a lower service which knows that
// the upper one is shorter of slots lets fewer upper runs fail, and that this serves more
// calls above than it costs below.
func TestParentShortageGivesNestedCallsPriority(t *testing.T) {
	is := is.New(t)
	hidden, known := runBoth(t, 100)
	is.True(known.failed < hidden.failed/4)
	is.True(known.served-hidden.served > 3*(hidden.critical-known.critical))
	is.True(known.critical > hidden.critical*8/10)
}

// TestUrgentCallsKeepTheirPlaceIfThisServiceIsShorterOfSlots offers the lower service
// three times the critical calls that it has slots for: the nested calls must then get no
// priority.
func TestUrgentCallsKeepTheirPlaceIfThisServiceIsShorterOfSlots(t *testing.T) {
	is := is.New(t)
	hidden, known := runBoth(t, 320)
	is.True(known.critical > hidden.critical*9/10)
}
