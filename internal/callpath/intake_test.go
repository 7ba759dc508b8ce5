package callpath

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// narrowLink is a VM's link that passes bytes one after the other.
type narrowLink struct {
	bytesPerSecond float64
	free           time.Time
}

// pass returns how long after its sending something has arrived.
func (l *narrowLink) pass(at time.Time, size int64) time.Duration {
	l.free = later(at, l.free).Add(time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second)))
	return l.free.Sub(at)
}

// TestShortCallsPassLongBodies covers VMs with links of 6 Mbit/s whose upstream
// is sent 60 KB bodies and, many times as often, short calls by which other
// services wait with a slot held. At 12 bodies a second, 8 of which the link
// could bear, the short calls waited until their deadline of a second, and those
// who made them failed. Grounds: sizes and rates of the larger deployments.
func TestShortCallsPassLongBodies(t *testing.T) {
	const body, short = 60_000, 1_000
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	at := time.Unix(1000, 0)
	link := narrowLink{bytesPerSecond: 6e6 / 8}
	in := newIntake(6, func() time.Time { return at })
	type arrival struct {
		at   time.Time
		size int64
	}
	var waiting []arrival
	passed, refused, worst := 0, 0, time.Duration(0)
	for range 10_000 { // of 1 ms
		at = at.Add(time.Millisecond)
		if rng.Float64() < 0.012 {
			if t, _, ok := in.reserve(body, at.Add(10*time.Second)); ok {
				waiting = append(waiting, arrival{t.at, body})
			} else {
				refused++
			}
		}
		for len(waiting) > 0 && !waiting[0].at.After(at) {
			link.pass(at, body)
			waiting = waiting[1:]
			passed++
		}
		if rng.Float64() < 0.12 {
			worst = max(worst, link.pass(at, short))
		}
	}
	t.Logf("bodies: %d passed, %d refused; the worst short call took %v to arrive", passed, refused, worst)
	is.True(worst < 300*time.Millisecond) // of an objective of 400 ms
	is.True(passed >= 80)                 // 0.7 of the link in 10 s: 87 bodies
	is.True(refused > 0)
}

func TestIntakeRefusesWhatComesTooLate(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	in := newIntake(8, func() time.Time { return at }) // 700 KB/s for bodies
	first, _, ok := in.reserve(350_000, at.Add(time.Minute))
	is.True(ok)
	is.Equal(first.at, at)
	_, _, ok = in.reserve(350_000, at.Add(900*time.Millisecond))
	is.True(!ok) // it would be in after a second
	second, _, ok := in.reserve(700_000, at.Add(time.Minute))
	is.True(ok)
	is.Equal(second.at, at.Add(500*time.Millisecond))
	_, after, ok := in.reserve(20_000, at.Add(time.Minute))
	is.True(!ok) // 1.5 s ahead of it
	is.Equal(after, 1500*time.Millisecond)
	in.cancel(second)
	is.Equal(in.wait(), 500*time.Millisecond)
	_, _, ok = newIntake(0, func() time.Time { return at }).reserve(1<<30, at)
	is.True(ok) // no bound
}

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

// TestRefusedBodyDoesNotCrossTheLink sends a long body to an owner that refuses
// it and to one that takes it.
func TestRefusedBodyDoesNotCrossTheLink(t *testing.T) {
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
		p := newPool(&net.Dialer{}, srv.Listener.Addr().String(), 0, time.Minute, Dialect{})
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
			is.True(sent.Load() < 1000) // the headers
			is.True(c.spoiled)          // the body is still owed on this connection
		}
		c.Close()
		srv.Close()
	}
}
