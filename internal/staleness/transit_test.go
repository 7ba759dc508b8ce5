package staleness

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestTransitIsExact checks that, for any offset between two clocks and any delays, the
// excess of a message is its delay beyond the shortest so far.
func TestTransitIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTransit()
		offset := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "offset"))
		now, least := time.Duration(0), time.Duration(-1)
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			delay := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay"))
			if least < 0 || delay < least {
				least = delay
			}
			if got := tr.Excess("sender", now+offset-delay, now); got != delay-least {
				t.Fatalf("excess %v for a delay of %v, shortest %v", got, delay, least)
			}
		}
	})
}

// TestTransitAdaptsToALongerPath checks that a permanently longer delay, as after a VM
// has moved, becomes the baseline after two windows.
func TestTransitAdaptsToALongerPath(t *testing.T) {
	is := is.New(t)
	tr := NewTransit()
	is.Equal(tr.Excess("s", 0, 0), time.Duration(0))
	slow := 400 * time.Millisecond
	for at := time.Second; at < 2*transitWindow; at += time.Second {
		is.Equal(tr.Excess("s", at-slow, at), slow)
	}
	at := 2*transitWindow + time.Second
	is.Equal(tr.Excess("s", at-slow, at), time.Duration(0))
}

// TestTransitIsBounded checks that the table of senders stays within its limit: senders
// that no longer send are removed to make room for new ones.
func TestTransitIsBounded(t *testing.T) {
	is := is.New(t)
	tr := NewTransit()
	for i := range 3 * transitSenders {
		tr.Excess(strconv.Itoa(i), 0, 0)
	}
	is.True(len(tr.senders) <= transitSenders)
}
