package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOtherVersionsAreSampledBesideTheNewOne checks that calls to other versions are counted
// only after calls to the new version on the same route. Calls of another time or route
// would make the comparison unfair.
func TestOtherVersionsAreSampledBesideTheNewOne(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	old := Call{Route: "a", Took: time.Second}
	for range 10 {
		e.Note(old)
	}
	is.Equal(len(e.Rows()), 0)
	e.Note(Call{Route: "a", Upstream: "u", Target: true, Took: 3 * time.Second})
	e.Note(Call{Route: "b", Upstream: "u", Target: true, Failed: true})
	for range 10 {
		e.Note(old)
	}
	sum := Tally{}
	sum.Add(e.Rows())
	is.Equal(sum.Sum(false), Count{N: ControlsPerCall, Timed: ControlsPerCall})
	is.Equal(sum.Sum(true), Count{N: 2, Failed: 1, Timed: 1, Slow: 1})
}

// TestConnectionSetupIsNotSlow guards against answers counted as slow only because a new
// connection was opened, which can take longer than the upstream's work.
func TestConnectionSetupIsNotSlow(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	e.Note(Call{Route: "a", Took: 250 * time.Microsecond})
	e.Note(Call{Route: "a", Upstream: "u", Target: true, Took: 2 * time.Millisecond})
	e.Note(Call{Route: "a", Upstream: "u", Target: true, Took: 3 * time.Millisecond})
	sum := Tally{}
	sum.Add(e.Rows())
	is.Equal(sum.Sum(true), Count{N: 2, Timed: 2, Slow: 1})
}
