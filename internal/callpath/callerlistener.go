package callpath

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/config"
)

// Listener returns a listener of callers' connections that keep to the time limits of the
// configuration in force: config.Limits.HeaderTimeout from the first byte of a request's headers,
// IdleTimeout for a connection without a request. Zero limits leave the deadlines that the server sets.
// The server must call ConnState.
func (in *Ingress) Listener(ln net.Listener) net.Listener {
	return &callerListener{Listener: ln, limits: func() config.Limits { return in.view.Load().Limits }}
}

// ConnState is called by the server when the state of a connection of Listener has changed. Use it as
// the ConnState of an http.Server.
func (in *Ingress) ConnState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*callerConn); ok && state == http.StateIdle {
		c.idle.Store(true)
	}
}

type callerListener struct {
	net.Listener
	limits func() config.Limits
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: c, limits: l.limits}
	conn.idle.Store(true)
	return conn, nil
}

// callerConn is a connection of a caller. An http.Server sets deadlines for reading by its own time
// limits, which are fixed: one when the connection becomes idle, unless it is new, and one when it
// waits for a request's headers.
type callerConn struct {
	net.Conn
	limits func() config.Limits
	// idle is set while the connection has no request and no deadline as an idle one yet.
	idle atomic.Bool
	// awaiting is set while it has a deadline as an idle one and no byte has been read.
	awaiting atomic.Bool
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
