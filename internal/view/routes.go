package view

import (
	"math"
	"math/rand/v2"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/quota"
)

// Route is a route with everything it names but its services.
type Route struct {
	Name string
	Host string
	Path string
	// Targets are where its calls go. There may be none: they are refused.
	Targets []Target
	Policy  config.Policy
	Callers map[string]config.Caller
	// Open says that anybody may use the route.
	Open bool
	// Public says that calls need no workspace's key.
	Public bool
	turn   *atomic.Uint64
	// from is what the route was made of.
	from config.Route
}

// Target is a service's share of a route.
type Target struct {
	Service string
	// Until is the share of this target and those before it, from 0 to 1.
	Until float64
}

// turnStep spreads consecutive calls evenly over the shares: the fractional
// part of the golden ratio, whose multiples fill the interval most evenly.
const turnStep = 0.6180339887498949

// Next returns the service of the next call of a route that has targets. Any 20 calls in a row keep each
// share within a tenth or so, where independent draws would need 300.
func (r *Route) Next() string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	_, at := math.Modf(float64(r.turn.Add(1)) * turnStep)
	for _, t := range r.Targets {
		if at < t.Until {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// place is where a route applies. Hosts are in lower case.
type place struct{ host, path string }

// Routes are the routes of one configuration. They are immutable.
type Routes struct {
	// state is the configuration that they were made of.
	state  *config.State
	byName map[string]*Route
	index  map[place]*Route
	// hosts are those that routes name.
	hosts map[string]bool
	// keyed is set if there are workspaces. Without any, calls need no key.
	keyed bool
	// keys holds them by config.KeyHash of each of their keys.
	keys map[string]*config.Workspace
	// limits holds those of the workspaces that have one, by name.
	limits map[string]quota.Limit
	// broken says what makes them unusable, or is nil.
	broken error
}

// NewRoutes returns these routes.
func NewRoutes(list ...*Route) *Routes {
	t := emptyRoutes(len(list))
	for _, r := range list {
		t.add(r)
	}
	return t
}

// emptyRoutes returns tables with room for n routes.
func emptyRoutes(n int) *Routes {
	return &Routes{byName: make(map[string]*Route, n), index: make(map[place]*Route, n), hosts: map[string]bool{}}
}

func (t *Routes) add(r *Route) {
	t.byName[r.Name] = r
	// Of two routes at one place the first by name counts, on every daemon.
	at := place{host: strings.ToLower(r.Host), path: r.Path}
	t.hosts[at.host] = true
	if other := t.index[at]; other == nil || r.Name < other.Name {
		t.index[at] = r
	}
}

// follow returns the routes of the state. Routes that stay as they are, mostly
// all, are taken over, with where their shares have got to; t may be nil.
func (t *Routes) follow(state *config.State) *Routes {
	if t != nil && t.state == state {
		return t
	}
	var known map[string]*Route
	if t != nil {
		known = t.byName
	}
	c := state.Content
	next := emptyRoutes(len(c.Routes))
	next.state = state
	for name, r := range c.Routes {
		old := known[name]
		if old == nil || !old.madeOf(r, c) {
			old = newRoute(r, c)
		}
		next.check(old, c)
		next.add(old)
	}
	next.Admit(c.Workspaces)
	return next
}

// madeOf reports whether the route would be the same if it were made again.
func (r *Route) madeOf(from config.Route, c config.Content) bool {
	return len(from.Callers) == 0 && r.from.Equal(from) && r.Policy.Equal(c.Policies[from.Policy])
}

// maxTurn bounds where the turns of a route begin, so that the daemons do not
// all send their first calls to the same share.
const maxTurn = 1 << 20

func newRoute(r config.Route, c config.Content) *Route {
	route := &Route{
		Name: r.Name, Host: r.Host, Path: r.Path, Targets: targets(r), Policy: c.Policies[r.Policy],
		Callers: make(map[string]config.Caller, len(r.Callers)), Open: r.Open, Public: r.Public, turn: new(atomic.Uint64), from: r,
	}
	route.turn.Store(rand.Uint64N(maxTurn))
	for _, name := range r.Callers {
		route.Callers[name] = c.Callers[name]
	}
	return route
}

// targets returns the services that get calls; a share without weight is none.
func targets(r config.Route) []Target {
	var list []Target
	total, sum := 0, 0
	for _, t := range r.Targets() {
		total += t.Weight
	}
	for _, t := range r.Targets() {
		if t.Weight == 0 {
			continue
		}
		sum += t.Weight
		list = append(list, Target{Service: t.Service, Until: float64(sum) / float64(total)})
	}
	return list
}

// check notes the first thing that the route names and the content lacks.
func (t *Routes) check(r *Route, c config.Content) {
	if t.broken != nil {
		return
	}
	if r.Policy.Name == "" {
		t.broken = errors.Errorf("route %s has no policy", r.Name)
	}
	for name, caller := range r.Callers {
		if caller.Name != name {
			t.broken = errors.Errorf("route %s has no caller %s", r.Name, name)
		}
	}
	for _, target := range r.Targets {
		if _, ok := c.Services[target.Service]; !ok {
			t.broken = errors.Errorf("route %s has no service %s", r.Name, target.Service)
		}
	}
}

// Match returns the route with the longest path that covers path: one of the
// host if there is any, else one for all hosts.
func (v *View) Match(host, path string) (*Route, bool) {
	if v.Routes == nil {
		return nil, false
	}
	if r := v.Routes.longest(v.Routes.hostOf(host), path); r != nil {
		return r, true
	}
	r := v.Routes.longest("", path)
	return r, r != nil
}

// hostOf returns the host that a call names, as routes do: in lower case, and without a port
// unless routes name it with that port.
func (t *Routes) hostOf(host string) string {
	host = strings.ToLower(host)
	if t.hosts[host] {
		return host
	}
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host[i:], ']') < 0 {
		return host[:i]
	}
	return host
}

func (t *Routes) longest(host, path string) *Route {
	if r := t.index[place{host, path}]; r != nil {
		return r
	}
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if r := t.index[place{host, path[:i+1]}]; r != nil {
			return r
		}
		if r := t.index[place{host, path[:i]}]; r != nil {
			return r
		}
	}
	return nil
}

// Admit makes these workspaces the ones whose keys calls need.
func (t *Routes) Admit(workspaces map[string]config.Workspace) {
	t.keyed = len(workspaces) > 0
	t.keys = make(map[string]*config.Workspace, len(workspaces))
	t.limits = map[string]quota.Limit{}
	for _, ws := range workspaces {
		if ws.Rate > 0 {
			t.limits[ws.Name] = quota.Limit{Rate: ws.Rate, Burst: ws.Burst}
		}
		for _, hash := range ws.KeyHashes {
			t.keys[hash] = &ws
		}
	}
}

// Keyed reports whether there are workspaces, so that calls need keys.
func (t *Routes) Keyed() bool { return t.keyed }

// CallLimits returns the limits of workspaces that have one, by name. They must not be changed.
func (t *Routes) CallLimits() map[string]quota.Limit { return t.limits }

// Keyed reports whether calls of the route need a workspace's key.
func (v *View) Keyed(r *Route) bool { return v.Routes.keyed && !r.Public }

// Workspace returns the workspace that holds a key. What is compared are digests, so that
// the time it takes tells nothing of the keys that are held.
func (v *View) Workspace(key string) (*config.Workspace, bool) {
	ws, ok := v.Routes.keys[config.KeyHash(key)]
	return ws, ok
}
