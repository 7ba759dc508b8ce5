// Package crossdomain counts the bytes that connections to other failure domains carry, by
// purpose. They are counted at the daemon that opened the connection, in both directions and with
// headers. The counts affect no decision.
package crossdomain

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Purpose says what the bytes on a connection are sent for. It changes when a pooled
// connection is reused.
type Purpose int32

const (
	// Undecided bytes are kept until the connection has a purpose: the failure domain of its
	// other end is not known yet.
	Undecided Purpose = iota
	// Uncounted connections stay within the failure domain.
	Uncounted
	// Calls are first attempts of calls that are not nested.
	Calls
	// Nested are first attempts of nested calls.
	Nested
	// Retries are all further attempts, of nested calls too.
	Retries
	// Limits are the messages between limit coordinators.
	Limits
	// Control are the messages of the control connections.
	Control
	purposes
)

// names are the last parts of the names of the counters.
var names = [purposes]string{Calls: "calls", Nested: "nested", Retries: "retries", Limits: "limits", Control: "control"}

// Counters counts bytes by purpose. Safe for concurrent use.
type Counters struct {
	bytes [purposes]metrics.Counter
}

// NewCounters registers the counters.
func NewCounters(r metrics.Registry) *Counters {
	c := &Counters{}
	for p, name := range names {
		if name != "" {
			c.bytes[p] = metrics.GetOrRegisterCounter("cross_domain.bytes."+name, r)
		}
	}
	return c
}

// Bytes returns the bytes counted so far, by the last part of the name of the counter.
func (c *Counters) Bytes() map[string]int64 {
	bytes := map[string]int64{}
	for p, name := range names {
		if name != "" {
			bytes[name] = c.bytes[p].Count()
		}
	}
	return bytes
}

func (c *Counters) add(p Purpose, n int64) {
	if counter := c.bytes[p]; counter != nil && n > 0 {
		counter.Inc(n)
	}
}

// Conn counts the bytes read from and written to a connection for its current purpose.
type Conn struct {
	net.Conn
	counters  *Counters
	purpose   atomic.Int32
	undecided atomic.Int64
}

// Conn returns a connection that counts the bytes of conn.
func (c *Counters) Conn(conn net.Conn, p Purpose) *Conn {
	counted := &Conn{Conn: conn, counters: c}
	counted.purpose.Store(int32(p))
	return counted
}

// SetPurpose sets the purpose of the bytes from now on, and of those that were undecided.
func (c *Conn) SetPurpose(p Purpose) {
	c.purpose.Store(int32(p))
	c.countUndecided()
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

func (c *Conn) count(n int) {
	if p := Purpose(c.purpose.Load()); p != Undecided {
		c.counters.add(p, int64(n))
		return
	}
	c.undecided.Add(int64(n))
	c.countUndecided() // SetPurpose may have run since the purpose was loaded
}

// countUndecided counts the undecided bytes if the connection has a purpose.
func (c *Conn) countUndecided() {
	if p := Purpose(c.purpose.Load()); p != Undecided {
		c.counters.add(p, c.undecided.Swap(0))
	}
}

// purposeKey is the context key of a Purpose.
type purposeKey struct{}

// dialFunc is the type of http.Transport.DialContext.
type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// WithPurpose returns a context for requests whose connections are counted for the purpose
// if the dial function returned by Counters.DialContext opens them.
func WithPurpose(ctx context.Context, p Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

// DialContext returns a dial function whose connections are counted if the context of the request
// that opens them has a purpose.
func (c *Counters) DialContext(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		p, ok := ctx.Value(purposeKey{}).(Purpose)
		if err != nil || !ok || p == Uncounted {
			return conn, err
		}
		return c.Conn(conn, p), nil
	}
}
