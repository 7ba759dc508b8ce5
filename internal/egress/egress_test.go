package egress

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

// clock is a clock that tests advance.
type clock struct{ at time.Time }

func newClock() *clock { return &clock{at: time.Unix(1000, 0)} }

func (c *clock) now() time.Time { return c.at }

func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

// request returns a request with times relative to the clock.
func (c *clock) request(bytes int, service, objective, timeout time.Duration) Request {
	return Request{Bytes: bytes, Service: service, Objective: c.at.Add(objective), Deadline: c.at.Add(timeout)}
}

// TestUnlimitedLinkSchedulesNothing guards against waits, refusals or bookings where no
// link speed is set.
func TestUnlimitedLinkSchedulesNothing(t *testing.T) {
	is := is.New(t)
	c := newClock()
	q := New(0, c.now)
	for range 100 {
		ticket, _, ok := q.Admit(c.request(1<<30, time.Hour, 0, 0))
		is.True(ok)
		q.Account(1 << 30)
		s := q.Begin(ticket, 1<<30)
		is.True(!s.At(1 << 30).After(c.at))
		is.True(!s.KeepSlot())
		s.Close(0)
		ticket.Cancel()
	}
	is.Equal(q.Wait(0), time.Duration(0))
	is.Equal(q.Backlog(), time.Duration(0))
}

// TestIdleLinkRefusesNothing guards against routes that are refused forever: the expected
// size and duration of their responses are only corrected by responses.
func TestIdleLinkRefusesNothing(t *testing.T) {
	is := is.New(t)
	c := newClock()
	q := New(10, c.now)
	_, _, ok := q.Admit(c.request(90_000, time.Minute, time.Second, 2*time.Second))
	is.True(ok)
}

// TestExtremeLinksAndSizes guards against durations that overflow: a negative one would
// admit everything.
func TestExtremeLinksAndSizes(t *testing.T) {
	for _, mbps := range []float64{1e-300, 1e-6, 10, 1e6} {
		is := is.New(t)
		c := newClock()
		q := New(mbps, c.now)
		for range 3 {
			s := q.Begin(Ticket{}, 1<<62)
			is.True(s.At(1<<62).Sub(c.at) > 0)
			is.True(s.ChunkBytes() >= minChunkBytes)
		}
		is.True(q.Backlog() > 0)
		_, refusal, ok := q.Admit(c.request(90_000, 0, time.Second, time.Second))
		is.True(!ok)
		is.True(refusal.RetryAfter > 0)
	}
}

// TestPartsTakeAtLeastAMillisecond guards against thousands of timers per second on fast
// links, and against parts on slow links that short responses notice.
func TestPartsTakeAtLeastAMillisecond(t *testing.T) {
	is := is.New(t)
	c := newClock()
	is.Equal(New(10, c.now).Begin(Ticket{}, 90_000).ChunkBytes(), 8<<10)
	is.Equal(New(1000, c.now).Begin(Ticket{}, 90_000).ChunkBytes(), 106_250) // 1 ms
}

// TestShortResponsesDoNotBlockTheLinkForLong guards against a burst of short responses
// beyond the link's rate that keeps long ones refused long after it has ended.
func TestShortResponsesDoNotBlockTheLinkForLong(t *testing.T) {
	is := is.New(t)
	c := newClock()
	q := New(10, c.now)
	for range 10_000 {
		q.Account(1000) // 9.4 s of the link
	}
	is.Equal(q.Backlog(), maxShortBacklog)
	q.Begin(Ticket{}, 1<<20)
	before := q.Backlog()
	q.Account(1000)
	is.Equal(q.Backlog(), before) // what long responses have booked stays booked
}

// TestGivenUpResponseLeavesNoGap guards against a link that idles while responses wait:
// under overload, many responses are given up while they wait.
func TestGivenUpResponseLeavesNoGap(t *testing.T) {
	is := is.New(t)
	c := newClock()
	q := New(8, c.now) // 850 KB/s
	first, second, third := q.Begin(Ticket{}, 85_000), q.Begin(Ticket{}, 85_000), q.Begin(Ticket{}, 85_000)
	is.Equal(third.At(0), c.at.Add(200*time.Millisecond))
	second.Close(0)
	is.Equal(third.At(0), c.at.Add(100*time.Millisecond))
	c.advance(50 * time.Millisecond)
	first.Close(42_500)
	is.Equal(third.At(0), c.at)
	c.advance(90 * time.Millisecond)
	third.Close(85_000) // the last part is written ahead of its end
	is.Equal(q.Backlog(), 10*time.Millisecond)
	third.Close(0)
	is.Equal(q.Backlog(), 10*time.Millisecond)
}

// TestManyWaitingBytesKeepSlots guards against unbounded memory: responses that nobody
// expected to be long are not admitted by their size.
func TestManyWaitingBytesKeepSlots(t *testing.T) {
	is := is.New(t)
	c := newClock()
	q := New(10, c.now)
	var schedules []Schedule
	for range maxBufferedBytes >> 20 {
		s := q.Begin(Ticket{}, 1<<20)
		is.True(!s.KeepSlot())
		schedules = append(schedules, s)
	}
	is.True(q.Begin(Ticket{}, 1<<20).KeepSlot())
	for _, s := range schedules {
		s.Close(0)
	}
	is.True(!q.Begin(Ticket{}, 1<<20).KeepSlot())
}

