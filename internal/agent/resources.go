package agent

import (
	"math"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreygate/comfreygate/internal/memory"
	"github.com/comfreygate/comfreygate/internal/settings"
)

const (
	bytesPerMB = 1_000_000
	// bodyMemoryDivisor divides the memory of the process to give the memory for bodies. The rest is for
	// the control systems, connections and garbage.
	bodyMemoryDivisor = 2
	// callerDescriptors is the share of the process's descriptors that connections of callers may take.
	// ownerDescriptors is the share up to which idle connections to owners are kept. The rest is for
	// upstreams, for the calls of other daemons, and for control.
	callerDescriptors = 1.0 / 3
	ownerDescriptors  = 2.0 / 5
)

// newBodyBudget returns the memory for the bodies of calls.
func newBodyBudget(s settings.Settings, r metrics.Registry) *memory.Budget {
	b := memory.NewBudget(int64(s.MemoryMB)*bytesPerMB/bodyMemoryDivisor, s.Calls.MaxBody, time.Now)
	r.GetOrRegister("memory.bodies_bytes", metrics.NewFunctionalGauge(b.Used))
	r.GetOrRegister("memory.bodies_evicted", metrics.NewFunctionalGauge(b.Evicted))
	return b
}

// maxCallerConns returns how many connections of callers may be open at once; zero: any number.
func maxCallerConns(s settings.Settings) int { return int(callerDescriptors * float64(descriptors(s))) }

// maxOwnerConns returns the number of connections to owners up to which idle ones are kept; zero: any.
func maxOwnerConns(s settings.Settings) int { return int(ownerDescriptors * float64(descriptors(s))) }

// descriptors returns how many file descriptors the process may open, or zero if that is not known.
func descriptors(s settings.Settings) int {
	if s.MaxDescriptors > 0 {
		return s.MaxDescriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
