package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// pacedGate returns a full gate with six slots and a service time of 100 ms at pace 1, which has
// just been reported.
func pacedGate(at *time.Time) *Gate {
	g := New(func() time.Time { return *at }, 6, 6, time.Time{})
	g.RecordPace(1)
	g.Release(100 * time.Millisecond)
	g.inFlight = 6
	return g
}

// TestPaceScalesWaitsAndReports: an upstream that is slow now admits waiting calls later. The
// failure: a gate expected the mean service time, let calls wait too long, and reported a load
// that was too small.
func TestPaceScalesWaitsAndReports(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	g := pacedGate(&at)
	is.Equal(g.Load().Service, 100*time.Millisecond)
	is.Equal(g.Load().Pace, 1.0)
	call := Request{Urgency: config.Normal, Deadline: at.Add(3 * time.Second), Objective: at.Add(300 * time.Millisecond)}
	_, reason, _ := g.Enter(call)
	is.Equal(reason, outcome.Reason(""))
	reason, _ = g.Check(call) // would be admitted after 33 ms of the 120 ms allowed
	is.Equal(reason, outcome.Reason(""))
	is.Equal(g.waitFor(12), 200*time.Millisecond)
	g.RecordPace(2.5)
	reason, retryAfter := g.Check(call) // would be admitted after 83 ms of the 62.5 ms allowed
	is.Equal(reason, outcome.ReasonOverload)
	is.Equal(retryAfter, max(outcome.MinRetryAfter, g.waitFor(2)))
	is.Equal(g.waitFor(12), 500*time.Millisecond)
	is.Equal(g.Load().Service, 250*time.Millisecond)
	is.Equal(g.Load().Pace, 2.5)
	is.Equal(g.LoadAfter(250*time.Millisecond).Service, 287500*time.Microsecond) // 0.1 of it at 2.5 times as long
}

// TestPaceExpires: an upstream that stops reporting its pace counts as usual after a second.
func TestPaceExpires(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	g := pacedGate(&at)
	g.RecordPace(2.5)
	at = at.Add(paceMaxAge - time.Millisecond)
	is.Equal(g.Load().Service, 250*time.Millisecond)
	at = at.Add(time.Millisecond)
	is.Equal(g.Load().Service, 100*time.Millisecond)
	is.Equal(g.Load().Pace, 1.0)
}

// TestServiceTimeIsMeasuredAtPaceOne runs equal work at an upstream whose pace changes during
// runs. The failure: with the pace at the end of each run alone, runs that were slow until just
// before their end count as longer work, by a factor of up to 2.5.
func TestServiceTimeIsMeasuredAtPaceOne(t *testing.T) {
	const work, step, report = 130 * time.Millisecond, time.Millisecond, 25 * time.Millisecond
	at := time.Unix(1000, 0)
	g := New(func() time.Time { return at }, 6, 6, time.Time{})
	for began, done, n := at, 0.0, 0; n < 400; at = at.Add(step) {
		elapsed := at.Sub(time.Unix(1000, 0))
		pace := 1.0
		if elapsed%(4*time.Second) < 600*time.Millisecond {
			pace = 2.5
		}
		if elapsed%report == 0 {
			g.RecordPace(pace)
		}
		if done += float64(step) / pace; done < float64(work) {
			continue
		}
		g.RecordPace(pace)
		g.inFlight = 1
		g.Release(at.Add(step).Sub(began))
		if relative := float64(g.meanService) / float64(work); relative < 0.95 || relative > 1.05 {
			t.Fatalf("run %d: mean service time at pace 1 is %v, want %v", n, g.meanService, work)
		}
		began, done, n = at.Add(step), 0, n+1
	}
}

// TestUsualTimeOfARunWithAChange: each part of a run counts at its own pace.
func TestUsualTimeOfARunWithAChange(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	h := &paceHistory{}
	h.record(after(0), 2)
	is.Equal(h.usualTime(after(100), 100*time.Millisecond), 50*time.Millisecond)
	is.Equal(h.usualTime(after(100), 200*time.Millisecond), 100*time.Millisecond) // before the first report as at the first
	h.record(after(100), 2)
	h.record(after(200), 1)
	is.Equal(h.usualTime(after(200), 100*time.Millisecond).Round(time.Millisecond), 67*time.Millisecond)  // at 1.5
	is.Equal(h.usualTime(after(200), 300*time.Millisecond).Round(time.Millisecond), 167*time.Millisecond) // 50 + 50 + 67
	is.Equal(h.usualTime(after(300), 100*time.Millisecond), 100*time.Millisecond)
	is.Equal(h.usualTime(after(300), 150*time.Millisecond).Round(time.Millisecond), 133*time.Millisecond) // 33 + 100
	is.Equal((*paceHistory)(nil).usualTime(after(300), 77), time.Duration(77))
}

