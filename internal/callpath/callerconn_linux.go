package callpath

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// closedByPeer reports, without waiting, whether the other end has closed a connection on
// which no unread bytes are left. It only peeks, so another goroutine may be reading from
// the connection.
func closedByPeer(c net.Conn) bool {
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
