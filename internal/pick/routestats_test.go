package pick

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRetryingCallersAreKnownByTheTimeTheyHaveLeft: where callers allow 6 s for a call,
// one that arrives with 4.5 s left has waited before. A single caller that allows much
// more time than all others must not make those look late for long.
func TestRetryingCallersAreKnownByTheTimeTheyHaveLeft(t *testing.T) {
	const timeout = 3 * time.Second
	is := is.New(t)
	routes := routeTable{}
	is.Equal(routes.waited("r", 6*time.Second, timeout), time.Duration(0))
	is.Equal(routes.waited("r", 4500*time.Millisecond, timeout), 1500*time.Millisecond)
	is.True(routes.waited("r", 6*time.Second, timeout) < 20*time.Millisecond)
	is.Equal(routes.waited("r", time.Hour, timeout), time.Duration(0))
	is.Equal(routes.waited("r", 6*time.Second, timeout), 3*time.Second) // counted as 9 s
	for range 500 {
		routes.waited("r", 6*time.Second, timeout)
	}
	is.True(routes.waited("r", 6*time.Second, timeout) < 50*time.Millisecond)
	_, took := routes.expect("r", 0, 400*time.Millisecond)
	is.Equal(took, 100*time.Millisecond) // no answer recorded yet
}