// TestGateWithoutPaceDecidesAsBefore gives one generated history to a gate whose upstream never
// reports a pace and to one whose upstream always reports 1: all their decisions and loads must be
// the same, and their mean service time that of the formula for gates without a pace. The failure:
// services whose upstreams report nothing are treated differently.
func TestGateWithoutPaceDecidesAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		at := start
		now := func() time.Time { return at }
		plain, paced := New(now, 3, 4, time.Time{}), New(now, 3, 4, time.Time{})
		gates := []*Gate{plain, paced}
		for _, g := range gates {
			g.SetTimer(func(time.Duration, func()) {})
		}
		var admitted int
		var waiting [][2]*Waiter
		mean := initialServiceTime
		measured := false
		same := func(what string, a, b any) {
			if a != b {
				t.Fatalf("%s: %v without pace, %v at pace 1", what, a, b)
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 400_000).Draw(t, "us")) * time.Microsecond)
			if rapid.Bool().Draw(t, "reports") {
				paced.RecordPace(1)
			}
			for i := 0; i < len(waiting); {
				a, b := waiting[i][0], waiting[i][1]
				same("decided", isDecided(a), isDecided(b))
				if !isDecided(a) {
					i++
					continue
				}
				same("refused", a.Refused(), b.Refused())
				if a.Refused() == "" {
					admitted++
				}
				waiting = append(waiting[:i], waiting[i+1:]...)
			}
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1, 2:
				a := Request{
					Urgency: config.Urgency(rapid.IntRange(0, 3).Draw(t, "urgency")), Nested: rapid.Bool().Draw(t, "nested"),
					WaitFraction: rapid.Float64Range(0, 1).Draw(t, "part"), ParentServedFraction: rapid.Float64Range(0, 1).Draw(t, "served"),
					Deadline: at.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline")) * time.Millisecond),
				}
				if rapid.Bool().Draw(t, "hasObjective") {
					a.Objective = at.Add(time.Duration(rapid.IntRange(-200, 1000).Draw(t, "objective")) * time.Millisecond)
				}
				w, reason, after := plain.Enter(a)
				w2, reason2, after2 := paced.Enter(a)
				same("queued", w != nil, w2 != nil)
				same("reason", reason, reason2)
				same("retry-after", after, after2)
				if w != nil {
					waiting = append(waiting, [2]*Waiter{w, w2})
				} else if reason == "" {
					admitted++
				}
			case 3:
				if admitted == 0 {
					continue
				}
				admitted--
				took := time.Duration(rapid.IntRange(0, 3_000_000).Draw(t, "took")) * time.Microsecond
				same("load after", plain.LoadAfter(took).Service, paced.LoadAfter(took).Service)
				if took > 0 && measured {
					mean += time.Duration(serviceWeight * float64(took-mean))
				} else if took > 0 {
					mean, measured = took, true
				}
				for _, g := range gates {
					g.Release(took)
				}
			case 4:
				rate := rapid.SampledFrom([]float64{Unlimited, 0.5, 7, 60}).Draw(t, "rate")
				for _, g := range gates {
					g.SetRate(rate)
				}
			case 5:
				for _, g := range gates {
					g.Resize(rapid.Just(3).Draw(t, "slots"), 0)
					g.admitDue()
				}
			}
			same("load", plain.Load(), paced.Load())
			same("retry-after", plain.RetryAfter(), paced.RetryAfter())
			same("formula", mean, plain.Load().Service)
		}
	})
}

// TestExpiredPaceDoesNotCountBetweenReports measures a run at the usual pace long after a slow
// pace was reported. The failure: the mean with the expired report was taken, so that the
// service time appeared to be 0.57 of what it is.
func TestExpiredPaceDoesNotCountBetweenReports(t *testing.T) {
	is := is.New(t)
	h := &paceHistory{}
	at := time.Unix(1000, 0)
	h.record(at, 2.5)
	at = at.Add(10 * time.Second)
	h.record(at, 1)
	is.Equal(h.usualTime(at, 100*time.Millisecond), 100*time.Millisecond)
}
