package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/comfreygate/comfreygate/internal/system"
)

// Health is an upstream's answer to a health check.
type Health struct {
	// Process identifies the process that has answered, or is empty if it does not say.
	Process string
	// Healthy is set if the upstream says that it is healthy and does not leave.
	Healthy bool
}

// HealthChecker asks the upstream at addr, given as IP:port, for its health at a path.
type HealthChecker func(ctx context.Context, client http.RoundTripper, addr, path string) (Health, error)

const (
	// healthCheckTimeout bounds one health check.
	healthCheckTimeout = 500 * time.Millisecond
	// maxHealthHeaderBytes bounds the headers of a response to a health check. Its body is not read.
	maxHealthHeaderBytes = 16 << 10
)

// newHealthClient returns the client of health checks. Each has a connection of its own, as
// few are made and the upstream's connections are limited.
func newHealthClient(connectTimeout time.Duration) http.RoundTripper {
	return &http.Transport{
		DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext, DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: maxHealthHeaderBytes,
	}
}

// checkHealth makes a health check that a tick has requested. One that gets no answer tells
// nothing of the upstream; a later tick requests another.
func (a *Agent) checkHealth(c system.HealthCheck) {
	ctx, cancel := context.WithTimeout(a.ctx, healthCheckTimeout)
	defer cancel()
	h, err := a.healthChecker(ctx, a.healthClient, c.Addr, c.Path)
	if err != nil {
		a.logger.Warn().Str("step", "health check").Str("peer", c.ID).Str("addr", c.Addr).Err(err).Msg("upstream has not answered a health check")
		return
	}
	a.input(system.HealthChecked{ID: c.ID, Process: h.Process, Healthy: h.Healthy})
}
