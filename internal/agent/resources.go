package agent

import (
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
)

// newBodyBudget returns the memory for the bodies of calls.
func newBodyBudget(s settings.Settings, r metrics.Registry) *memory.Budget {
	b := memory.NewBudget(int64(s.MemoryMB)*bytesPerMB/bodyMemoryDivisor, s.Calls.MaxBody, time.Now)
	r.GetOrRegister("memory.bodies_bytes", metrics.NewFunctionalGauge(b.Used))
	r.GetOrRegister("memory.bodies_evicted", metrics.NewFunctionalGauge(b.Evicted))
	return b
}
