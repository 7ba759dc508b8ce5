package callpath

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreygate/comfreygate/internal/memory"
)

// TestBodiesAreReadWhole guards against bodies that lose or gain bytes where one block ends and the next
// begins, and against memory that is not given back.
func TestBodiesAreReadWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("0123456789abcdef"), rapid.IntRange(0, 20_000).Draw(t, "sixteens"))
		want = want[:len(want)-min(len(want), rapid.IntRange(0, 15).Draw(t, "less"))]
		announced := int64(len(want))
		if rapid.Bool().Draw(t, "chunked") {
			announced = -1
		}
		budget := memory.NewBudget(1<<20, 1<<20, time.Now)
		body, err := readBody(bytes.NewReader(want), announced, 1<<20, budget.Open())
		if err != nil {
			t.Fatal(err)
		}
		if used := budget.Used(); used > int64(2*len(want)+firstBodyBlock) {
			t.Fatalf("%d bytes of memory for a body of %d", used, len(want))
		}
		got, err := io.ReadAll(body.newReader())
		if err != nil || !bytes.Equal(got, want) || !bytes.Equal(bytes.Join(body.parts(), nil), want) || body.Len() != len(want) {
			t.Fatalf("%d bytes were read of %d, %v", len(got), len(want), err)
		}
		body.release()
		if budget.Used() != 0 {
			t.Fatalf("%d bytes of memory are left", budget.Used())
		}
	})
}

// TestMemoryFollowsWhatHasArrived guards against a client that announces a long body, sends nothing, and
// takes the memory of the whole body.
func TestMemoryFollowsWhatHasArrived(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(1<<30, 0, time.Now)
	account := budget.Open()
	arriving, write := io.Pipe()
	done := make(chan error)
	go func() {
		_, err := readBody(arriving, 64<<20, 64<<20, account)
		done <- err
	}()
	const sent = 100_000
	write.Write(make([]byte, sent))
	is.True(budget.Used() < 3*sent)
	write.CloseWithError(io.ErrUnexpectedEOF)
	is.Equal(<-done, io.ErrUnexpectedEOF)
}

// serveCallers serves the ingress of a rig to callers the way the agent does, and returns the address.
func (r *rig) serveCallers(max int) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	srv := &http.Server{Handler: r.ingress, ConnContext: WithConn, ConnState: r.ingress.ConnState}
	go srv.Serve(r.ingress.Listener(ln, max))
	r.t.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}

// exchange sends text over a new connection and returns the response, and the connection.
func exchange(is *is.I, addr, text string) (*http.Response, net.Conn) {
	is.Helper()
	conn, err := net.Dial("tcp", addr)
	is.NoErr(err)
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.WriteString(conn, text)
	is.NoErr(err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	return res, conn
}

func postHead(path string, lines ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: any\r\n" + HeaderCaller + ": c\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// TestUnfinishedBodyIsRefusedAtTheDeadline guards against clients that keep a daemon waiting for the rest
// of a body: the call is refused as not run at its deadline, and the connection closed.
func TestUnfinishedBodyIsRefusedAtTheDeadline(t *testing.T) {
	for name, rest := range map[string]string{
		"length": "Content-Length: 1000", "chunked": "Transfer-Encoding: chunked",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, 1, 4, 0)
			r.ingress.cfg.Memory = memory.NewBudget(1<<20, 1<<20, time.Now)
			res, conn := exchange(is, r.serveCallers(0), postHead("/normal", rest, HeaderTimeout+": 200")+"3\r\nabc")
			defer conn.Close()
			is.Equal(res.StatusCode, http.StatusRequestTimeout)
			is.Equal(res.Header.Get(HeaderOutcome), "not-run")
			is.Equal(res.Header.Get(HeaderReason), "body-too-slow")
			is.True(res.Close)
			_, err := io.Copy(io.Discard, conn)
			is.NoErr(err) // the daemon closes the connection
			is.Equal(r.ingress.cfg.Memory.Used(), int64(0))
			is.Equal(r.workers[0].runs.Load(), int64(0))
		})
	}
}

// TestBodyOverTheLimitIsRefusedUnread guards against a daemon that reads a body up to the limit although
// its announced length is over it.
func TestBodyOverTheLimitIsRefusedUnread(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, 0)
	res, conn := exchange(is, r.serveCallers(0), postHead("/normal", fmt.Sprintf("Content-Length: %d", 2<<20)))
	defer conn.Close()
	is.Equal(res.StatusCode, http.StatusRequestEntityTooLarge)
	is.True(res.Close)
}

