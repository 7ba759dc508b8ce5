//go:build !linux

package tcp

import (
	"net"
	"time"
)

// StillOpen cannot check the connection on this system and assumes that it is open.
func StillOpen(net.Conn) bool { return true }

// SetUnackedTimeout has no effect on this system: an unresponsive owner is detected
// later, by an inquiry.
func SetUnackedTimeout(net.Conn, time.Duration) error { return nil }

// ClosedByPeer cannot check the connection on this system: the server notices a
// disconnect later.
func ClosedByPeer(net.Conn) bool { return false }
