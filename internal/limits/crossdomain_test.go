package limits

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/boottime"
	"github.com/comfreygate/comfreygate/internal/quota"
	"github.com/comfreygate/comfreygate/internal/view"
)

// TestOnlyLeaseRequestsCountAsCrossDomain: reports go to the coordinator of the own failure
// domain, lease requests to those of others.
func TestOnlyLeaseRequestsCountAsCrossDomain(t *testing.T) {
	is := is.New(t)
	requested := make(chan string, 8)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		requested <- r.URL.Path
		_, _ = w.Write([]byte("{}"))
	}))
	t.Cleanup(srv.Close)
	r := metrics.NewRegistry()
	l := New(Config{Domain: "d", Dialer: &net.Dialer{}, Metrics: r, Logger: zerolog.Nop()})
	t.Cleanup(l.client.CloseIdleConnections)
	counted := func() int64 { return metrics.GetOrRegisterCounter("cross_domain.bytes.limits", r).Count() }
	peer := view.LimitCoordinator{Daemon: "peer", Owner: srv.Listener.Addr().String()}

	_, err := l.sendReport(context.Background(), peer, quota.Report{})
	is.NoErr(err)
	is.Equal(<-requested, PathReport)
	is.Equal(counted(), int64(0))

	l.client.CloseIdleConnections()
	l.view.Store(&view.View{LimitCoordinators: map[string]view.LimitCoordinator{"d": {Local: true}, "e": peer}})
	l.coordinator.Set(map[string]quota.Limit{"a": {Rate: 10}}, 2)
	l.coordinator.HandleReport(boottime.Now(), quota.Report{Used: map[string]int{"a": 1000}})
	l.requestLeases(context.Background())
	is.Equal(<-requested, PathLeases)
	for deadline := time.Now().Add(5 * time.Second); l.requestingLeases.Load() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	t.Logf("%d bytes for a lease request", counted())
	is.True(counted() > 100) // headers in both directions
}
