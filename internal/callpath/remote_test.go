package callpath

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreygate/comfreygate/internal/event"
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
