package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestStopPlanScalesWithBound guards against a stop whose steps do not scale with bounds.stop:
// with a bound of 10 s, attempts of up to 4.4 s that started 1 s after the signal were
// cancelled after 4.2 s, as if the bound were 6 s.
func TestStopPlanScalesWithBound(t *testing.T) {
	is := is.New(t)
	const callers = 2500 * time.Millisecond
	six, ten := planStop(6*time.Second, callers), planStop(10*time.Second, callers)
	is.Equal(six, stopPlan{callersUntil: 2400 * time.Millisecond, peersUntil: 3 * time.Second, attemptsUntil: 5100 * time.Millisecond, closeAt: 5520 * time.Millisecond})
	is.Equal(ten, stopPlan{callersUntil: callers, peersUntil: 5 * time.Second, attemptsUntil: 8500 * time.Millisecond, closeAt: 9200 * time.Millisecond})
	const began, longest = time.Second, 4400 * time.Millisecond
	is.True(ten.attemptsUntil > began+longest)
}

// TestStopPlanStaysWithinBound checks for any bound that the steps of a stop follow each other,
// that running attempts are waited for until at least 5/6 of the bound, and that 1/25 of the
// bound is left for the exit of the process.
func TestStopPlanStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Hour)).Draw(t, "total"))
		callers := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "callers"))
		p := planStop(total, callers)
		if p.callersUntil > p.peersUntil || p.peersUntil >= p.attemptsUntil || p.attemptsUntil >= p.closeAt || p.closeAt > total*24/25 {
			t.Fatalf("stop plan %v: want ordered steps that end within 24/25 of %v", p, total)
		}
		if p.attemptsUntil < total*5/6 {
			t.Fatalf("running attempts are cancelled after %v: want at least 5/6 of %v", p.attemptsUntil, total)
		}
	})
}
