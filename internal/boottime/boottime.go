// Package boottime reads the time since the VM booted. This clock keeps running while the
// VM is suspended and is never adjusted.
package boottime

import "time"

// processStart is the time from which steady counts.
var processStart = time.Now()

// steady returns the time since the start of the process on the monotonic clock.
func steady() time.Duration { return time.Since(processStart) }

// NowAsTime returns the time since the VM booted as a time.Time, for callers that compare or
// subtract two such times. It is not a time of day.
func NowAsTime() time.Time { return time.Unix(0, int64(Now())) }
