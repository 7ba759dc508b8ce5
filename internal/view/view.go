// Package view is what the call path reads: the configuration in force joined
// with the upstreams known, immutable and swapped in one step.
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

// Upstream is one upstream that takes new work.
type Upstream struct {
	ID      string
	Service string
	Version string
	Slots   int
	Since   time.Time
	// Daemon owns the upstream, at address Owner.
	Daemon      string
	Incarnation uint64
	Domain      string
	Owner       string
	// Local is set if this daemon is the owner.
	Local bool
}

// Service is a service with the upstreams known here. The list may be empty:
// a call is then refused as not run.
type Service struct {
	config.Service
	Upstreams []Upstream
	// Split divides the calls while a version is rolled out, or is nil.
	Split *Split
}

// Keeper is the daemon that keeps the limits in a failure domain.
type Keeper struct {
	Daemon string
	// Owner is its address.
	Owner string
	// Local is set if it is this daemon.
	Local bool
}

// View is one consistent picture: a route of it can never lead to a service
// that is not in it.
type View struct {
	// Version is the configuration version in force.
	Version uint64
	// Since is when this daemon took that version in.
	Since time.Time
	// Ready says whether calls may be taken in at all.
	Ready bool
	// Leaving says that this daemon stops: its upstreams take no new work.
	Leaving  bool
	Services map[string]*Service
	// Routes are shared with the views before and after, as long as the
	// configuration stays the same.
	Routes *Routes
	Limits config.Limits
	// Keepers are the daemons that count calls against the limits of workspaces, by
	// failure domain.
	Keepers map[string]Keeper
	// Domains is how many failure domains there are at least.
	Domains int
	// Daemons is how many there are, those included that have lapsed.
	Daemons int
	// Locals are all upstreams on this VM, draining ones included.
	Locals []table.Local
}

// Build returns the view of these tables. What it shares with the one before,
// which may be nil, is taken from there.
func Build(w *table.World, before *View) *View {
	state := w.Config.State
	v := &View{
		Version:  state.Version,
		Since:    w.Config.Since,
		Ready:    w.Ready,
		Leaving:  w.Self.Leaving,
		Services: make(map[string]*Service, len(state.Content.Services)),
		Limits:   state.Content.Limits,
		Keepers:  make(map[string]Keeper, len(w.Keepers)),
	}
	for name, s := range state.Content.Services {
		v.Services[name] = &Service{Service: s}
	}
	var routes *Routes
	if before != nil {
		routes = before.Routes
	}
	v.Routes = routes.follow(state)
	v.Daemons, v.Domains = len(w.Members)+1, w.Params.Domains
	for domain, m := range w.Keepers {
		v.Keepers[domain] = Keeper{Daemon: m.ID, Owner: m.Owner, Local: m.ID == w.Self.ID}
	}
	w.EachLive(func(m wire.Member) { v.addMember(m, m.ID == w.Self.ID) })
	for _, s := range v.Services {
		slices.SortFunc(s.Upstreams, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	v.splitServices(w, before)
	for _, l := range w.Locals {
		v.Locals = append(v.Locals, *l)
	}
	return v
}

// addMember adds the upstreams of a daemon that calls can be sent to.
func (v *View) addMember(m wire.Member, local bool) {
	if m.Leaving || m.Owner == "" {
		return
	}
	for _, u := range m.Upstreams {
		s := v.Services[u.Service]
		if s == nil || u.Draining {
			continue
		}
		s.Upstreams = append(s.Upstreams, Upstream{
			ID: u.ID, Service: u.Service, Version: u.Version, Slots: u.Slots, Since: time.UnixMilli(u.Since),
			Daemon: m.ID, Incarnation: m.Incarnation, Domain: m.Domain, Owner: m.Owner, Local: local,
		})
	}
}

// Consistent reports the first thing that leads nowhere. A view must be
// consistent before it is put in force.
func (v *View) Consistent() error {
	if v.Routes != nil && v.Routes.broken != nil {
		return errors.Wrapf(v.Routes.broken, "view %d", v.Version)
	}
	for _, s := range v.Services {
		for _, u := range s.Upstreams {
			if u.Service != s.Name || u.Owner == "" {
				return errors.Errorf("view %d: service %s has upstream %s without a place", v.Version, s.Name, u.ID)
			}
		}
	}
	return nil
}
