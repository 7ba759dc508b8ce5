package callpath

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stillOpen looks at an idle connection without waiting. One that the other
// end has closed, or that holds bytes nobody asked for, must not be used.
func stillOpen(c net.Conn) bool {
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

// boundUnacked ends a connection on which sent bytes stay unacknowledged for so
// long. Zero leaves the system's bound. Source: tcp(7), TCP_USER_TIMEOUT.
func boundUnacked(c net.Conn, limit time.Duration) error {
	sc, ok := c.(syscall.Conn)
	if !ok || limit == 0 {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
