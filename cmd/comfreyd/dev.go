package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/agent"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/dev"
	"github.com/comfreygate/comfreygate/internal/devlog"
	"github.com/comfreygate/comfreygate/internal/lang"
	"github.com/comfreygate/comfreygate/internal/settings"
	"github.com/comfreygate/comfreygate/internal/table"
)

type devCmd struct {
	Callers string `default:"127.0.0.1:8080" help:"Where the first daemon takes calls."`
	Admin   string `default:"127.0.0.1:8081" help:"Where the first daemon serves the administration API."`
	Logging string `default:"warn" enum:"debug,info,warn,error" help:"Least level to log."`
}

// devVM describes a VM of the dev mode.
type devVM struct {
	name    string
	domain  string
	service string
}

var devVMs = []devVM{
	{"ikeja-1", "ikeja", "repair-tickets"}, {"ikeja-2", "ikeja", "parts-payments"},
	{"lekki-1", "lekki", "repair-tickets"}, {"lekki-2", "lekki", "parts-payments"},
	{"yaba-1", "yaba", "repair-tickets"}, {"yaba-2", "yaba", "parts-payments"},
}

const (
	devSlots        = 12
	devConnections  = 130
	devReadyTimeout = 30 * time.Second
)

// Run starts the log, the daemons and their upstreams, publishes the example configuration
// and waits for a signal.
func (c *devCmd) Run() error {
	log := devlog.New()
	var agents []*agent.Agent
	for i, vm := range devVMs {
		a, err := c.start(vm, i == 0, agents, log)
		if err != nil {
			return err
		}
		agents = append(agents, a)
	}
	fleet := &devFleet{agents: agents, running: map[upstreamKey]*devUpstream{}, finished: map[uint64]bool{}}
	for i := range devVMs {
		if err := fleet.start(i, firstVersion); err != nil {
			return err
		}
	}
	if err := publishExample(agents); err != nil {
		return err
	}
	go fleet.watchRollouts()
	printIntroduction(agents[0].Addresses())
	return stopOnSignal(agents)
}

func (c *devCmd) start(vm devVM, first bool, agents []*agent.Agent, log *devlog.Log) (*agent.Agent, error) {
	s := settings.Default()
	s.VM, s.FailureDomain, s.Logging = vm.name, vm.domain, c.Logging
	s.Control.Window = settings.Duration(20 * time.Millisecond)
	s.Control.Grace = settings.Duration(500 * time.Millisecond)
	s.Calls.Drain = settings.Duration(200 * time.Millisecond)
	const anyPort = "127.0.0.1:0"
	s.Listen = settings.Listen{Callers: anyPort, Admin: anyPort, Peers: anyPort, Owner: anyPort, Local: anyPort}
	if first {
		s.Listen.Callers, s.Listen.Admin = c.Callers, c.Admin
	} else {
		s.Control.Peers = []string{agents[0].Addresses().Peers}
	}
	a, err := startAgent(s, log, newLogger(zerolog.SyncWriter(os.Stderr), s.Logging, s.VM), "")
	if err != nil {
		return nil, err
	}
	return a, nil
}

// publishExample publishes the example configuration through the first daemon and waits
// until it is in force on all daemons.
func publishExample(agents []*agent.Agent) error {
	changes, err := lang.ParseYAML([]byte(dev.Example))
	if err != nil {
		return errors.Wrap(err, "example configuration")
	}
	ctx, cancel := context.WithTimeout(context.Background(), devReadyTimeout)
	defer cancel()
	o := agents[0].Submit(ctx, config.Command{Author: "dev", Changes: changes})
	if o.Status != config.Accepted {
		return errors.Errorf("example configuration: %s: %s", o.Status, o.Reason)
	}
	for ctx.Err() == nil {
		if inForceEverywhere(agents, o.Version) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("example configuration was not in force on all daemons in time")
}

func inForceEverywhere(agents []*agent.Agent, version uint64) bool {
	for _, a := range agents {
		ready := false
		a.Inspect(func(w *table.World) {
			ready = w.Self.Heartbeat.Applied >= version && len(w.Members) == len(agents)-1 && len(w.Self.Upstreams) > 0
			for _, m := range w.Members {
				ready = ready && len(m.Upstreams) > 0
			}
		})
		if !ready {
			return false
		}
	}
	return true
}

func printIntroduction(at agent.Addresses) {
	fmt.Printf(`Six daemons in three failure domains are up; the example configuration is in force on all.

Call a service:
  curl -H 'Comfrey-Caller: clerk' http://%s/tickets/42

Call with a workspace's key, and beyond the limit of one:
  curl -H 'Comfrey-Caller: clerk' -H 'Comfrey-Workspace-Key: front-desk-key' http://%s/guides/7
  for i in $(seq 40); do curl -s -H 'Comfrey-Caller: clerk' -H 'Comfrey-Workspace-Key: night-batch-key' http://%s/guides/7; done

Ask and change:
  comfreyctl --address %s 'show daemons'
  comfreyctl --address %s 'show routes'
  comfreyctl --address %s 'show workspaces'
  comfreyctl --address %s 'publish caller auditor; revise route ledger path /ledger to repair-tickets policy owner-can-wait callers owner, auditor'
  comfreyctl --address %s timeline

Roll out a good version and a bad one, and watch:
  comfreyctl --address %s 'rollout repair-tickets to 2.0 within 12s'
  comfreyctl --address %s 'rollout parts-payments to 2.0-bad within 12s'
  comfreyctl --address %s 'show rollouts'

Stop with Ctrl-C.
`, at.Callers, at.Callers, at.Callers, at.Admin, at.Admin, at.Admin, at.Admin, at.Admin, at.Admin, at.Admin, at.Admin)
}