// TestOnlyEarlierResponsesCount guards against waits for responses that will be complete
// after the one in question, and against the idle time before a batch of responses that is
// mistaken for time in which it is sent.
func TestOnlyEarlierResponsesCount(t *testing.T) {
	is := is.New(t)
	c := newClock()
	q := New(8, c.now)
	for range 3 {
		_, _, ok := q.Admit(c.request(85_000, time.Second, time.Minute, time.Minute))
		is.True(ok)
	}
	is.Equal(q.Wait(100*time.Millisecond), time.Duration(0))
	is.Equal(q.Wait(time.Second), 300*time.Millisecond)
	c.advance(1500 * time.Millisecond)
	is.Equal(q.Wait(0), 300*time.Millisecond) // overdue: they may come at any moment
}

// running is an admitted attempt of a test.
type running struct {
	ticket Ticket
	bytes  int
	due    time.Time
}

// TestRetryAfterFindsRoom checks, for any set of running attempts and responses that
// behave as expected, that a refused attempt is admitted after its retry-after if no other
// comes in between. A time that is too short would make callers return in vain.
func TestRetryAfterFindsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		q := New(rapid.Float64Range(1, 1000).Draw(t, "mbps"), c.now)
		ms := func(label string, from, to int) time.Duration {
			return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Millisecond
		}
		var attempts []running
		for range rapid.IntRange(0, 50).Draw(t, "attempts") {
			r := c.request(rapid.IntRange(outcome.LongBody, 1<<20).Draw(t, "bytes"), ms("service", 0, 500), ms("objective", 0, 3000), 3*time.Second)
			if ticket, _, ok := q.Admit(r); ok {
				attempts = append(attempts, running{ticket, r.Bytes, c.at.Add(r.Service)})
			}
		}
		service, objective, timeout, bytes := ms("service", 0, 500), ms("objective", 0, 1000), ms("timeout", 500, 2000), rapid.IntRange(outcome.LongBody, 1<<20).Draw(t, "bytes")
		_, refusal, ok := q.Admit(c.request(bytes, service, objective, timeout))
		if ok || refusal.RetryAfter == outcome.MaxRetryAfter {
			return
		}
		end := c.at.Add(refusal.RetryAfter)
		for ; c.at.Before(end); c.advance(time.Millisecond) {
			for i := range attempts {
				if a := &attempts[i]; a.bytes > 0 && !a.due.After(c.at) {
					q.Begin(a.ticket, a.bytes)
					a.bytes = 0
				}
			}
		}
		c.at = end
		if _, again, ok := q.Admit(c.request(bytes, service, objective, timeout)); !ok {
			t.Fatalf("refused with a wait of %v and at most %v; refused again after %v with a wait of %v", refusal.Wait, refusal.MaxWait, refusal.RetryAfter, again.Wait)
		}
	})
}

// TestQueueKeepsItsBooks runs random operations. Reservations that are not given back would
// make the owner refuse attempts for ever; a negative backlog would make it send more than
// the link carries; bookings that overlap would too.
func TestQueueKeepsItsBooks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		q := New(rapid.Float64Range(0.1, 1e6).Draw(t, "mbps"), c.now)
		var tickets []Ticket
		var schedules []Schedule
		bytes := rapid.IntRange(0, 1<<20)
		pop := func() Ticket {
			if len(tickets) == 0 {
				return Ticket{}
			}
			i := rapid.IntRange(0, len(tickets)-1).Draw(t, "ticket")
			ticket := tickets[i]
			tickets = append(tickets[:i], tickets[i+1:]...)
			return ticket
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				r := c.request(bytes.Draw(t, "bytes"), time.Duration(rapid.IntRange(0, 1e9).Draw(t, "service")), 2*time.Second, 3*time.Second)
				ticket, _, ok := q.Admit(r)
				if ok {
					tickets = append(tickets, ticket)
				}
			},
			"cancel": func(*rapid.T) {
				ticket := pop()
				ticket.Cancel()
				ticket.Cancel()
			},
			"begin": func(t *rapid.T) {
				ticket := pop()
				schedules = append(schedules, q.Begin(ticket, bytes.Draw(t, "bytes")))
				ticket.Cancel()
			},
			"close": func(t *rapid.T) {
				if len(schedules) == 0 {
					return
				}
				i := rapid.IntRange(0, len(schedules)-1).Draw(t, "schedule")
				schedules[i].Close(rapid.IntRange(0, schedules[i].b.bytes).Draw(t, "sent"))
				schedules = append(schedules[:i], schedules[i+1:]...)
			},
			"account": func(t *rapid.T) { q.Account(bytes.Draw(t, "bytes")) },
			"advance": func(t *rapid.T) { c.advance(time.Duration(rapid.IntRange(0, 1e9).Draw(t, "time"))) },
			"": func(t *rapid.T) {
				if len(q.expected) != len(tickets) || len(q.booked) != len(schedules) {
					t.Fatalf("%d reservations for %d tickets, %d bookings for %d schedules", len(q.expected), len(tickets), len(q.booked), len(schedules))
				}
				if q.Backlog() < 0 || q.Wait(0) < q.Backlog() {
					t.Fatalf("backlog %v, wait %v", q.Backlog(), q.Wait(0))
				}
				for i, b := range q.booked {
					if b.end.Before(b.start) || i > 0 && b.start.Before(q.booked[i-1].end) || b.end.After(q.freeAt) {
						t.Fatalf("booking %d from %v to %v overlaps another", i, b.start, b.end)
					}
				}
			},
		})
		for _, ticket := range tickets {
			ticket.Cancel()
		}
		for _, s := range schedules {
			s.Close(0)
		}
		c.advance(24 * time.Hour)
		if q.Wait(0) != 0 || len(q.expected) != 0 || len(q.booked) != 0 {
			t.Fatalf("wait %v, %d reservations and %d bookings after the end", q.Wait(0), len(q.expected), len(q.booked))
		}
	})
}
