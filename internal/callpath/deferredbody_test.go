package callpath

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// countingConn counts the bytes that a client sends.
type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	c.sent.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// TestRefusedBodyIsNotSent sends a long body to an owner that refuses it and to one that
// accepts it. A refused body must not use the link.
func TestRefusedBodyIsNotSent(t *testing.T) {
	const size = 200_000
	for _, wanted := range []bool{false, true} {
		is := is.New(t)
		var got atomic.Int64
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !wanted {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			n, _ := io.Copy(io.Discard, r.Body)
			got.Store(n)
		}))
		p := newPool(&net.Dialer{}, srv.Listener.Addr().String(), 0, time.Minute, Dialect{}, responseLimits{})
		conn, err := net.Dial("tcp", p.addr)
		is.NoErr(err)
		var sent atomic.Int64
		c := newClientConn(p, countingConn{conn, &sent})
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, srv.URL, strings.NewReader(strings.Repeat("x", size)))
		is.NoErr(err)
		req.Header.Set("Expect", expectContinue)
		res, err := c.roundTrip(req)
		is.NoErr(err)
		res.Body.Close()
		if wanted {
			is.Equal(res.StatusCode, http.StatusOK)
			is.Equal(got.Load(), int64(size))
		} else {
			is.Equal(res.StatusCode, http.StatusServiceUnavailable)
			is.True(sent.Load() < 1000) // only the headers
			is.True(c.notReusable)      // the connection cannot be reused: its server still expects the body
		}
		c.Close()
		srv.Close()
	}
}
