//go:build !linux

package boottime

import "time"

// Now returns the time since the start of the process: suspension of the VM cannot be
// detected on this platform.
func Now() time.Duration { return steady() }
