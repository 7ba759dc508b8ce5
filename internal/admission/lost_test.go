package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// simulateLostAnswers simulates, in virtual time, an upstream with 11 slots and a service
// time of 78 ms that silently loses every sixth answer. For 10 s it is offered 100 calls
// per second, each with a deadline of a second. It returns how many were admitted, and
// the most that the upstream ran at once. The failure was seen with orders with a
// deadline of a second on four upstreams that lost their answers: their owners refused
// other calls while all slots were counted as in flight.
func simulateLostAnswers(reports bool) (admitted, maxRunning int) {
	const slots, service, deadline = 11, 78, 1000
	at := time.Unix(1000, 0)
	g := New(func() time.Time { return at }, slots, slots, time.Time{})
	running := 0
	ends := map[int][]bool{} // by millisecond: for each run, whether its answer is lost
	expired := map[int]int{} // by millisecond, how many calls reach their deadline
	for ms := range 10_000 {
		at = at.Add(time.Millisecond)
		for _, lost := range ends[ms] {
			running--
			if lost {
				continue
			}
			if reports {
				g.RecordRunning(running)
			}
			g.Release(service * time.Millisecond)
		}
		for range expired[ms] {
			g.Release(0)
		}
		if ms%10 != 0 {
			continue
		}
		w, reason, _ := g.Enter(Request{Urgency: config.Normal, Objective: at, Deadline: at.Add(deadline * time.Millisecond)})
		if reason != "" || w != nil {
			if w != nil {
				g.Withdraw(w, outcome.ReasonCancelled) // attempts that would wait are not counted
			}
			continue
		}
		lost := admitted%6 == 0
		admitted++
		running++
		maxRunning = max(maxRunning, running)
		ends[ms+service] = append(ends[ms+service], lost)
		if lost {
			expired[ms+deadline]++
		}
	}
	return admitted, maxRunning
}

// TestLostAnswersHoldNoSlot checks that lost answers do not occupy slots if the upstream
// reports that it runs fewer attempts than are in flight to it.
func TestLostAnswersHoldNoSlot(t *testing.T) {
	is := is.New(t)
	withoutReports, _ := simulateLostAnswers(false)
	withReports, maxRunning := simulateLostAnswers(true)
	t.Logf("of 1,000 calls admitted at once: %d, and %d with the upstream's reports, which ran at most %d at once", withoutReports, withReports, maxRunning)
	is.True(withoutReports < 700)
	is.True(withReports > 900)
	is.True(maxRunning <= 11)
}

// TestSingleReportIsNotTakenAsLostAnswers checks that neither a request on its way to the
// upstream, nor a report older than the request, nor an expired report counts as a lost
// answer.
func TestSingleReportIsNotTakenAsLostAnswers(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	var l lostAnswers
	for _, excess := range []int{5, 5, 0, 5, 5} {
		l.record(at, excess)
		is.Equal(l.count(at), 0)
	}
	l.record(at, 3)
	l.record(at, 4)
	is.Equal(l.count(at), 3)
	is.Equal(l.count(at.Add(lostReportMaxAge)), 0)
}
