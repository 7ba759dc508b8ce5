// Package peer carries messages between daemons over jsonrpc2 on long-lived
// TCP connections. It makes no control decisions: it reports connections and messages
// to a sink, and its user decides what to open, send and close.
package peer

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/comfreygate/comfreygate/internal/crossdomain"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/system"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

const (
	// queueLen bounds the messages that wait to be sent on a connection. A connection
	// whose queue is full is closed, so that it never delays the others.
	queueLen = 256
	// writeTimeout bounds the time to send one message.
	writeTimeout = 10 * time.Second
	dialTimeout  = 2 * time.Second
	// minAcceptPause and maxAcceptPause bound the pause after a failed Accept, which doubles with each
	// further one.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Sink receives the inputs of the control systems. It must not block for long.
type Sink func(system.Input)

// Transport holds the control connections of a daemon. Safe for concurrent use.
type Transport struct {
	sink    Sink
	clock   *event.Clock
	metrics metrics.Registry
	// domain is the failure domain of this daemon, crossDomain counts the bytes to and from
	// others.
	domain      string
	crossDomain *crossdomain.Counters
	dialer      net.Dialer
	// OnAcceptError is called when accepting a connection has failed, which happens at most once in
	// minAcceptPause. It must be set before Serve is called, and may be nil.
	OnAcceptError func(error)
	lastID        atomic.Uint64

	mu     sync.Mutex
	conns  map[table.LinkID]*conn
	closed bool
	ln     net.Listener
}

// discardLogger drops the log lines of the jsonrpc2 library. It logs the end of each
// connection, which is reported to the sink anyway.
var discardLogger = log.New(io.Discard, "", 0)

type conn struct {
	id        table.LinkID
	rpc       *jsonrpc2.Conn
	raw       net.Conn
	dialed    bool              // this daemon opened the connection
	counted   *crossdomain.Conn // raw, with its bytes counted
	queue     chan wire.Message
	done      chan struct{}
	closeOnce sync.Once
}

// New returns a transport for a daemon of the failure domain that reports to sink. Outgoing
// connections use source as their local address, or any address if source is nil.
func New(domain string, sink Sink, clock *event.Clock, source net.Addr, r metrics.Registry) *Transport {
	return &Transport{
		sink:        sink,
		clock:       clock,
		metrics:     r,
		domain:      domain,
		crossDomain: crossdomain.NewCounters(r),
		conns:       map[table.LinkID]*conn{},
		dialer:      net.Dialer{Timeout: dialTimeout, LocalAddr: source},
	}
}

// Serve accepts connections until the listener is closed. It closes the listener itself if the
// transport has been shut down before. After another error, such as a lack of descriptors, it goes on
// after a pause.
func (t *Transport) Serve(ln net.Listener) {
	t.mu.Lock()
	t.ln = ln
	if t.closed {
		ln.Close()
	}
	t.mu.Unlock()
	pause := minAcceptPause
	for {
		raw, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.acceptFailed(err)
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		t.register(raw, system.Opened{})
	}
}

// acceptFailed records a failed Accept.
func (t *Transport) acceptFailed(err error) {
	t.counter("control.accepts_failed").Inc(1)
	if t.OnAcceptError != nil {
		t.OnAcceptError(err)
	}
}

// Dial opens a connection in the background.
func (t *Transport) Dial(d system.Dial) {
	go func() {
		raw, err := t.dialer.Dial("tcp", d.Addr)
		if err != nil {
			t.sink(system.DialFailed{Addr: d.Addr, Reason: err.Error()})
			return
		}
		t.register(raw, system.Opened{Dialed: true, Probe: d.Probe, Addr: d.Addr})
	}()
}

// register adds an open connection, reports it and starts its goroutines.
func (t *Transport) register(raw net.Conn, opened system.Opened) {
	purpose := crossdomain.Uncounted
	if opened.Dialed {
		purpose = crossdomain.Undecided
	}
	c := &conn{
		id: table.LinkID(t.lastID.Add(1)), raw: raw, dialed: opened.Dialed, counted: t.crossDomain.Conn(raw, purpose),
		queue: make(chan wire.Message, queueLen), done: make(chan struct{}),
	}
	opened.Link = c.id
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		raw.Close()
		return
	}
	t.conns[c.id] = c
	t.mu.Unlock()
	t.sink(opened)
	stream := newStream(&countedConn{Conn: c.counted, in: t.counter("control.bytes_in"), out: t.counter("control.bytes_out")})
	c.rpc = jsonrpc2.NewConn(context.Background(), stream, &handler{transport: t, conn: c}, jsonrpc2.SetLogger(discardLogger))
	go t.writeLoop(c)
	go t.watch(c)
}

