package peer

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/system"
)

// failingListener fails the first calls of Accept as a process without a free descriptor does.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServeContinuesAfterFailedAccepts guards against a daemon that lacks descriptors for a moment and
// accepts no other daemon ever after.
func TestServeContinuesAfterFailedAccepts(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	failing := &failingListener{Listener: ln}
	failing.failures.Store(3)
	opened := make(chan system.Input, 8)
	tr := New("d", func(in system.Input) { opened <- in }, event.NewClock(time.Now), nil, metrics.NewRegistry())
	served := make(chan struct{})
	go func() {
		tr.Serve(failing)
		close(served)
	}()
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer c.Close()
	select {
	case in := <-opened:
		_, ok := in.(system.Opened)
		is.True(ok)
	case <-time.After(5 * time.Second):
		t.Fatal("the connection was not accepted")
	}
	ln.Close()
	select {
	case <-served:
	case <-time.After(5 * time.Second):
		t.Fatal("Serve did not return after the listener was closed")
	}
}
