package peer

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/system"
)

// TestServeReturnsAfterAnEarlierShutdown guards against a daemon that never ends, because it was
// stopped before its listener was served.
func TestServeReturnsAfterAnEarlierShutdown(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	tr := New("d", func(system.Input) {}, event.NewClock(time.Now), nil, metrics.NewRegistry())
	tr.Shutdown()
	served := make(chan struct{})
	go func() {
		tr.Serve(ln)
		close(served)
	}()
	select {
	case <-served:
	case <-time.After(5 * time.Second):
		t.Error("Serve accepts connections on a transport that has been shut down")
	}
	_, err = net.Dial("tcp", ln.Addr().String())
	is.True(err != nil) // the listener is closed
}
