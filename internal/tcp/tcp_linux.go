// Package tcp examines the state and sets the options of TCP sockets where package net has no
// function for it.
package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// StillOpen reports, without waiting, whether an idle connection can be reused: the other
// end has not closed it, and it holds no unexpected bytes.
func StillOpen(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// SetUnackedTimeout makes the system close a connection on which sent bytes stay
// unacknowledged for longer than timeout. Zero keeps the system's default. See tcp(7),
// TCP_USER_TIMEOUT.
func SetUnackedTimeout(c net.Conn, timeout time.Duration) error {
	sc, ok := c.(syscall.Conn)
	if !ok || timeout == 0 {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// ClosedByPeer reports, without waiting, whether the other end has closed a connection on
// which no unread bytes are left. It only peeks, so another goroutine may be reading from
// the connection.
func ClosedByPeer(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || err == unix.ECONNRESET
	})
	return err == nil && closed
}
