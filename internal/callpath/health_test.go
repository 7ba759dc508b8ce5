package callpath

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// busyOwner is an owner that answers calls and reports a wait for its link, if it has one.
// Connections of calls to /critical break, and it does not answer inquiries.
type busyOwner struct {
	wait time.Duration
	end  chan struct{}
}

// ServeHTTP implements http.Handler.
func (o *busyOwner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case pathVoid, pathAttempt:
		<-o.end
	case "/critical":
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderOutcome, string(outcome.Answered))
	w.Header().Set(headerLoad, outcome.Load{Slots: 4}.Encode())
	setEgressHeader(w.Header(), o.wait)
}

// TestOwnerBehindASaturatedLinkIsNotDown makes an owner unreachable right after it has
// answered a call. If its packets only wait behind its own responses, marking it as down
// takes away the capacity that is scarce: 723 times in 24 s on twelve VMs. An owner that
// refuses connections is down whatever it reported.
func TestOwnerBehindASaturatedLinkIsNotDown(t *testing.T) {
	for _, fault := range []string{"slow-dial", "unanswered-inquiry", "refused"} {
		for _, wait := range []time.Duration{0, 30 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/wait-%v", fault, wait), func(t *testing.T) {
				is := is.New(t)
				r := newRig(t, 1, 4, 0)
				var output syncBuffer
				r.ingress.cfg.Logger = zerolog.New(&output)
				owner := &busyOwner{wait: wait, end: make(chan struct{})}
				srv := httptest.NewServer(owner)
				defer srv.Close()
				defer close(owner.end)
				r.workers[0].srv.Close()
				r.workers[0].srv = srv
				r.update()
				is.Equal(r.send(config.Normal).outcome, string(outcome.Answered))
				pool := r.ingress.remote.pool(srv.Listener.Addr().String())
				urgency := config.Normal
				switch fault {
				case "slow-dial":
					pool.closeIdle()
					pool.dialer = slowDialer(func() { time.Sleep(50 * time.Millisecond) })
					pool.dialer.Timeout = 10 * time.Millisecond
				case "unanswered-inquiry":
					urgency = config.Critical
				case "refused":
					pool.closeIdle()
					srv.Listener.Close()
				}
				is.True(r.send(urgency).outcome != string(outcome.Answered))
				down := output.contains(`"owner-down"`)
				is.Equal(down, wait == 0 || fault == "refused")
				is.Equal(output.contains(`"owner-link-busy"`), !down)
			})
		}
	}
}
