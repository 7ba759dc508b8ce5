package quota

import (
	"fmt"
	"testing"
	"time"
)

// callTimeout is the timeout of the calls of the simulated callers.
const callTimeout = 3 * time.Second

// referenceBucket is a plain token bucket that holds the whole of a limit. It sees the
// first arrival of each call, in order, wherever in the fleet the call arrives.
type referenceBucket struct {
	tokens float64
	at     time.Duration
	limit  Limit
}

// admit reports whether the bucket admits a call.
func (b *referenceBucket) admit(now time.Duration, limit Limit) bool {
	if b.at == 0 {
		b.tokens = limit.Burst
	}
	b.tokens = min(b.tokens+limit.Rate*(now-b.at).Seconds(), limit.Burst)
	b.at, b.limit = now, limit
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// tally counts the calls of a workspace that arrive from the given time on.
type tally struct {
	from time.Duration
	// reference counts the calls that the reference bucket admitted, refusedFirst those of
	// them that were refused at their first arrival, lost those that were refused
	// at their return as well.
	reference, refusedFirst, lost int
	// bySecond counts calls by the second of their first arrival, or of their admission.
	bySecond map[time.Duration]*secondTally
	// refusedReturning and admittedReturning count returning calls.
	refusedReturning, admittedReturning int
}

// secondTally counts the calls of one second.
type secondTally struct {
	reference, admittedFirst, admittedReturning int
}

func (t *tally) second(now time.Duration) *secondTally {
	if t.bySecond == nil {
		t.bySecond = map[time.Duration]*secondTally{}
	}
	key := now.Truncate(time.Second)
	if t.bySecond[key] == nil {
		t.bySecond[key] = &secondTally{}
	}
	return t.bySecond[key]
}

func (t *tally) arrived(now time.Duration, c *call) {
	if now >= t.from && c.inReference {
		t.reference++
		t.second(now).reference++
	}
}

func (t *tally) admitted(now time.Duration, c *call) {
	switch {
	case now < t.from:
	case c.returning:
		t.admittedReturning++
		t.second(now).admittedReturning++
	default:
		t.second(now).admittedFirst++
	}
}

func (t *tally) refused(now time.Duration, c *call) {
	switch {
	case now < t.from:
	case c.returning:
		t.refusedReturning++
		if c.inReference {
			t.lost++
		}
	case c.inReference:
		t.refusedFirst++
	}
}

// shortfall returns how many calls fewer than the reference bucket admitted were admitted
// at their first arrival: the sum over all seconds, so that a surplus in one second does not
// make up for a lack in another.
func (t *tally) shortfall() int {
	sum := 0
	for _, s := range t.bySecond {
		sum += max(0, s.reference-s.admittedFirst)
	}
	return sum
}

// shortfallFraction is shortfall as a fraction of the calls of the reference bucket.
func (t *tally) shortfallFraction() float64 {
	return float64(t.shortfall()) / float64(max(1, t.reference))
}

func (t *tally) String() string {
	n := float64(max(1, t.reference))
	return fmt.Sprintf("%d calls in reference; short by %.3f; of the same calls %.3f refused at first, %.3f at return too; returning: %d admitted, %d refused",
		t.reference, t.shortfallFraction(), float64(t.refusedFirst)/n, float64(t.lost)/n, t.admittedReturning, t.refusedReturning)
}

// Times of the excess in the simulated fleets.
const (
	excessFrom   = 9 * time.Second
	excessUntil  = 16 * time.Second
	excessFactor = 5
	excessLength = 22 * time.Second
	// excessCalls is how many calls per second the whole fleet receives without the excess.
	excessCalls = 1600
)

// returningCase is a workspace that sends more than its limit for a while.
type returningCase struct {
	name string
	// index is the index of the workspace in the fleet.
	index int
	start func(*fleet, *workspace)
}

// returningCases are the cases without a failure.
var returningCases = []returningCase{
	{"the largest workspace", 0, (*fleet).exceed},
	{"a middle workspace", 10, (*fleet).exceed},
	{"a small workspace", 40, (*fleet).exceed},
	{"a limit lowered far below the rate", 3, func(f *fleet, s *workspace) {
		f.after(excessFrom-f.now, func() { f.setLimit(s, Limit{Rate: s.usualRate / 4, Burst: s.usualRate / 4}) })
	}},
	{"two bursts after idle times", 3, func(f *fleet, s *workspace) {
		s.rateFactor = idleFactor
		f.burst(s, excessFrom, 300*time.Millisecond)
		f.burst(s, excessUntil, 500*time.Millisecond)
	}},
}

// idleFactor is the rateFactor of a workspace that sends no calls.
const idleFactor = 1e-9

// exceed makes a workspace send excessFactor times its usual rate from excessFrom to
// excessUntil.
func (f *fleet) exceed(s *workspace) {
	f.after(excessFrom-f.now, func() { s.rateFactor = excessFactor })
	f.after(excessUntil-f.now, func() { s.rateFactor = 1 })
}

// burst makes an idle workspace send calls at excessFactor times its usual rate.
func (f *fleet) burst(s *workspace, from, length time.Duration) {
	f.after(from-f.now, func() {
		s.rateFactor = excessFactor
		f.arrive(s)
	})
	f.after(from+length-f.now, func() { s.rateFactor = idleFactor })
}

// setLimit changes a workspace's limit at all coordinators. Windows that begin before are
// not measured.
func (f *fleet) setLimit(s *workspace, limit Limit) {
	s.limitFrom = f.now
	f.limits[s.name] = limit
	for _, d := range f.daemons {
		d.coordinator.Set(f.limits, len(f.domains))
	}
}

// play runs the case in a fleet of 65 daemons and returns its workspace.
func (c returningCase) play(f *fleet) *workspace {
	s := f.workspaces[c.index]
	s.tally.from = excessFrom
	c.start(f, s)
	f.run(excessLength)
	return s
}

// TestLimitHoldsWhileCallersReturn checks that no more calls are admitted than a limit
// allows while refused callers return, and prints which calls within the limit were refused.
func TestLimitHoldsWhileCallersReturn(t *testing.T) {
	for _, c := range returningCases {
		for _, callersReturn := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/return-%v", c.name, callersReturn), func(t *testing.T) {
				t.Parallel()
				f := newFleetWithLoad(65, 3, excessCalls, 1)
				f.callersReturn = callersReturn
				s := c.play(f)
				excess, name := f.worstExcess()
				t.Logf("limit %.0f calls/s, worst window %.3f (%s): %v", f.limits[s.name].Rate, excess, name, &s.tally)
				if excess > 0 {
					t.Errorf("%s exceeds its limit by %.3f in a window", name, excess)
				}
			})
		}
	}
}
