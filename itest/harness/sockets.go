package harness

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
)

// States of a socket in /proc/net/tcp.
const (
	socketEstablished = 0x01
	socketListening   = 0x0A
)

// AwaitRead waits until the daemon has accepted all connections of its callers and has read all that
// has arrived on those that are open.
func (v *VM) AwaitRead(t testing.TB) {
	t.Helper()
	Eventually(t, "bytes at "+v.Addrs.Callers, func() error {
		unread, err := unreadBytes(v.Addrs.Callers)
		if err == nil && unread > 0 {
			err = fmt.Errorf("%d bytes or connections wait to be read", unread)
		}
		return err
	})
}

// unreadBytes returns how many bytes have arrived on the open connections of an address and have not
// been read, plus the connections that have not been accepted.
func unreadBytes(addr string) (int, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return 0, err
	}
	// The kernel prints the four bytes of an address as one number in the byte order of the machine.
	local := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(tcp.IP.To4()), tcp.Port)
	sockets, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	total := 0
	for line := range strings.Lines(string(sockets)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local {
			continue
		}
		var state, sendQueue, receiveQueue int
		if _, err := fmt.Sscanf(fields[3]+" "+fields[4], "%x %x:%x", &state, &sendQueue, &receiveQueue); err != nil {
			return 0, err
		}
		if state == socketEstablished || state == socketListening {
			total += receiveQueue
		}
	}
	return total, nil
}
