package callpath

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/compress"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/ledger"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/tcp"
	"github.com/comfreygate/comfreygate/internal/view"
)

// compressTo moves a worker to another failure domain, to whose daemons calls are compressed or
// not.
func (r *rig) compressTo(worker int, compressed bool) {
	r.setDomain(worker, "e")
	r.ingress.view.Load().Services["s"].Upstreams[worker].Compress = compressed
}

// closeIdle closes the idle connections of the ingress to its owners.
func (r *rig) closeIdle() {
	for _, p := range r.ingress.remote.owners {
		p.closeIdle()
	}
}

// TestCompressedCallsTakeFewerBytes: the counters of bytes between failure domains count the bytes on
// the wire; other counters count the bytes before compression.
func TestCompressedCallsTakeFewerBytes(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, 0)
	send := func(compressed bool) (wire, plain int64) {
		r.closeIdle()
		r.compressTo(0, compressed)
		in, out := r.metrics.Compress.Bytes()
		before := r.metrics.CrossDomain.Bytes()["calls"] + in + out
		wire = -r.metrics.CrossDomain.Bytes()["calls"]
		for range 20 {
			is.Equal(r.send(config.Normal).outcome, "answered")
		}
		wire += r.metrics.CrossDomain.Bytes()["calls"]
		in, out = r.metrics.Compress.Bytes()
		return wire, r.metrics.CrossDomain.Bytes()["calls"] + in + out - before - wire
	}
	uncompressed, counted := send(false)
	is.Equal(counted, int64(0))
	compressed, counted := send(true)
	t.Logf("20 calls: %d bytes, compressed %d", uncompressed, compressed)
	is.True(counted > uncompressed*9/10 && counted < uncompressed*11/10)
	is.True(compressed < uncompressed/2)
}

// TestPooledConnectionKeepsItsMode: an owner or the setting may change while connections are idle.
func TestPooledConnectionKeepsItsMode(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, 0)
	p := r.ingress.remote.pool(r.workers[0].srv.Listener.Addr().String())
	for _, opened := range []bool{true, false} {
		r.closeIdle()
		r.compressTo(0, opened)
		for range 2 {
			is.Equal(r.send(config.Normal).outcome, "answered")
			c := p.pop()
			is.True(c != nil)
			is.Equal(c.compressed != nil, opened)
			p.idle = append(p.idle, c)
			r.compressTo(0, !opened)
		}
	}
}

// TestClosedIdleCompressedConnectionIsNotUsed: an owner that restarts closes its connections.
func TestClosedIdleCompressedConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, 0)
	r.compressTo(0, true)
	is.Equal(r.send(config.Normal).outcome, "answered")
	r.workers[0].srv.CloseClientConnections()
	time.Sleep(20 * time.Millisecond) // until the kernel has processed the close
	is.Equal(r.send(config.Normal).outcome, "answered")
	is.Equal(r.workers[0].runs.Load(), int64(2))
	is.Equal(r.metrics.Retries.Count(), int64(0))
}

// TestOwnerOfAnEarlierBuildHasNotRunTheAttempt: an owner restarts as a build that does not know the
// preface before its new member record is known. It rejects the connection without having read a
// request, so that the outcome is certain.
func TestOwnerOfAnEarlierBuildHasNotRunTheAttempt(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, 0)
	earlier := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		t.Errorf("request %s was run", q.URL)
	}))
	defer earlier.Close()
	u := view.Upstream{ID: "w0", Daemon: "w0", Domain: "e", Owner: earlier.Listener.Addr().String(), Compress: true}
	for _, body := range []int{0, 400, 10_000, outcome.LongBody} {
		a := waitingAttempt("a-1", "w0", time.Now().Add(5*time.Second))
		a.Body = NewBody([]byte(strings.Repeat("\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", body/30)))
		res := r.ingress.remote.send(context.Background(), u, a)
		is.Equal(res.Outcome, outcome.NotRun)
		is.Equal(res.Reason, outcome.ReasonUpstreamRemoved)
		is.True(!res.OwnerDown) // the daemon is reachable
	}
}

