package callpath

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

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
