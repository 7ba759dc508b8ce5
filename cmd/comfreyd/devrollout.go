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
	// firstVersion is that of the example upstreams.
	firstVersion = "1.0"
	// devWatch is how often roll-outs are looked at.
	devWatch = 100 * time.Millisecond
	// devPause lies between two calls while a roll-out goes on: some 200 a second, enough
	// to tell a bad version from a good one.
	devPause = 5 * time.Millisecond
	// devDrain is how long upstreams of a reverted version stay.
	devDrain = 2 * time.Second
)

// devPaths are routes of the example by the service that they lead to.
var devPaths = map[string]string{"repair-tickets": "/tickets/42", "parts-payments": "/payments/7"}

// devFleet is what stands beside the daemons of the dev mode: it starts upstreams of a
// version that is ordered, and stops those that a roll-out leaves behind, as a platform
// would.
type devFleet struct {
	agents []*agent.Agent
	// running holds the upstreams by VM and version.
	running map[place]*devUpstream
	// ended are the orders that were followed to their end.
	ended map[uint64]bool
}

type place struct {
	vm      int
	version string
}

// devUpstream is an upstream that is announced until it is stopped.
type devUpstream struct {
	*dev.Upstream
	stop chan struct{}
}

// start starts an upstream of a version beside a daemon.
func (f *devFleet) start(vm int, version string) error {
	up, err := dev.StartUpstream(devVMs[vm].name, devVMs[vm].service, version)
	if err != nil {
		return err
	}
	u := &devUpstream{Upstream: up, stop: make(chan struct{})}
	f.running[place{vm, version}] = u
	go u.announce(f.agents[vm])
	return nil
}

// announce keeps an upstream announced until it is stopped.
func (u *devUpstream) announce(a *agent.Agent) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		a.Announce(agent.Announcement{
			ID: u.ID, Service: u.Service, Version: u.Version, Addr: u.Addr(), Slots: devSlots, Connections: devConnections,
		})
		select {
		case <-ticker.C:
		case <-u.stop:
			return
		}
	}
}

// watch follows the roll-outs that are ordered.
func (f *devFleet) watch() {
	for range time.Tick(devWatch) {
		var list []rollout.Record
		f.agents[0].Inspect(func(w *table.World) {
			for _, r := range w.Rollouts {
				list = append(list, r.Record)
			}
		})
		for _, r := range list {
			f.follow(r)
		}
	}
}

// follow starts the upstreams of a version that is ordered, and stops those of others, or
// its own, when the roll-out has ended.
func (f *devFleet) follow(r rollout.Record) {
	if f.ended[r.ID] {
		return
	}
	f.ended[r.ID] = r.Phase.Final()
	for vm := range devVMs {
		at := place{vm, r.Target}
		if devVMs[vm].service != r.Service {
			continue
		}
		switch {
		case !r.Phase.Final() && f.running[at] == nil:
			if err := f.start(vm, r.Target); err != nil {
				fmt.Fprintln(os.Stderr, "comfreyd:", err)
			}
			go f.call(vm, r)
		case r.Phase == rollout.Reverted:
			time.AfterFunc(devDrain, f.running[at].end)
			delete(f.running, at)
		case r.Phase == rollout.Completed:
			f.stopOthers(vm, r.Target)
		}
	}
}

func (f *devFleet) stopOthers(vm int, version string) {
	for at, u := range f.running {
		if at.vm == vm && at.version != version {
			u.end()
			delete(f.running, at)
		}
	}
}

func (u *devUpstream) end() {
	close(u.stop)
	u.Close()
}

// call sends calls to a daemon while the roll-out goes on.
func (f *devFleet) call(vm int, r rollout.Record) {
	url := "http://" + f.agents[vm].Addresses().Callers + devPaths[r.Service]
	for live := true; live; time.Sleep(devPause) {
		req, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return
		}
		req.Header.Set("Comfrey-Caller", "clerk")
		if res, err := http.DefaultClient.Do(req); err == nil {
			res.Body.Close()
		}
		f.agents[vm].Inspect(func(w *table.World) {
			now := w.Rollouts[r.Service]
			live = now != nil && now.ID == r.ID && now.Live()
		})
	}
}