// TestRejectionIsNotHiddenByTheUnsentBody guards against an attempt of unknown outcome where the
// owner has rejected the connection: a body that is withheld for that reason ends its sending with
// an error, sometimes before the result is returned.
func TestRejectionIsNotHiddenByTheUnsentBody(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, 0)
	earlier := httptest.NewServer(http.NotFoundHandler())
	defer earlier.Close()
	u := view.Upstream{ID: "w0", Daemon: "w0", Domain: "e", Owner: earlier.Listener.Addr().String(), Compress: true}
	unknown := 0
	for range 300 {
		a := waitingAttempt("a-1", "w0", time.Now().Add(5*time.Second))
		a.Body = NewBody(make([]byte, outcome.LongBody))
		if r.ingress.remote.send(context.Background(), u, a).Outcome != outcome.NotRun {
			unknown++
		}
	}
	is.Equal(unknown, 0)
}

// TestBreakInsideAFrameIsResolvedAtTheOwner: a connection whose owner ends it inside the frame of a
// response is handled as any broken connection: only the owner can say that the attempt did not run.
func TestBreakInsideAFrameIsResolvedAtTheOwner(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, 0)
	for _, c := range []struct {
		state ledger.State
		want  outcome.Kind
	}{{ledger.Started, outcome.Unknown}, {ledger.Voided, outcome.NotRun}} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			attempt, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = attempt.Read(make([]byte, 4096))
			_, _ = attempt.Write([]byte{1, 200, 1, 'x', 'y', 'z'}) // of a deflated frame of 200 bytes
			attempt.Close()
			_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(InquiryReply{State: c.state})
			}))
		}()
		u := view.Upstream{ID: "w0", Daemon: "w0", Domain: "e", Owner: ln.Addr().String(), Compress: true}
		res := r.ingress.remote.send(context.Background(), u, waitingAttempt("a-1", "w0", time.Now().Add(5*time.Second)))
		ln.Close()
		is.Equal(res.Outcome, c.want)
		is.True(strings.Contains(res.Err.Error(), io.ErrUnexpectedEOF.Error()))
	}
}

// TestWrappedConnectionsAreExamined: whether the other end has closed a connection is seen on the
// TCP connection below a compressed one.
func TestWrappedConnectionsAreExamined(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	accepting := compress.Listener(ln)
	raw, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer raw.Close()
	client := compress.Conn(raw, nil)
	server, err := accepting.Accept()
	is.NoErr(err)
	defer server.Close()
	is.NoErr(tcp.SetUnackedTimeout(client, time.Second))
	_, err = client.Write([]byte("request"))
	is.NoErr(err)
	_, err = io.ReadFull(server, make([]byte, len("request")))
	is.NoErr(err)
	ctx := WithConn(context.Background(), server)
	is.True(!callerDisconnected(ctx))
	is.True(tcp.StillOpen(client))
	_, err = server.Write([]byte("unexpected"))
	is.NoErr(err)
	eventually(t, func() bool { return !tcp.StillOpen(client) })
	is.NoErr(client.CloseWrite())
	eventually(t, func() bool { return callerDisconnected(ctx) })
}

// TestBytesAfterAResponsePreventReuse guards against the reuse of a connection with unread bytes,
// which would be taken for the response to the next request. They may have arrived in the same
// frame as the response.
func TestBytesAfterAResponsePreventReuse(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, 0)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		c, err := compress.Listener(ln).Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		response := "HTTP/1.1 200 OK\r\nComfrey-Outcome: answered\r\nContent-Length: 8000\r\n\r\n" + strings.Repeat("x", 8000)
		_, _ = c.Write([]byte(response + "HTTP/1.1 200 OK\r\n\r\n"))
	}()
	u := view.Upstream{ID: "w0", Daemon: "w0", Domain: "e", Owner: ln.Addr().String(), Compress: true}
	res := r.ingress.remote.send(context.Background(), u, waitingAttempt("a-1", "w0", time.Now().Add(5*time.Second)))
	is.Equal(res.Outcome, outcome.Answered)
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(len(body), 8000)
	is.NoErr(res.Body.Close())
	is.Equal(len(r.ingress.remote.pool(u.Owner).idle), 0)
}

// eventually waits until the condition holds.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for condition")
		}
	}
}
