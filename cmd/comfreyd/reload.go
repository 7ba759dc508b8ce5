package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/agent"
	"github.com/comfreygate/comfreygate/internal/settings"
)

// settingsPollInterval is the interval at which the settings file is read: it may change
// without a signal, and a change must be noticed within seconds.
const settingsPollInterval = time.Second

// watchSettings reloads the settings file on SIGHUP and whenever its content has changed,
// until ctx ends. It logs whether a change needs a restart. Invalid settings change
// nothing.
func watchSettings(ctx context.Context, path string, a *agent.Agent, logger zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	current, err := os.ReadFile(path)
	if err != nil {
		logger.Warn().Str("step", "reload").Str("peer", path).Err(err).Msg("settings file not readable, reloading it once it is")
	}
	for {
		signalled := false
		select {
		case <-hangups:
			signalled = true
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		text, err := os.ReadFile(path)
		if err != nil {
			logger.Warn().Str("step", "reload").Str("peer", path).Err(err).Msg("settings file not readable, keeping the current settings")
			continue
		}
		if !signalled && bytes.Equal(text, current) {
			continue
		}
		current = text
		reload(text, path, a, logger)
	}
}

func reload(text []byte, path string, a *agent.Agent, logger zerolog.Logger) {
	s, err := settings.Parse(text)
	if err != nil {
		logger.Error().Str("step", "reload").Str("peer", path).Err(err).Msg("new settings are invalid, keeping the current settings")
		return
	}
	needsRestart := a.Reload(s)
	logger.Info().Str("step", "reload").Str("peer", path).Bool("needs_restart", needsRestart).Msg("settings reloaded")
}
