package callpath

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/ledger"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/view"
)

// TestInquiryIntervalFollowsTheRoutesLatency covers services whose ordinary calls take
// longer than the configured interval. An inquiry about each of them doubled the cost of
// a call and revealed nothing.
func TestInquiryIntervalFollowsTheRoutesLatency(t *testing.T) {
	is := is.New(t)
	r := &remote{inquireAfter: 500 * time.Millisecond}
	is.Equal(r.inquiryInterval(&Attempt{TypicalLatency: 20 * time.Millisecond}), 500*time.Millisecond)
	is.Equal(r.inquiryInterval(&Attempt{TypicalLatency: 450 * time.Millisecond}), 900*time.Millisecond)
}

// TestFailedInquiriesCancelOnlyRepeatableAttempts lets inquiries about an attempt fail,
// as over a link that holds packets for longer than an inquiry may take. A request that
// could not be repeated was reported as unknown while its upstream was still working on
// it.
func TestFailedInquiriesCancelOnlyRepeatableAttempts(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close() // inquiries are refused immediately
	u := view.Upstream{Owner: closed.Addr().String()}
	for _, repeatable := range []bool{true, false} {
		is := is.New(t)
		r := newRemote(&net.Dialer{}, time.Millisecond, event.NewRing("vm", event.NewClock(time.Now), 8), NewMetrics(metrics.NewRegistry()))
		ctx, cancel := context.WithCancelCause(context.Background())
		after := time.AfterFunc(3*inquiryRetryDelay, func() { cancel(context.DeadlineExceeded) })
		r.monitorAttempt(ctx, cancel, u, &Attempt{ID: "a", Repeatable: repeatable, Deadline: time.Now().Add(time.Minute)}, 10*time.Millisecond)
		<-ctx.Done()
		after.Stop()
		is.Equal(context.Cause(ctx) == errSilent, repeatable)
	}
}

// TestResponseUnderWayIsNotGivenUp guards against long responses that are cut in the middle. The owner has
// read the response from its upstream and calls the attempt finished, while the rest waits for its link:
// that is no sign that the response is lost.
func TestResponseUnderWayIsNotGivenUp(t *testing.T) {
	const inquireAfter = 50 * time.Millisecond
	for _, repeatable := range []bool{true, false} {
		is := is.New(t)
		owner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == pathAttempt {
				json.NewEncoder(w).Encode(InquiryReply{State: ledger.Finished})
				return
			}
			time.Sleep(inquireAfter + inquiryRetryDelay/2) // the first inquiry comes before the head
			w.Header().Set(HeaderOutcome, string(outcome.Answered))
			io.WriteString(w, "begun ")
			http.NewResponseController(w).Flush()
			time.Sleep(5 * inquiryRetryDelay)
			io.WriteString(w, "ended")
		}))
		defer owner.Close()
		r := newRemote(&net.Dialer{}, inquireAfter, event.NewRing("vm", event.NewClock(time.Now), 8), NewMetrics(metrics.NewRegistry()))
		r.suspects, r.callsCtx = suspect.NewTable(time.Now), context.Background()
		res := r.send(context.Background(), view.Upstream{Owner: owner.Listener.Addr().String()}, &Attempt{
			ID: "a-1", Repeatable: repeatable, Deadline: time.Now().Add(time.Minute),
			Method: http.MethodGet, URL: &url.URL{Path: "/normal"}, Header: http.Header{},
		})
		answer, err := readAnswer(res)
		is.NoErr(err)
		is.Equal(string(answer), "begun ended")
	}
}
