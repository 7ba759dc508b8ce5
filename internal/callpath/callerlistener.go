package callpath

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/memory"
)

// Listener returns a listener of callers' connections that keep to the time limits of the
// configuration in force: config.Limits.HeaderTimeout from the first byte of a request's headers,
// IdleTimeout for a connection without a request. Zero limits leave the deadlines that the server sets.
// At most max connections are open at once, or any number if max is 0: for one more, the one on which
// nothing has happened for the longest time is closed. If all have calls in flight, it waits for a while.
// The server must call ConnState.
func (in *Ingress) Listener(ln net.Listener, max int) net.Listener {
	return &callerListener{
		Listener: ln, limits: func() config.Limits { return in.view.Load().Limits },
		max: max, open: map[*callerConn]struct{}{}, memory: in.cfg.Memory, metrics: in.cfg.Metrics,
	}
}

// ConnState is called by the server when the state of a connection of Listener has changed. Use it as
// the ConnState of an http.Server.
func (in *Ingress) ConnState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*callerConn); ok && state == http.StateIdle {
		c.idle.Store(true)
		c.busy.Store(false)
		c.head.reset()
	}
}

// setBusy records that the connection of a request has a call in flight, so that it is not closed to
// make room for others.
func setBusy(r *http.Request, busy bool) {
	if c, ok := connOf(r).(*callerConn); ok {
		c.busy.Store(busy)
	}
}

type callerListener struct {
	net.Listener
	limits  func() config.Limits
	max     int
	memory  *memory.Budget
	metrics *Metrics

	// fullSince is since when there has been no room for a new connection, or zero. Only Accept uses it.
	fullSince time.Time

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &callerConn{Conn: c, limits: l.limits, listener: l}
		conn.head.open = func() *memory.Account { return openHead(l.memory, c) }
		conn.idle.Store(true)
		conn.touch()
		if l.awaitRoom(conn) {
			return conn, nil
		}
		l.metrics.ClosedForRoom.Inc(1)
		c.Close()
	}
}

const (
	// minQuiet is how long nothing must have happened on a connection that is closed to make room. A
	// caller has that much time to send its request.
	minQuiet = 100 * time.Millisecond
	// maxFull is how long new connections may wait for room: then none of the calls in flight has ended
	// for as long, and the callers had better try another daemon.
	maxFull = time.Second
	// roomPollInterval is the interval at which a connection that waits for room tries again.
	roomPollInterval = 5 * time.Millisecond
)

// awaitRoom waits until there is room for a connection. Further ones wait in the queue of the system.
// False: there has been none for maxFull.
func (l *callerListener) awaitRoom(conn *callerConn) bool {
	for !l.makeRoom(conn) {
		if l.fullSince.IsZero() {
			l.fullSince = time.Now()
		}
		if time.Since(l.fullSince) > maxFull {
			return false
		}
		time.Sleep(roomPollInterval)
	}
	l.fullSince = time.Time{}
	return true
}

// makeRoom adds a connection to the open ones and closes another one for it if necessary. False: all
// others have calls in flight or are not quiet.
func (l *callerListener) makeRoom(conn *callerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.max > 0 && len(l.open) >= l.max {
		quietest := l.quietest()
		if quietest == nil {
			return false
		}
		l.metrics.ClosedForRoom.Inc(1)
		delete(l.open, quietest)
		quietest.Conn.Close()
	}
	l.open[conn] = struct{}{}
	return true
}

// quietest returns the connection without a call in flight on which nothing has happened for the longest
// time, or nil if that is not long enough. The caller holds the lock.
func (l *callerListener) quietest() *callerConn {
	var quietest *callerConn
	for c := range l.open {
		if !c.busy.Load() && (quietest == nil || c.activeAt.Load() < quietest.activeAt.Load()) {
			quietest = c
		}
	}
	if quietest == nil || time.Since(time.Unix(0, quietest.activeAt.Load())) < minQuiet {
		return nil
	}
	return quietest
}

// remove removes a connection from the open ones.
func (l *callerListener) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// callerConn is a connection of a caller. An http.Server sets deadlines for reading by its own time
// limits, which are fixed: one when the connection becomes idle, unless it is new, and one when it
// waits for a request's headers.
type callerConn struct {
	net.Conn
	listener *callerListener
	limits   func() config.Limits
	// head counts the memory of the head that is being read.
	head headMemory
	// idle is set while the connection has no request and no deadline as an idle one yet.
	idle atomic.Bool
	// awaiting is set while it has a deadline as an idle one and no byte has been read.
	awaiting atomic.Bool
	// busy is set while a whole request is being handled and the caller is not expected to send or take
	// anything.
	busy atomic.Bool
	// activeAt is when bytes were last read or written, in Unix nanoseconds.
	activeAt atomic.Int64
}

// touch records that something has happened on the connection.
func (c *callerConn) touch() { c.activeAt.Store(time.Now().UnixNano()) }

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.remove(c)
	c.head.reset()
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// SetReadDeadline implements net.Conn. It replaces a deadline of the server by the configured one.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.awaiting.Store(false)
	if !t.After(time.Now()) {
		return c.Conn.SetReadDeadline(t)
	}
	limit := c.limits().HeaderTimeout
	if c.idle.Swap(false) {
		limit = c.limits().IdleTimeout
		c.awaiting.Store(true)
	}
	if limit > 0 {
		t = time.Now().Add(limit)
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.touch()
		if !c.head.take(n) {
			// The server closes the connection without a response after an error of this type.
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoMemory}
		}
	}
	if n > 0 && c.awaiting.Swap(false) {
		if limit := c.limits().HeaderTimeout; limit > 0 {
			// The error can be ignored: the next read fails too.
			_ = c.Conn.SetReadDeadline(time.Now().Add(limit))
		}
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no file descriptor")
	}
	return sc.SyscallConn()
}
