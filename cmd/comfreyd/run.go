package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/admin"
	"github.com/comfreygate/comfreygate/internal/agent"
	"github.com/comfreygate/comfreygate/internal/exit"
	"github.com/comfreygate/comfreygate/internal/settings"
	"github.com/comfreygate/comfreygate/platform/store"
)

// tokenVariable is the environment variable with the operators' token.
const tokenVariable = "COMFREY_TOKEN"

const (
	// minMemoryLimitBytes is the memory use from which the garbage collector works harder than
	// gc_percent demands, unless the VM has much more memory. It is below the 128 MB that a daemon may
	// use for control.
	minMemoryLimitBytes = 100 << 20
	// memoryLimitShare is that memory use as a share of the memory of the process: more than the bodies of
	// calls may take, so that they alone do not keep the collector busy.
	memoryLimitShare = 0.75
	bytesPerMB       = 1_000_000
)

// tuneMemory sets the garbage collector's targets unless the environment sets them.
func tuneMemory(s settings.Settings) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(s.GCPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(max(minMemoryLimitBytes, int64(memoryLimitShare*float64(s.MemoryMB)*bytesPerMB)))
	}
}

type settingsFlag struct {
	Settings string `required:"" type:"path" placeholder:"FILE" env:"COMFREYGATE_NODE_FILE" help:"Settings file (YAML)."`
}

type checkCmd struct{ settingsFlag }

// Run checks the settings file.
func (c *checkCmd) Run() error {
	s, err := settings.Load(c.Settings)
	if err == nil {
		_, err = operatorToken(s)
	}
	if err != nil {
		return &exit.Error{Code: exit.BadInput, Err: err}
	}
	fmt.Println("settings are good")
	return nil
}

type runCmd struct{ settingsFlag }

// Run runs the daemon until it is stopped: gracefully by the first SIGTERM or SIGINT, at
// once by the second.
func (c *runCmd) Run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return &exit.Error{Code: exit.BadInput, Err: err}
	}
	token, err := operatorToken(s)
	if err != nil {
		return &exit.Error{Code: exit.BadInput, Err: err}
	}
	tuneMemory(s)
	out := newBoundedLog()
	defer out.Close()
	logger := newLogger(out, s.Logging, s.VM)
	log := store.NewClient(strings.TrimSuffix(s.Log.URL, "/"), time.Duration(s.Log.Timeout), s.Listen.SourceAddr())
	a, err := startAgent(s, log, logger, token)
	if err != nil {
		logger.Error().Str("step", "start").Err(err).Msg("daemon not started")
		return err
	}
	out.registerMetrics(a.Metrics())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watchSettings(ctx, c.Settings, a, logger)
	err = stopOnSignal([]*agent.Agent{a})
	logger.Info().Str("step", "stop").Err(err).Msg("stopped")
	return err
}

func startAgent(s settings.Settings, log store.Log, logger zerolog.Logger, token string) (*agent.Agent, error) {
	a, err := agent.New(s, agentOptions(s, log, logger))
	if err != nil {
		return nil, err
	}
	h, err := admin.NewHandler(a, token)
	if err != nil {
		return nil, err
	}
	a.Start(h)
	if err := servePlatform(a, s.Platform, logger); err != nil {
		a.Kill()
		return nil, err
	}
	return a, nil
}

// stopOnSignal waits for a signal and shuts the agents down. A second signal cuts the
// shutdown short.
func stopOnSignal(agents []*agent.Agent) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	failures := make(chan error, len(agents))
	for _, a := range agents {
		go func() { failures <- a.Shutdown(ctx) }()
	}
	var failed error
	for range agents {
		if err := <-failures; err != nil {
			failed = &exit.Error{Code: exitCallsAborted, Err: err}
		}
	}
	return failed
}

// operatorToken returns the token that operators must present. Without a token, the
// administration API may only listen on a loopback address.
func operatorToken(s settings.Settings) (string, error) {
	token := os.Getenv(tokenVariable)
	if token == "" && s.Admin.TokenFile != "" {
		b, err := os.ReadFile(s.Admin.TokenFile)
		if err != nil {
			return "", errors.Wrap(err, "admin.token_file")
		}
		token = strings.TrimSpace(string(b))
		if token == "" {
			return "", errors.Errorf("admin.token_file: %s is empty", s.Admin.TokenFile)
		}
	}
	if token == "" && !settings.IsLoopback(s.Listen.Admin) {
		return "", errors.Errorf("listen.admin: %s is not a loopback address and there is no token (admin.token_file or %s)", s.Listen.Admin, tokenVariable)
	}
	return token, nil
}
