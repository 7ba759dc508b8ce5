package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted. Unlike the monotonic clock it keeps running while
// the VM is suspended, and unlike the time of day it never jumps.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return steady() // every kernel in use has this clock
	}
	return time.Duration(ts.Nano())
}
