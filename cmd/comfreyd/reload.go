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
	f := settingsFile{path: path, logger: logger}
	f.poll(false)
	for {
		signalled := false
		select {
		case <-hangups:
			signalled = true
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if f.poll(signalled) {
			reload(f.text, path, a, logger)
		}
	}
}

// settingsFile is the last content of a settings file that could be read.
type settingsFile struct {
	path   string
	logger zerolog.Logger
	text   []byte
	// unreadable is set while the file cannot be read, so that it is logged once.
	unreadable bool
}

// poll reads the file and reports whether it is to be reloaded: its content has changed, or
// signalled is set.
func (f *settingsFile) poll(signalled bool) bool {
	text, err := os.ReadFile(f.path)
	if err != nil {
		if signalled || !f.unreadable {
			f.logger.Warn().Str("step", "reload").Str("peer", f.path).Err(err).Msg("settings file not readable, keeping the current settings")
		}
		f.unreadable = true
		return false
	}
	if f.unreadable {
		f.logger.Info().Str("step", "reload").Str("peer", f.path).Msg("settings file is readable again")
	}
	f.unreadable = false
	changed := !bytes.Equal(text, f.text)
	f.text = text
	return changed || signalled
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
