package agent

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestDrainServesPendingConnections guards against a drain that resets connections which are
// established but not yet accepted: it drains a listener with pending connections and expects
// each of them to be served.
func TestDrainServesPendingConnections(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newDrainListener(tcp.(*net.TCPListener))
	const waiting = 20
	var clients []net.Conn
	for range waiting {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		clients = append(clients, c)
	}
	drained := make(chan error, 1)
	go func() { drained <- l.drain() }()
	served := 0
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		is.NoErr(err)
		_, err = io.WriteString(c, "served")
		is.NoErr(err)
		is.NoErr(c.Close())
		served++
	}
	is.NoErr(<-drained)
	is.Equal(served, waiting)
	for _, c := range clients {
		b, err := io.ReadAll(c)
		is.NoErr(err)
		is.Equal(string(b), "served")
	}
	_, err = net.Dial("tcp", l.Addr().String())
	is.True(err != nil) // closed
	is.NoErr(l.Close()) // http.Server.Shutdown closes it again
}

// TestDrainEndsIfListenerIsClosedFirst guards against a drain that waits forever because Kill has
// closed the listener before Accept saw the deadline that drain sets.
func TestDrainEndsIfListenerIsClosedFirst(t *testing.T) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	l := newDrainListener(tcp)
	drained := make(chan error, 1)
	go func() { drained <- l.drain() }()
	time.Sleep(50 * time.Millisecond) // until drain waits for Accept
	l.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept: %v, want %v", err, net.ErrClosed)
	}
	select {
	case <-drained:
	case <-time.After(5 * time.Second):
		t.Fatal("drain has not ended 5 s after the listener was closed")
	}
}
