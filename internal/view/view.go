// Package view holds the state that the call path reads: the configuration in force joined
// with the known upstreams. A view is immutable and is replaced atomically.
package view

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// Upstream is an upstream that accepts new calls.
type Upstream struct {
	ID      string
	Service string
	Version string
	Slots   int
	// ProcessIncarnation identifies the run of the upstream's process; empty: the ID does.
	ProcessIncarnation string
	// AnnouncedAt is when the upstream announced itself, by the clock of its daemon.
	AnnouncedAt time.Time
	// Daemon is the ID of the daemon that owns the upstream, Owner that daemon's address.
	Daemon      string
	Incarnation uint64
	Domain      string
	Owner       string
	// Local is set if this daemon owns the upstream.
	Local bool
	// Compress is set if calls to the upstream are compressed: compression is in force, and
	// the owner is in another failure domain and accepts it.
	Compress bool
}

// Service is a service with the upstreams known to this daemon. The list may be empty: a
// call is then refused as not run.
type Service struct {
	config.Service
	Upstreams []Upstream
	// Split divides the calls between versions during a rollout or a probation, else nil.
	Split *Split
}

// LimitCoordinator is the limit coordinator of a failure domain: the daemon that counts the
// domain's calls against the rate limits of workspaces.
type LimitCoordinator struct {
	Daemon string
	// Owner is the daemon's owner address.
	Owner string
	// Local is set if this daemon is the coordinator.
	Local bool
}

// View is a consistent snapshot: each service that one of its routes names is part of it.
type View struct {
	// Version is the configuration version in force.
	Version uint64
	// Since is when this daemon received that version.
	Since time.Time
	// Ready is set if the daemon may accept calls.
	Ready bool
	// Incarnation is the incarnation of this daemon that others know.
	Incarnation uint64
	// Leaving is set if this daemon is stopping: its upstreams accept no new calls.
	Leaving  bool
	Services map[string]*Service
	// Routes are shared between consecutive views of the same configuration.
	Routes *Routes
	Limits config.Limits
	// LimitCoordinators holds the limit coordinator of each failure domain.
	LimitCoordinators map[string]LimitCoordinator
	// LoadControl is set if load control is in force.
	LoadControl bool
	// DisabledParts are the parts of load control that are not in force even if LoadControl is
	// set.
	DisabledParts []config.LoadControlPart
	// Compress is set if compression of calls to other failure domains is in force.
	Compress bool
	// Domains is the least number of failure domains of the deployment.
	Domains int
	// Daemons is the number of known daemons, including those whose records have lapsed.
	Daemons int
	// Locals are all upstreams on this VM, including draining ones.
	Locals []table.Local
}

// Build returns a view of the tables. Unchanged parts are shared with the view before, which
// may be nil.
func Build(w *table.World, before *View) *View {
	state := w.Config.State
	v := &View{
		Version:           state.Version,
		Since:             w.Config.Since,
		Ready:             w.Ready,
		Incarnation:       w.Self.Incarnation,
		Leaving:           w.Self.Leaving,
		Services:          make(map[string]*Service, len(state.Content.Services)),
		Limits:            state.Content.Limits,
		LimitCoordinators: make(map[string]LimitCoordinator, len(w.LimitCoordinators)),
	}
	for name, s := range state.Content.Services {
		v.Services[name] = &Service{Service: s}
	}
	var routes *Routes
	if before != nil {
		routes = before.Routes
	}
	v.Routes = routes.forState(state)
	v.LoadControl = w.Params.LoadControl.InForce(state.Content)
	v.DisabledParts = w.Params.DisabledParts
	v.Compress = w.Params.Compression.InForce(v.LoadControl)
	v.Daemons, v.Domains = len(w.Members)+1, w.Params.Domains
	for domain, m := range w.LimitCoordinators {
		v.LimitCoordinators[domain] = LimitCoordinator{Daemon: m.ID, Owner: m.Owner, Local: m.ID == w.Self.ID}
	}
	w.EachLive(func(m wire.Member) { v.addMember(w, m) })
	for _, s := range v.Services {
		slices.SortFunc(s.Upstreams, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	v.splitServices(w, before)
	for _, l := range w.Locals {
		v.Locals = append(v.Locals, *l)
	}
	return v
}

// Controls reports whether a part of load control is in force.
func (v *View) Controls(p config.LoadControlPart) bool {
	return v.LoadControl && !slices.Contains(v.DisabledParts, p)
}

// addMember adds the upstreams of a daemon that accept calls.
func (v *View) addMember(w *table.World, m wire.Member) {
	local, compress := m.ID == w.Self.ID, v.Compress && m.Compress && m.Domain != w.Self.Domain
	if m.Leaving || m.Owner == "" {
		return
	}
	for _, u := range m.Upstreams {
		s := v.Services[u.Service]
		if s == nil || u.Draining {
			continue
		}
		s.Upstreams = append(s.Upstreams, Upstream{
			ID: u.ID, Service: u.Service, Version: u.Version, Slots: u.Slots, ProcessIncarnation: u.ProcessIncarnation, AnnouncedAt: time.UnixMilli(u.AnnouncedAtMs),
			Daemon: m.ID, Incarnation: m.Incarnation, Domain: m.Domain, Owner: m.Owner, Local: local, Compress: compress,
		})
	}
}

// Consistent returns an error for the first dangling reference in the view. A view must be
// consistent before it is put in force.
func (v *View) Consistent() error {
	if v.Routes != nil && v.Routes.invalid != nil {
		return errors.Wrapf(v.Routes.invalid, "view %d", v.Version)
	}
	for _, s := range v.Services {
		for _, u := range s.Upstreams {
			if u.Service != s.Name || u.Owner == "" {
				return errors.Errorf("view %d: service %s has upstream %s of another service or without an owner address", v.Version, s.Name, u.ID)
			}
		}
	}
	return nil
}
