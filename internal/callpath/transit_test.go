package callpath

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreygate/comfreygate/internal/boottime"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// TestTransitDelayShortensTheTimeLeft sends an attempt that was queued on a slow link.
// Without the deduction, an attempt sent with 297 ms left arrived 0.68 s later, and its
// upstream ran it 0.53 s after the caller had given up.
func TestTransitDelayShortensTheTimeLeft(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 1, time.Millisecond)
	w := r.workers[0]
	send := func(id string, age, left time.Duration) outcome.Reason {
		req := httptest.NewRequest(http.MethodGet, w.srv.URL+"/normal", nil)
		req.RequestURI = ""
		for name, value := range map[string]string{
			headerAttempt: id, headerUpstream: w.id, headerIncarnation: "1", headerUrgency: "1", HeaderDepth: "1",
			headerLeft: strconv.FormatInt(left.Microseconds(), 10),
			headerSent: strconv.FormatInt((boottime.Now() - age).Microseconds(), 10),
		} {
			req.Header.Set(name, value)
		}
		res, err := r.client.Do(req)
		is.NoErr(err)
		res.Body.Close()
		return outcome.Reason(res.Header.Get(HeaderReason))
	}
	is.Equal(send("a-life-1", 0, time.Second), outcome.Reason(""))
	is.Equal(send("a-life-2", 680*time.Millisecond, 297*time.Millisecond), outcome.ReasonDeadline)
	is.Equal(send("a-life-3", 200*time.Millisecond, time.Second), outcome.Reason(""))
	is.Equal(w.runs.Load(), int64(2))
}

// TestTransitIsExact checks that, for any offset between two clocks and any delays, the
// excess of a message is its delay beyond the shortest so far.
func TestTransitIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTransit()
		offset := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "offset"))
		now, least := time.Duration(0), time.Duration(-1)
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			delay := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay"))
			if least < 0 || delay < least {
				least = delay
			}
			if got := tr.excess("sender", now+offset-delay, now); got != delay-least {
				t.Fatalf("excess %v for a delay of %v, shortest %v", got, delay, least)
			}
		}
	})
}

// TestTransitAdaptsToALongerPath checks that a permanently longer delay, as after a VM
// has moved, becomes the baseline after two windows.
func TestTransitAdaptsToALongerPath(t *testing.T) {
	is := is.New(t)
	tr := newTransit()
	is.Equal(tr.excess("s", 0, 0), time.Duration(0))
	slow := 400 * time.Millisecond
	for at := time.Second; at < 2*transitWindow; at += time.Second {
		is.Equal(tr.excess("s", at-slow, at), slow)
	}
	at := 2*transitWindow + time.Second
	is.Equal(tr.excess("s", at-slow, at), time.Duration(0))
}

// TestTransitIsBounded checks that the table of senders stays within its limit: senders
// that no longer send are removed to make room for new ones.
func TestTransitIsBounded(t *testing.T) {
	is := is.New(t)
	tr := newTransit()
	for i := range 3 * transitSenders {
		tr.excess(strconv.Itoa(i), 0, 0)
	}
	is.True(len(tr.senders) <= transitSenders)
}
