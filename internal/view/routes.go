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

// Route is a route of the configuration with its policy and callers resolved; services are
// referenced by name.
type Route struct {
	Name string
	Host string
	Path string
	// Targets are the services that get the route's calls. If there are none, the calls
	// are refused.
	Targets []Target
	Policy  config.Policy
	Callers map[string]config.Caller
	// Open is set if any caller may use the route.
	Open bool
	// Public is set if calls need no workspace's key.
	Public bool
	// counter counts the calls, from a random start, to spread them over the targets.
	counter *atomic.Uint64
	// source is the configured route that this one was built from.
	source config.Route
}

// Target is a service that gets a share of a route's calls.
type Target struct {
	Service string
	// CumulativeShare is the cumulative share of this target and those before it, from 0 to 1.
	CumulativeShare float64
}

// goldenRatioFraction is the fractional part of the golden ratio. The fractional parts of
// its multiples fill the interval from 0 to 1 most evenly, which spreads consecutive calls
// evenly over the shares.
const goldenRatioFraction = 0.6180339887498949

// Next returns the service for the next call of a route, which must have targets. Each
// target's share of any 20 consecutive calls is within about a tenth of what is configured;
// independent random draws would need 300 calls for that.
func (r *Route) Next() string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	_, fraction := math.Modf(float64(r.counter.Add(1)) * goldenRatioFraction)
	for _, t := range r.Targets {
		if fraction < t.CumulativeShare {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// routeKey is the host, in lower case, and the path that a route is looked up by.
type routeKey struct{ host, path string }

// Routes are the routes of one configuration. They are immutable.
type Routes struct {
	// state is the configuration that the routes were built from.
	state  *config.State
	byName map[string]*Route
	index  map[routeKey]*Route
	// hosts are the hosts named by routes.
	hosts map[string]bool
	// keyed is set if there are workspaces. Without any, calls need no key.
	keyed bool
	// keys holds the workspaces by the config.KeyHash of each of their keys.
	keys map[string]*config.Workspace
	// limits holds the limits of the workspaces that have one, by workspace name.
	limits map[string]quota.Limit
	// invalid is the first reference to a missing entity, or nil.
	invalid error
}

// NewRoutes returns the given routes, indexed by name and by host and path.
func NewRoutes(list ...*Route) *Routes {
	t := emptyRoutes(len(list))
	for _, r := range list {
		t.add(r)
	}
	return t
}

// emptyRoutes returns Routes without any route, with capacity for n of them.
func emptyRoutes(n int) *Routes {
	return &Routes{byName: make(map[string]*Route, n), index: make(map[routeKey]*Route, n), hosts: map[string]bool{}}
}

func (t *Routes) add(r *Route) {
	t.byName[r.Name] = r
	// If two routes have the same host and path, the first by name is used, so that all
	// daemons agree.
	key := routeKey{host: strings.ToLower(r.Host), path: r.Path}
	t.hosts[key.host] = true
	if other := t.index[key]; other == nil || r.Name < other.Name {
		t.index[key] = r
	}
}

// forState returns the routes of the state. Unchanged routes, usually nearly all, are
// reused together with their call counters. t may be nil.
func (t *Routes) forState(state *config.State) *Routes {
	if t != nil && t.state == state {
		return t
	}
	var reusable map[string]*Route
	if t != nil {
		reusable = t.byName
	}
	c := state.Content
	next := emptyRoutes(len(c.Routes))
	next.state = state
	for name, r := range c.Routes {
		route := reusable[name]
		if route == nil || !route.builtFrom(r, c) {
			route = newRoute(r, c)
		}
		next.checkReferences(route, c)
		next.add(route)
	}
	next.SetWorkspaces(c.Workspaces)
	return next
}

// builtFrom reports whether rebuilding the route from source would give the same route.
func (r *Route) builtFrom(source config.Route, c config.Content) bool {
	return len(source.Callers) == 0 && r.source.Equal(source) && r.Policy.Equal(c.Policies[source.Policy])
}

// maxInitialCounter bounds the random initial value of a call counter, which keeps the
// daemons from all sending their first calls to the same share.
const maxInitialCounter = 1 << 20

func newRoute(r config.Route, c config.Content) *Route {
	route := &Route{
		Name: r.Name, Host: r.Host, Path: r.Path, Targets: targets(r), Policy: c.Policies[r.Policy],
		Callers: make(map[string]config.Caller, len(r.Callers)), Open: r.Open, Public: r.Public, counter: new(atomic.Uint64), source: r,
	}
	route.counter.Store(rand.Uint64N(maxInitialCounter))
	for _, name := range r.Callers {
		route.Callers[name] = c.Callers[name]
	}
	return route
}

// targets returns the services that get calls. Those with a weight of zero are left out.
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
		list = append(list, Target{Service: t.Service, CumulativeShare: float64(sum) / float64(total)})
	}
	return list
}

// checkReferences records the first entity that the route names and the content lacks.
func (t *Routes) checkReferences(r *Route, c config.Content) {
	if t.invalid != nil {
		return
	}
	if r.Policy.Name == "" {
		t.invalid = errors.Errorf("route %s names a policy that does not exist", r.Name)
	}
	for name, caller := range r.Callers {
		if caller.Name != name {
			t.invalid = errors.Errorf("route %s names caller %s, which does not exist", r.Name, name)
		}
	}
	for _, target := range r.Targets {
		if _, ok := c.Services[target.Service]; !ok {
			t.invalid = errors.Errorf("route %s names service %s, which does not exist", r.Name, target.Service)
		}
	}
}

// Match returns the route with the longest path prefix that matches path. Routes of the
// host take precedence over routes for all hosts.
func (v *View) Match(host, path string) (*Route, bool) {
	if v.Routes == nil {
		return nil, false
	}
	if r := v.Routes.longestPrefix(v.Routes.normalizeHost(host), path); r != nil {
		return r, true
	}
	r := v.Routes.longestPrefix("", path)
	return r, r != nil
}

// normalizeHost returns the host of a call in the form in which routes name it: in lower
// case, and without the port unless a route names the host with that port.
func (t *Routes) normalizeHost(host string) string {
	host = strings.ToLower(host)
	if t.hosts[host] {
		return host
	}
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host[i:], ']') < 0 {
		return host[:i]
	}
	return host
}

func (t *Routes) longestPrefix(host, path string) *Route {
	if r := t.index[routeKey{host, path}]; r != nil {
		return r
	}
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if r := t.index[routeKey{host, path[:i+1]}]; r != nil {
			return r
		}
		if r := t.index[routeKey{host, path[:i]}]; r != nil {
			return r
		}
	}
	return nil
}

// SetWorkspaces sets the workspaces whose keys and limits apply to calls.
func (t *Routes) SetWorkspaces(workspaces map[string]config.Workspace) {
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

// Keyed reports whether there are any workspaces, in which case calls need keys.
func (t *Routes) Keyed() bool { return t.keyed }

// CallLimits returns the limits of the workspaces that have one, by workspace name. The map
// must not be changed.
func (t *Routes) CallLimits() map[string]quota.Limit { return t.limits }

// Keyed reports whether calls of the route need a workspace's key.
func (v *View) Keyed(r *Route) bool { return v.Routes.keyed && !r.Public }

// Workspace returns the workspace that holds a key. It compares digests of keys, so that its
// timing reveals nothing about the valid keys.
func (v *View) Workspace(key string) (*config.Workspace, bool) {
	ws, ok := v.Routes.keys[config.KeyHash(key)]
	return ws, ok
}
