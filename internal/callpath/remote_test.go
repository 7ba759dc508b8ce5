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

// TestSlowRoutesAreNotAskedAboutAllTheTime covers services whose ordinary
// calls last longer than the setting: asking at each of them doubled what a
// call costs, and told nothing.
func TestSlowRoutesAreNotAskedAboutAllTheTime(t *testing.T) {
	is := is.New(t)
	r := &remote{inquireAfter: 500 * time.Millisecond}
	is.Equal(r.patience(&Attempt{Usual: 20 * time.Millisecond}), 500*time.Millisecond)
	is.Equal(r.patience(&Attempt{Usual: 450 * time.Millisecond}), 900*time.Millisecond)
}

// TestUnaskableOwnerEndsOnlyWhatMayBeRepeated lets questions about an attempt go
// unanswered, as over a link that holds packets for longer than a question
// waits. Seen: a request that could not be repeated was answered as unknown
// while its upstream worked on it.
func TestUnaskableOwnerEndsOnlyWhatMayBeRepeated(t *testing.T) {
	nobody, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody.Close() // questions are refused at once
	u := view.Upstream{Owner: nobody.Addr().String()}
	for _, repeatable := range []bool{true, false} {
		is := is.New(t)
		r := newRemote(&net.Dialer{}, time.Millisecond, event.NewRing("vm", event.NewClock(time.Now), 8), NewMetrics(metrics.NewRegistry()))
		ctx, cancel := context.WithCancelCause(context.Background())
		after := time.AfterFunc(3*askAgain, func() { cancel(context.DeadlineExceeded) })
		r.inquire(ctx, cancel, u, &Attempt{ID: "a", Repeatable: repeatable, Deadline: time.Now().Add(time.Minute)}, 10*time.Millisecond)
		<-ctx.Done()
		after.Stop()
		is.Equal(context.Cause(ctx) == errSilent, repeatable)
	}
}
