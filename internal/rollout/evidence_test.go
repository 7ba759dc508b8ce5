package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOtherVersionsAreCountedBesideTheNewOne counts calls to others only after those to
// the new version, on the same route: what is compared happened at one time and place.
func TestOtherVersionsAreCountedBesideTheNewOne(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	old := Seen{Route: "a", Took: time.Second}
	for range 10 {
		e.Note(old)
	}
	is.Equal(len(e.Rows()), 0)
	e.Note(Seen{Route: "a", Upstream: "u", Target: true, Took: 3 * time.Second})
	e.Note(Seen{Route: "b", Upstream: "u", Target: true, Failed: true})
	for range 10 {
		e.Note(old)
	}
	sum := Tally{}
	sum.Add(e.Rows())
	is.Equal(sum.Sum(false), Count{N: Controls, Timed: Controls})
	is.Equal(sum.Sum(true), Count{N: 2, Failed: 1, Timed: 1, Slow: 1})
}

// TestFewMillisecondsMoreAreNotSlow covers upstreams whose work takes less than opening a
// connection does.
func TestFewMillisecondsMoreAreNotSlow(t *testing.T) {
	is := is.New(t)
	e := NewEvidence()
	e.Note(Seen{Route: "a", Took: 250 * time.Microsecond})
	e.Note(Seen{Route: "a", Upstream: "u", Target: true, Took: 2 * time.Millisecond})
	e.Note(Seen{Route: "a", Upstream: "u", Target: true, Took: 3 * time.Millisecond})
	sum := Tally{}
	sum.Add(e.Rows())
	is.Equal(sum.Sum(true), Count{N: 2, Timed: 2, Slow: 1})
}
