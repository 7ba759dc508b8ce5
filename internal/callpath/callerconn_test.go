package callpath

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/ledger"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/tcp"
)

// connPair returns the two ends of a TCP connection.
func connPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// TestAttemptOfDisconnectedCallerIsNotStarted covers an attempt whose caller has closed
// its connection before the server noticed and cancelled the context: the attempt must be
// voided, not run.
func TestAttemptOfDisconnectedCallerIsNotStarted(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 1, time.Millisecond)
	w := r.workers[0]
	client, server := connPair(t)
	go func() { // reads ahead as an HTTP server does
		var b [1]byte
		_, _ = server.Read(b[:])
	}()
	ctx := WithConn(context.Background(), server)
	attempt := func(id string) *Attempt {
		return &Attempt{
			ID: id, Upstream: w.id, Urgency: config.Normal, Deadline: time.Now().Add(time.Minute),
			Method: http.MethodGet, URL: &url.URL{Path: "/normal"}, Header: http.Header{},
		}
	}
	served := w.owner.execute(ctx, attempt("there"))
	is.Equal(served.Outcome, outcome.Answered)
	served.Body.Close() // releases the slot
	disconnected, serverEnd := connPair(t)
	disconnected.Close()
	for !tcp.ClosedByPeer(serverEnd) { // until the kernel has processed the close
		time.Sleep(time.Millisecond)
	}
	refused := w.owner.execute(WithConn(context.Background(), serverEnd), attempt("gone"))
	is.Equal(refused.Outcome, outcome.NotRun)
	is.Equal(refused.Reason, outcome.ReasonCancelled)
	is.Equal(w.runs.Load(), int64(1))
	is.Equal(w.owner.ledger.State("gone"), ledger.Voided)
	is.True(!tcp.ClosedByPeer(server)) // although another goroutine is reading from it
	client.Close()
}