// TestBodyWithoutMemoryIsRefused guards against calls that wait, or are told anything but the truth, when
// no memory is left for their body. It is there again once the body that holds it has stalled.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, 0)
	const length = 1 << 20
	r.ingress.cfg.Memory = memory.NewBudget(1, length, time.Now)
	addr := r.serveCallers(0)
	unfinished, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer unfinished.Close()
	long := postHead("/normal", fmt.Sprintf("Content-Length: %d", length)) + strings.Repeat("x", length)
	_, err = io.WriteString(unfinished, long[:len(long)-1])
	is.NoErr(err)
	for r.ingress.cfg.Memory.Used() < length {
		time.Sleep(time.Millisecond)
	}
	res, conn := exchange(is, addr, long)
	defer conn.Close()
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.Equal(res.Header.Get(HeaderOutcome), "not-run")
	is.Equal(res.Header.Get(HeaderReason), "memory-full")
	after := res.Header.Get("Retry-After")
	is.Equal(after, "1")
	is.Equal(r.workers[0].runs.Load(), int64(0))
	res, conn = exchange(is, addr, postHead("/normal", "Content-Length: 1")+"x")
	conn.Close()
	is.Equal(res.StatusCode, http.StatusOK) // some memory is set aside for small bodies
	time.Sleep(memoryRetryAfter)
	res, conn = exchange(is, addr, long)
	defer conn.Close()
	is.Equal(res.StatusCode, http.StatusOK)
	res, err = http.ReadResponse(bufio.NewReader(unfinished), nil)
	is.NoErr(err)
	is.Equal(res.Header.Get(HeaderReason), "memory-full")
	is.Equal(r.workers[0].runs.Load(), int64(2))
}

// TestQuietestConnectionMakesRoom guards against clients that take all connections and keep ordinary
// callers out, and against calls that are broken off to make room.
func TestQuietestConnectionMakesRoom(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, 300*time.Millisecond)
	addr := r.serveCallers(3)
	open := func() net.Conn {
		conn, err := net.Dial("tcp", addr)
		is.NoErr(err)
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	running := open()
	_, err := io.WriteString(running, postHead("/normal", "Content-Length: 0"))
	is.NoErr(err)
	for r.workers[0].inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	silent := open()
	time.Sleep(10 * time.Millisecond)
	open()
	time.Sleep(10 * time.Millisecond)
	res, conn := exchange(is, addr, postHead("/normal", "Content-Length: 0"))
	defer conn.Close()
	is.Equal(res.StatusCode, http.StatusOK)
	is.NoErr(silent.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = silent.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	res, err = http.ReadResponse(bufio.NewReader(running), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(r.metrics.ClosedForRoom.Count(), int64(1))
}

// TestCallerWhoDoesNotReadFreesTheSlot guards against callers that do not take a streamed response and
// hold the upstream's slot for as long as they stay: the call ends at its deadline.
func TestCallerWhoDoesNotReadFreesTheSlot(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 1, 0)
	r.workers[0].extraBytes.Store(64 << 20)
	conn, err := net.Dial("tcp", r.serveCallers(0))
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, postHead("/normal", "Content-Length: 0", HeaderTimeout+": 300"))
	is.NoErr(err)
	for r.workers[0].owner.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	for began := time.Now(); r.workers[0].owner.InFlight() > 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatal("the slot is held long after the deadline")
		}
	}
}

// TestNewConnectionsWaitForACall guards against ordinary callers who are turned away in the moment in which
// all connections have calls in flight, and against a wait without end.
func TestNewConnectionsWaitForACall(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, maxFull/2)
	addr := r.serveCallers(1)
	begin := func() net.Conn {
		conn, err := net.Dial("tcp", addr)
		is.NoErr(err)
		t.Cleanup(func() { conn.Close() })
		_, err = io.WriteString(conn, postHead("/normal", "Content-Length: 0"))
		is.NoErr(err)
		return conn
	}
	outcomes := func(conns ...net.Conn) (answered int) {
		for _, c := range conns {
			if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && res.StatusCode == http.StatusOK {
				answered++
			}
		}
		return answered
	}
	is.Equal(outcomes(begin(), begin()), 2)
	r.workers[0].delay.Store(int64(maxFull + maxFull/2))
	is.Equal(outcomes(begin(), begin()), 1) // the second one is closed
}
