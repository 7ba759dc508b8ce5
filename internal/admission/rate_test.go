package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// rateFixture is a gate with 16 slots and a rate limit in virtual time. Attempts take no time.
type rateFixture struct {
	*Gate
	at      time.Time
	waiting []*Waiter
	// admitted holds the times of the admitted attempts, by urgency.
	admitted map[config.Urgency][]time.Time
	due      time.Time
	admit    func()
}

func newRateFixture(perSecond float64) *rateFixture {
	f := &rateFixture{at: time.Unix(1000, 0), admitted: map[config.Urgency][]time.Time{}}
	f.Gate = New(func() time.Time { return f.at }, 16, 16, time.Time{})
	f.SetTimer(func(d time.Duration, admit func()) { f.due, f.admit = f.at.Add(d), admit })
	f.SetRate(perSecond)
	return f
}

// offer lets an attempt arrive, and returns the reason why it is refused at once.
func (f *rateFixture) offer(u config.Urgency) outcome.Reason {
	w, reason, _ := f.Enter(Request{Urgency: u, Deadline: f.at.Add(2 * time.Second), Objective: f.at.Add(400 * time.Millisecond)})
	switch {
	case w != nil:
		f.waiting = append(f.waiting, w)
	case reason == "":
		f.start(u)
	}
	return reason
}

func (f *rateFixture) start(u config.Urgency) {
	f.admitted[u] = append(f.admitted[u], f.at)
	f.Release(time.Millisecond)
}

// advance lets a millisecond pass.
func (f *rateFixture) advance() {
	f.at = f.at.Add(time.Millisecond)
	if f.admit != nil && !f.at.Before(f.due) {
		admit := f.admit
		f.admit = nil
		admit()
	}
	var rest []*Waiter
	for _, w := range f.waiting {
		switch {
		case !isDecided(w):
			rest = append(rest, w)
		case w.Refused() == "":
			f.start(w.Urgency)
		}
	}
	f.waiting = rest
}

// TestRateLimitHoldsInEverySpan offers at least five times as many attempts as the rate limit
// allows, in clusters. No span of 4 s may get more than the limit allows plus a burst of a tenth of a
// second, and the limit is used up.
func TestRateLimitHoldsInEverySpan(t *testing.T) {
	const span = 4 * time.Second
	for _, limit := range []float64{0.7, 3, 65.1} {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(1, 1))
		f := newRateFixture(limit)
		for range 20_000 {
			for rng.Float64() < max(20, limit)/1000 {
				for range 5 {
					f.offer(config.Normal)
				}
			}
			f.advance()
		}
		times := f.admitted[config.Normal]
		first := 0
		for last, at := range times {
			for at.Sub(times[first]) >= span {
				first++
			}
			is.True(float64(last-first+1) <= limit*span.Seconds()+max(1, limit*rateBurst.Seconds())+1)
		}
		is.True(float64(len(times)) > 0.9*20*limit)
	}
}

// TestUrgentGoesFirstUnderARateLimit: two thirds of a rate limit are asked for by urgent calls,
// three times the limit by others. All urgent ones are served, and the others get the rest.
func TestUrgentGoesFirstUnderARateLimit(t *testing.T) {
	const limit = 60
	is := is.New(t)
	f := newRateFixture(limit)
	refused := map[config.Urgency]int{}
	for ms := range 20_000 {
		if ms%25 == 0 {
			if f.offer(config.Critical) != "" {
				refused[config.Critical]++
			}
		}
		if ms%5 == 1 {
			if f.offer(config.Background) != "" {
				refused[config.Background]++
			}
		}
		f.advance()
	}
	is.Equal(refused[config.Critical], 0)
	is.True(len(f.admitted[config.Critical]) > 790) // of 800
	total := len(f.admitted[config.Critical]) + len(f.admitted[config.Background])
	is.True(total > 1190 && total < 1210) // 20 s at 60 per second
	is.True(refused[config.Background] > 3000)
}

// TestRateLimitRefusalSaysWhyAndWhen: an attempt that could not be answered in time under the
// rate limit is refused at once, although slots are free, with the time by which those that
// wait will have been admitted.
func TestRateLimitRefusalSaysWhyAndWhen(t *testing.T) {
	is := is.New(t)
	f := newRateFixture(10)
	var reason outcome.Reason
	for reason == "" {
		reason = f.offer(config.Normal)
	}
	is.Equal(reason, outcome.ReasonUpstreamLimit)
	want := time.Duration(len(f.waiting)+1) * 100 * time.Millisecond
	is.Equal(f.RetryAfter(), want)
	l := f.Load()
	is.Equal(l.InFlight, 0)
	is.Equal(l.Slots, 1) // 10 per second of some milliseconds each
}

// TestRaisedRateLimitAdmitsAtOnce: attempts that wait for a low limit do not wait for its next
// token when the limit is raised or dropped.
func TestRaisedRateLimitAdmitsAtOnce(t *testing.T) {
	is := is.New(t)
	f := newRateFixture(3)
	is.Equal(f.offer(config.Normal), outcome.ReasonUpstreamLimit) // the first token comes after 333 ms
	for range 200 {
		f.advance()
	}
	is.Equal(f.offer(config.Normal), outcome.Reason(""))
	is.Equal(len(f.waiting), 1)
	f.SetRate(Unlimited)
	f.advance()
	is.Equal(len(f.admitted[config.Normal]), 1)
	is.Equal(f.Rate(), 0.0)
}

// TestUnsentAttemptsDoNotCount: an attempt that was admitted and not sent leaves its place to
// the next one.
func TestUnsentAttemptsDoNotCount(t *testing.T) {
	is := is.New(t)
	f := newRateFixture(1)
	f.at = f.at.Add(time.Second)
	w, reason, _ := f.Enter(Request{Deadline: f.at.Add(time.Second)})
	is.True(w == nil && reason == "")
	f.ReleaseUnsent()
	w, reason, _ = f.Enter(Request{Deadline: f.at.Add(time.Second)})
	is.True(w == nil && reason == "")
}

// TestZeroLimitIsStillProbed: an upstream that accepts nothing now can say only in an answer
// that it accepts requests again.
func TestZeroLimitIsStillProbed(t *testing.T) {
	is := is.New(t)
	f := newRateFixture(0)
	for range 10_000 {
		f.offer(config.Normal)
		f.advance()
	}
	is.True(len(f.admitted[config.Normal]) >= 4 && len(f.admitted[config.Normal]) <= 5) // one in 2 s
}
