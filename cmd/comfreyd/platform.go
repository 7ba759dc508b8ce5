package main

import (
	"net/http"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/agent"
	"github.com/comfreygate/comfreygate/internal/callpath"
	"github.com/comfreygate/comfreygate/internal/settings"
	"github.com/comfreygate/comfreygate/platform"
	"github.com/comfreygate/comfreygate/platform/store"
)

// agentOptions returns the options of the agent. Where the platform runs the daemon, they
// include the platform's headers, its health checks and its source of configuration.
func agentOptions(s settings.Settings, log store.Log, logger zerolog.Logger) agent.Options {
	opts := agent.Options{Log: log, Logger: logger, Dialect: callpath.DefaultDialect()}
	if s.Platform.Enabled() {
		opts.Dialect = platform.Dialect()
		opts.Source = platform.NewSource(log, logger)
		opts.StatusPublisher = platform.NewStatuses(log)
		opts.HealthChecker = platform.CheckHealth
	}
	return opts
}

// servePlatform opens the listeners that only the platform connects to.
func servePlatform(a *agent.Agent, p settings.Platform, logger zerolog.Logger) error {
	if !p.Enabled() {
		return nil
	}
	local := platform.LocalUpstream{Service: p.Service, Addr: p.Upstream}
	err := a.Listen("platform.ready", p.Ready, platform.NewReadyHandler(a.Ready))
	if err == nil {
		err = a.Listen("platform.heartbeats", p.Heartbeats, platform.NewHeartbeatHandler(a, local, a.Metrics(), logger))
	}
	if err == nil {
		err = a.Listen("platform.metrics", p.Metrics, metricsText(a.Metrics()))
	}
	return errors.Wrap(err, "open platform listeners")
}

// metricsText serves the metrics of a registry as text, one after the other.
func metricsText(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(r, w)
	})
}