// writeLoop sends the queued messages of a connection in order.
func (t *Transport) writeLoop(c *conn) {
	for {
		select {
		case m := <-c.queue:
			if err := t.notify(c, m); err != nil {
				t.closeConn(c)
				return
			}
		case <-c.done:
			return
		}
	}
}

func (t *Transport) notify(c *conn, m wire.Message) error {
	body, err := json.Marshal(m)
	if err != nil {
		return errors.Wrapf(err, "encode control message %s", m.Method())
	}
	t.counter("control.sent." + m.Method()).Inc(1)
	t.counter("control.sent_bytes." + m.Method()).Inc(int64(len(body)))
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return c.rpc.Notify(context.Background(), m.Method(), wire.Envelope{Clock: t.clock.Now(), Body: body})
}

// watch waits for the end of a connection and reports it.
func (t *Transport) watch(c *conn) {
	<-c.rpc.DisconnectNotify()
	t.closeConn(c)
	t.sink(system.Closed{Link: c.id, Reason: "connection closed"})
}

func (t *Transport) closeConn(c *conn) {
	c.closeOnce.Do(func() {
		t.mu.Lock()
		delete(t.conns, c.id)
		t.mu.Unlock()
		close(c.done)
		c.raw.Close()
	})
}

// Send queues a message. A connection whose queue is full is closed.
func (t *Transport) Send(s system.Send) {
	t.mu.Lock()
	c := t.conns[s.Link]
	t.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case c.queue <- s.Message:
	default:
		t.closeConn(c)
	}
}

// closeDelay is the time that queued messages, such as a refusal, have to be sent before
// the connection is closed.
const closeDelay = 100 * time.Millisecond

// Close closes a connection after closeDelay.
func (t *Transport) Close(id table.LinkID) {
	t.mu.Lock()
	c := t.conns[id]
	t.mu.Unlock()
	if c != nil {
		time.AfterFunc(closeDelay, func() { t.closeConn(c) })
	}
}

// Shutdown closes the listener and all connections.
func (t *Transport) Shutdown() {
	t.mu.Lock()
	t.closed = true
	if t.ln != nil {
		t.ln.Close()
	}
	conns := make([]*conn, 0, len(t.conns))
	for _, c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		t.closeConn(c)
	}
}

func (t *Transport) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, t.metrics)
}

// setPurpose sets the purpose of the bytes of a connection that this daemon dialed, given the
// peer's hello, which has its failure domain.
func (t *Transport) setPurpose(c *conn, h wire.Hello) {
	switch {
	case !c.dialed:
	case h.Domain == t.domain:
		c.counted.SetPurpose(crossdomain.Uncounted)
	default:
		c.counted.SetPurpose(crossdomain.Control)
	}
}

type handler struct {
	transport *Transport
	conn      *conn
}

// Handle implements jsonrpc2.Handler. It is called for one message at a time, so
// messages are reported in the order of their arrival.
func (h *handler) Handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Params == nil {
		h.transport.closeConn(h.conn)
		return
	}
	var env wire.Envelope
	if err := json.Unmarshal(*req.Params, &env); err != nil {
		h.transport.closeConn(h.conn)
		return
	}
	m, err := wire.Decode(req.Method, env.Body)
	if err != nil {
		h.transport.counter("control.undecodable").Inc(1)
		h.transport.closeConn(h.conn)
		return
	}
	if hello, ok := m.(wire.Hello); ok {
		h.transport.setPurpose(h.conn, hello)
	}
	h.transport.clock.Observe(env.Clock)
	h.transport.sink(system.Received{Link: h.conn.id, Message: m})
}

// countedConn counts the bytes read from and written to a connection.
type countedConn struct {
	net.Conn
	in, out metrics.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Inc(int64(n))
	return n, err
}
