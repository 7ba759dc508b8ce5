//go:build !linux

package agent

import "net"

// acceptPending does nothing on this platform: connections that are pending when the listener
// is drained may be reset.
func acceptPending(*net.TCPListener) []net.Conn { return nil }
