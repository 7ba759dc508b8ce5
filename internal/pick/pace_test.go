package pick

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// TestSlowPaceLosesItsEffect reports a pace of 2.5 for one of three equal upstreams. The failure:
// an upstream that was slow at its last report was avoided for the ten seconds for which service
// times are valid, although its pace changes after 0.6 s.
func TestSlowPaceLosesItsEffect(t *testing.T) {
	is := is.New(t)
	f := newPickerFixture("a")
	slow := f.service.Upstreams[0]
	report := func(pace float64) {
		f.reportLoad("a", outcome.Load{Slots: 12, Service: testService, Pace: 1})
		l := outcome.Load{Slots: 12, Service: time.Duration(pace * float64(testService)), Pace: pace}
		f.Observe(slow, config.Normal, outcome.Result{Outcome: outcome.Answered, Status: 200, Load: l, HasLoad: true})
	}
	share := func() float64 {
		clear(f.means) // computed before the report
		n := 0
		for range 300 {
			u, _, _ := f.Pick(f.service, Criteria{Urgency: config.Normal, Objective: testObjective, TypicalLatency: testService})
			if u.ID == slow.ID {
				n++
			}
			f.Finished(u)
		}
		return float64(n) / 300
	}
	report(1)
	even := share()
	report(2.5)
	is.True(share() < even/3)
	f.at = f.at.Add(paceMaxAge)
	is.True(share() > 0.8*even)
	is.Equal(reportedServiceTime(f.stats[slow.ID], f.at), testService)
}

// TestServiceTimeWithoutPaceDoesNotAge: owners of upstreams that report no pace, and those of a
// build before it was introduced, report the service time alone.
func TestServiceTimeWithoutPaceDoesNotAge(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	for _, pace := range []float64{0, 1} {
		st := &stats{load: outcome.Load{Service: testService, Pace: pace}, loadAt: at}
		for _, age := range []time.Duration{0, paceMaxAge / 2, serviceTimeMaxAge} {
			is.Equal(reportedServiceTime(st, at.Add(age)), testService)
		}
	}
}
