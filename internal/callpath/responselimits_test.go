package callpath

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// endlessUpstream answers each request with a beginning and then the same bytes without end, until
// its connection is closed. It returns its address and a counter of the bytes sent.
func endlessUpstream(t *testing.T, beginning func(*http.Request) string, repeated string) (string, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	sent := new(atomic.Int64)
	block := []byte(strings.Repeat(repeated, 1+8192/len(repeated)))
	serve := func(c net.Conn) {
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n, err := io.WriteString(c, beginning(req))
		for err == nil {
			sent.Add(int64(n))
			n, err = c.Write(block)
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String(), sent
}

// TestBytesWithoutEndAreNotReadOn guards against a daemon that runs out of memory, or reads until the
// deadline, because of a faulty upstream that sends bytes without end.
func TestBytesWithoutEndAreNotReadOn(t *testing.T) {
	const (
		maxHeader   = 16 << 10
		maxResponse = 2 << 20
		// socketBytes is what the buffers of a connection's sockets hold.
		socketBytes = 8 << 20
		// The caller has its answer long before the deadline.
		deadline, promptly = 10 * time.Second, 2 * time.Second
	)
	final := func(headers string) func(*http.Request) string {
		return func(req *http.Request) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s", HeaderRequest, req.Header.Get(HeaderRequest), headers)
		}
	}
	fixed := func(text string) func(*http.Request) string { return func(*http.Request) string { return text } }
	for name, c := range map[string]struct {
		beginning func(*http.Request) string
		repeated  string
	}{
		"status line":       {fixed(""), "x"},
		"one header":        {final("X-Long: "), "x"},
		"many headers":      {final(""), "X-More: 1\r\n"},
		"interim responses": {fixed(""), "HTTP/1.1 102 Processing\r\n\r\n"},
		"interim headers":   {fixed("HTTP/1.1 103 Early Hints\r\n"), "Link: x\r\n"},
		"foreign responses": {fixed(""), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		"foreign chunks":    {fixed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), "4\r\nabcd\r\n"},
		"foreign body":      {fixed("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"), "x"},
		"refusal":           {fixed("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n"), "4\r\nabcd\r\n"},
		"chunks":            {final("Transfer-Encoding: chunked\r\n\r\n"), "4\r\nabcd\r\n"},
		"chunk extension":   {final("Transfer-Encoding: chunked\r\n\r\n4;"), "x"},
		"trailers":          {final("Transfer-Encoding: chunked\r\nTrailer: X-More\r\n\r\n0\r\n"), "X-More: 1\r\n"},
		"body of a length":  {final("Content-Length: 99999999999\r\n\r\n"), "x"},
		"body until closed": {final("Connection: close\r\n\r\n"), "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			owner := newRig(t, 1, 4, time.Millisecond).workers[0].owner
			owner.cfg.Dialect.EchoesRequestID, owner.cfg.Dialect.NotRun = true, "Not-Run"
			owner.cfg.MaxHeader, owner.cfg.MaxResponse = maxHeader, maxResponse
			addr, sent := endlessUpstream(t, c.beginning, c.repeated)
			owner.Update(&view.View{Locals: []table.Local{{Upstream: wire.Upstream{ID: "raw", Service: "s", Slots: 4}, Addr: addr, Conns: 4}}})
			began := time.Now()
			got := owner.execute(context.Background(), &Attempt{
				ID: "a", Request: "r", Upstream: "raw", Urgency: config.Normal, Deadline: began.Add(deadline),
				Method: http.MethodPost, URL: &url.URL{Path: "/normal"}, Header: http.Header{},
			})
			if got.Outcome == outcome.Answered {
				n, err := io.Copy(io.Discard, got.Body)
				got.Body.Close()
				is.True(err != nil) // it is not taken for complete
				is.True(n <= maxResponse)
			} else if name == "refusal" {
				is.Equal(got.Outcome, outcome.NotRun)
			} else {
				is.Equal(got.Outcome, outcome.Unknown)
			}
			is.True(time.Since(began) < promptly)
			time.Sleep(50 * time.Millisecond)
			total := sent.Load()
			is.True(total < maxResponse+socketBytes)
			time.Sleep(50 * time.Millisecond)
			is.Equal(sent.Load(), total) // its connection is closed
		})
	}
}

// FuzzResponse guards against bytes of an upstream that are read without end, or that end the daemon:
// whatever it sends in front of 64 MiB more, the heads and bodies of the responses stay within
// their limits.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"", "HTTP/1.1 200 OK\r\nComfrey-Request: r\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n", "HTTP/1.1 503 No\r\nNot-Run: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", "HTTP/1.0 200\r\n\r\n", "\x00\xff",
	} {
		f.Add([]byte(seed), byte('x'))
		f.Add([]byte(seed), byte('\n'))
	}
	dialect := DefaultDialect()
	dialect.EchoesRequestID, dialect.NotRun = true, "Not-Run"
	limits := responseLimits{head: 4 << 10, body: 64 << 10}
	f.Fuzz(func(t *testing.T, beginning []byte, repeated byte) {
		rest := &repeatedReader{value: repeated, left: 64 << 20}
		p := newPool(&net.Dialer{}, "", 0, time.Minute, dialect, limits)
		c := newClientConn(p, readOnlyConn{Reader: io.MultiReader(bytes.NewReader(beginning), rest)})
		req := &http.Request{Method: http.MethodPost, Header: http.Header{HeaderRequest: {"r"}}}
		res, err := c.receive(req, nil)
		if err == nil {
			n, _ := io.Copy(io.Discard, res.Body)
			if n > limits.body {
				t.Errorf("%d bytes of a body were passed on, at most %d are allowed", n, limits.body)
			}
		}
		const buffered = 64 << 10
		if read := 64<<20 - rest.left; read > int(limits.head+limits.body)+maxForeignBytes+buffered {
			t.Errorf("%d bytes were read", read)
		}
	})
}

// repeatedReader reads one byte value over and over.
type repeatedReader struct {
	value byte
	left  int
}

func (r *repeatedReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.left)
	for i := range p[:n] {
		p[i] = r.value
	}
	r.left -= n
	return n, nil
}

// readOnlyConn is a connection that can only be read.
type readOnlyConn struct {
	net.Conn
	io.Reader
}

func (c readOnlyConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// TestResponseToHeadMayStateAnyLength guards against a response without a body that is rejected for the
// length of the body that it stands for.
func TestResponseToHeadMayStateAnyLength(t *testing.T) {
	is := is.New(t)
	p := newPool(&net.Dialer{}, "", 0, time.Minute, DefaultDialect(), responseLimits{body: 10})
	for method, accepted := range map[string]bool{http.MethodHead: true, http.MethodGet: false} {
		c := newClientConn(p, readOnlyConn{Reader: strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nhello world")})
		_, err := c.receive(&http.Request{Method: method, Header: http.Header{}}, nil)
		is.Equal(err == nil, accepted)
	}
}
