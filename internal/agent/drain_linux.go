package agent

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// acceptPending accepts the connections that are pending at the listener and shuts it down as
// soon as the queue is empty. With a pause between the two, a connection could be established
// in between and then be reset.
func acceptPending(l *net.TCPListener) []net.Conn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	var fds []int
	err = raw.Control(func(fd uintptr) {
		for {
			conn, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch err {
			case nil:
				fds = append(fds, conn)
			case unix.EINTR, unix.ECONNABORTED:
			default:
				// An error can be ignored: the caller closes the listener next in any case.
				_ = unix.Shutdown(int(fd), unix.SHUT_RDWR)
				return
			}
		}
	})
	if err != nil {
		return nil
	}
	return connsFromFDs(fds)
}

// connsFromFDs converts accepted sockets to connections. Sockets for which that fails are
// closed.
func connsFromFDs(fds []int) []net.Conn {
	var conns []net.Conn
	for _, fd := range fds {
		f := os.NewFile(uintptr(fd), "accepted")
		c, err := net.FileConn(f)
		f.Close()
		if err == nil {
			conns = append(conns, c)
		}
	}
	return conns
}
