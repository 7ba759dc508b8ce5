package callpath

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

// TestCrashIsDistinguishedFromBrokenConnection breaks one connection of a running
// upstream, and then crashes the upstream with calls in flight. The reason in the answers
// must distinguish the two, and the crash must be counted once, however many calls it
// breaks.
func TestCrashIsDistinguishedFromBrokenConnection(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 8, time.Second)
	w := r.workers[0]
	reasons := make(chan string, 8)
	send := func() {
		req, err := http.NewRequest(http.MethodPost, r.srv.URL+"/normal", nil)
		is.NoErr(err)
		req.Header.Set(HeaderCaller, "c")
		res, err := r.client.Do(req)
		if err != nil {
			reasons <- err.Error()
			return
		}
		res.Body.Close()
		reasons <- res.Header.Get(HeaderReason)
	}
	waitForRunning := func(n int64) {
		for w.inFlight.Load() != n {
			time.Sleep(time.Millisecond)
		}
	}
	go send()
	waitForRunning(1)
	w.up.CloseClientConnections()
	is.Equal(<-reasons, string(outcome.ReasonBroken))
	is.Equal(r.metrics.UpstreamCrashes.Count(), int64(0))
	waitForRunning(0)
	const n = 4
	for range n {
		go send()
	}
	waitForRunning(n)
	is.NoErr(w.up.Listener.Close())
	w.up.CloseClientConnections()
	for range n {
		is.Equal(<-reasons, string(outcome.ReasonCrashed))
	}
	is.Equal(r.metrics.UpstreamCrashes.Count(), int64(1))
	is.Equal(r.metrics.CrashedAttempts.Count(), int64(n))
}
