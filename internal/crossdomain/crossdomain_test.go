package crossdomain

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// discardConn is a connection that accepts and delivers any number of bytes.
type discardConn struct{ net.Conn }

// Read implements net.Conn.
func (discardConn) Read(b []byte) (int, error) { return len(b), nil }

// Write implements net.Conn.
func (discardConn) Write(b []byte) (int, error) { return len(b), nil }

// TestBytesCountForThePurposeAtTheirTime: a pooled connection serves attempts of different
// purposes one after the other, and attempts within the failure domain.
func TestBytesCountForThePurposeAtTheirTime(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	counters := NewCounters(r)
	c := counters.Conn(discardConn{}, Calls)
	transfer := func(sent, received int) {
		c.Write(make([]byte, sent))
		c.Read(make([]byte, received))
	}
	transfer(10, 1)
	c.SetPurpose(Nested)
	transfer(200, 20)
	c.SetPurpose(Uncounted)
	transfer(1000, 1000)
	c.SetPurpose(Retries)
	transfer(3000, 300)
	is.Equal(counters.Bytes(), map[string]int64{"calls": 11, "nested": 220, "retries": 3300, "limits": 0, "control": 0})
	is.Equal(metrics.GetOrRegisterCounter("cross_domain.bytes.nested", r).Count(), int64(220))
}

// TestUndecidedBytesAreCountedOnce: the bytes of a connection before the failure domain of its
// other end is known count for the purpose that it gets then, also those of concurrent reads and
// writes, and for none if it stays within the domain.
func TestUndecidedBytesAreCountedOnce(t *testing.T) {
	is := is.New(t)
	counters := NewCounters(metrics.NewRegistry())
	c := counters.Conn(discardConn{}, Undecided)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 1000 {
				c.Write(make([]byte, 3))
				c.Read(make([]byte, 2))
			}
		})
	}
	wg.Go(func() { c.SetPurpose(Control) })
	wg.Wait()
	is.Equal(counters.Bytes()["control"], int64(4*1000*5))

	local := counters.Conn(discardConn{}, Undecided)
	local.Write(make([]byte, 100))
	local.SetPurpose(Uncounted)
	local.Write(make([]byte, 100))
	is.Equal(counters.Bytes()["control"], int64(4*1000*5))
}

// TestCountingAllocatesNothing: the counters are on the path of every call.
func TestCountingAllocatesNothing(t *testing.T) {
	is := is.New(t)
	c := NewCounters(metrics.NewRegistry()).Conn(discardConn{}, Calls)
	b := make([]byte, 64)
	is.Equal(testing.AllocsPerRun(1000, func() {
		c.SetPurpose(Nested)
		c.Write(b)
		c.Read(b)
	}), 0.0)
}

// TestDialedConnectionsCountForTheRequestsPurpose sends requests with and without a purpose
// through an HTTP transport, which keeps its connections.
func TestDialedConnectionsCountForTheRequestsPurpose(t *testing.T) {
	is := is.New(t)
	const length = 1000
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Write(body)
	}))
	t.Cleanup(srv.Close)
	counters := NewCounters(metrics.NewRegistry())
	send := func(ctx context.Context, transport *http.Transport, times int) {
		for range times {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL, strings.NewReader(strings.Repeat("x", length)))
			is.NoErr(err)
			res, err := transport.RoundTrip(req)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, res.Body)
			is.NoErr(err)
			res.Body.Close()
		}
		transport.CloseIdleConnections()
	}
	newTransport := func() *http.Transport {
		return &http.Transport{DialContext: counters.DialContext((&net.Dialer{}).DialContext)}
	}
	send(context.Background(), newTransport(), 3)
	send(WithPurpose(context.Background(), Uncounted), newTransport(), 3)
	is.Equal(counters.Bytes()["limits"], int64(0))
	send(WithPurpose(context.Background(), Limits), newTransport(), 3)
	counted := counters.Bytes()["limits"]
	is.True(counted > 3*2*length-length && counted < 3*(2*length+1000)) // both directions, with headers; the last write may not be counted yet
}
