package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/comfreygate/comfreygate/internal/agent"
	"github.com/comfreygate/comfreygate/internal/dev"
	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/table"
)

const (
	// firstVersion is the version of the upstreams that run from the start.
	firstVersion = "1.0"
	// devWatchInterval is the interval at which rollouts are read.
	devWatchInterval = 100 * time.Millisecond
	// devCallInterval is the pause between two calls during a rollout: some 200 calls per
	// second, enough to tell a bad version from a good one.
	devCallInterval = 5 * time.Millisecond
	// devStopDelay is how long upstreams of a reverted version keep running.
	devStopDelay = 2 * time.Second
)

// devPaths maps services of the example to a path of a route that leads to them.
var devPaths = map[string]string{"repair-tickets": "/tickets/42", "parts-payments": "/payments/7"}

// devFleet runs the upstreams of the dev mode as a platform would: it starts upstreams of
// the version that a rollout introduces, and stops those that the rollout has replaced or
// reverted.
type devFleet struct {
	agents []*agent.Agent
	// running holds the upstreams by VM and version.
	running map[upstreamKey]*devUpstream
	// finished marks the rollouts, by ID, whose final phase has been handled.
	finished map[uint64]bool
}

type upstreamKey struct {
	vm      int
	version string
}

// devUpstream is an upstream that is announced until it is stopped.
type devUpstream struct {
	*dev.Upstream
	stop chan struct{}
}

// start starts an upstream of a version on a VM.
func (f *devFleet) start(vm int, version string) error {
	up, err := dev.StartUpstream(devVMs[vm].name, devVMs[vm].service, version)
	if err != nil {
		return err
	}
	u := &devUpstream{Upstream: up, stop: make(chan struct{})}
	f.running[upstreamKey{vm, version}] = u
	go u.announce(f.agents[vm])
	return nil
}

// announce announces the upstream to its daemon every second until it is stopped.
func (u *devUpstream) announce(a *agent.Agent) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		// An error can be ignored: the daemon has been stopped, or the next announcement follows.
		_ = a.Announce(agent.Announcement{
			ID: u.ID, Service: u.Service, Version: u.Version, Addr: u.Addr(), Slots: devSlots, Connections: devConnections,
		})
		select {
		case <-ticker.C:
		case <-u.stop:
			return
		}
	}
}

// watchRollouts polls the rollouts and starts and stops upstreams accordingly.
func (f *devFleet) watchRollouts() {
	for range time.Tick(devWatchInterval) {
		var list []rollout.Record
		f.agents[0].Inspect(func(w *table.World) {
			for _, r := range w.Rollouts {
				list = append(list, r.Record)
			}
		})
		for _, r := range list {
			f.reconcile(r)
		}
	}
}

// reconcile starts the upstreams of a rollout's target version. Once the rollout has
// ended, it stops the upstreams of the other versions or, if it was reverted, of the
// target version.
func (f *devFleet) reconcile(r rollout.Record) {
	if f.finished[r.ID] {
		return
	}
	f.finished[r.ID] = r.Phase.Final()
	for vm := range devVMs {
		key := upstreamKey{vm, r.Target}
		if devVMs[vm].service != r.Service {
			continue
		}
		switch {
		case !r.Phase.Final() && f.running[key] == nil:
			if err := f.start(vm, r.Target); err != nil {
				fmt.Fprintln(os.Stderr, "comfreyd:", err)
			}
			go f.sendCalls(vm, r)
		case r.Phase == rollout.Reverted && f.running[key] != nil:
			time.AfterFunc(devStopDelay, f.running[key].shutDown)
			delete(f.running, key)
		case r.Phase == rollout.Completed:
			f.stopOthers(vm, r.Target)
		}
	}
}

func (f *devFleet) stopOthers(vm int, version string) {
	for key, u := range f.running {
		if key.vm == vm && key.version != version {
			u.shutDown()
			delete(f.running, key)
		}
	}
}

func (u *devUpstream) shutDown() {
	close(u.stop)
	u.Close()
}

// sendCalls sends calls to a daemon while the rollout is active.
func (f *devFleet) sendCalls(vm int, r rollout.Record) {
	url := "http://" + f.agents[vm].Addresses().Callers + devPaths[r.Service]
	for active := true; active; time.Sleep(devCallInterval) {
		req, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return
		}
		req.Header.Set("Comfrey-Caller", "clerk")
		if res, err := http.DefaultClient.Do(req); err == nil {
			res.Body.Close()
		}
		f.agents[vm].Inspect(func(w *table.World) {
			current := w.Rollouts[r.Service]
			active = current != nil && current.ID == r.ID && current.Live()
		})
	}
}
