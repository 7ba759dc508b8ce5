package callpath

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestOwnerConnectionsLimitUnacknowledgedTime: without the limit, the kernel retransmits
// for minutes to a VM that is partitioned, and calls sent to it wait until their
// deadline.
func TestOwnerConnectionsLimitUnacknowledgedTime(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	r := newRemote(&net.Dialer{}, time.Second, nil, nil)
	c, err := r.pool(srv.Listener.Addr().String()).get(context.Background())
	is.NoErr(err)
	defer c.Close()
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	var ms int
	is.NoErr(raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	is.NoErr(err)
	is.Equal(time.Duration(ms)*time.Millisecond, ownerAckTimeout)
}
