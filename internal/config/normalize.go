package config

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Flaw is a part of a document that cannot be applied as written.
type Flaw struct {
	Entity Ref
	// Problem describes what is wrong, Resolution what is applied in its place.
	Problem    string
	Resolution string
}

// String formats the flaw for operators.
func (f Flaw) String() string {
	return strings.TrimSpace(f.Entity.String()) + ": " + f.Problem + "; " + f.Resolution
}

// Kinds that occur only in flaws.
const (
	// KindDocument refers to the document as a whole.
	KindDocument Kind = "document"
	kindLimits   Kind = "limits"
)

// MaxWeight bounds a share's weight, so that sums of weights do not overflow.
const MaxWeight = 1_000_000_000

// unnamedWorkspace is the name given to a workspace that has none.
const unnamedWorkspace = "(nameless)"

// Normalize changes the content so that it can be put in force, whatever the document
// contains. Each entity that cannot be applied as written is adjusted as little as
// possible, and each adjustment is recorded as a flaw. Rejecting the document is not an
// option: the system that accepted it can no longer be notified of that, and one invalid
// entity must not keep the others from being applied.
func (d *Document) Normalize() {
	d.normalizeLimits()
	for name, s := range d.Content.Services {
		d.normalizeService(name, s)
	}
	for name, p := range d.Content.Policies {
		d.normalizePolicy(name, p)
	}
	for _, name := range sortedKeys(d.Content.Routes) {
		d.normalizeRoute(name, d.Content.Routes[name])
	}
	workspaceByKey := map[string]string{}
	for _, name := range sortedKeys(d.Content.Workspaces) {
		d.normalizeWorkspace(name, workspaceByKey)
	}
	slices.SortFunc(d.Flaws, func(a, b Flaw) int { return strings.Compare(a.String(), b.String()) })
}

// AddFlaw records a flaw.
func (d *Document) AddFlaw(kind Kind, name, problem, resolution string) {
	d.Flaws = append(d.Flaws, Flaw{Entity: Ref{Kind: kind, Name: name}, Problem: problem, Resolution: resolution})
}

// AddRoute adds a route. If its name is missing or taken, a name is made from its host and
// path: calls are matched to routes by host and path, not by name.
func (d *Document) AddRoute(r Route) {
	if r.Path == "" {
		d.AddFlaw(KindRoute, r.Name, "has no path", "left out")
		return
	}
	if _, taken := d.Content.Routes[r.Name]; taken || r.Name == "" {
		name := strings.TrimSpace(r.Name + " " + r.Host + r.Path)
		d.AddFlaw(KindRoute, r.Name, "has no name of its own", fmt.Sprintf("named %q", name))
		r.Name = name
	}
	d.Content.Routes[r.Name] = r
}

// AddWorkspace adds a workspace. If its name is taken, the later workspace replaces the
// earlier one and keeps the keys of both.
func (d *Document) AddWorkspace(ws Workspace) {
	if other, taken := d.Content.Workspaces[ws.Name]; taken {
		d.AddFlaw(KindWorkspace, ws.Name, "stands twice", "has the keys of both")
		ws.KeyHashes = slices.Concat(other.KeyHashes, ws.KeyHashes)
	}
	d.Content.Workspaces[ws.Name] = ws
}

func (d *Document) normalizeLimits() {
	l := &d.Content.Limits
	normalizeValue(d, Ref{Kind: kindLimits}, "header bytes", &l.HeaderBytes, max(0, l.HeaderBytes))
	normalizeValue(d, Ref{Kind: kindLimits}, "body bytes", &l.BodyBytes, max(0, l.BodyBytes))
	normalizeValue(d, Ref{Kind: kindLimits}, "header timeout", &l.HeaderTimeout, max(0, l.HeaderTimeout))
	if l.IdleTimeout != 0 {
		normalizeValue(d, Ref{Kind: kindLimits}, "idle timeout", &l.IdleTimeout, max(minIdleTimeout, l.IdleTimeout))
	}
}

// normalizeValue sets a value of an entity to a valid one, and records a flaw if the two
// differ.
func normalizeValue[T comparable](d *Document, ref Ref, field string, value *T, valid T) {
	if *value == valid {
		return
	}
	d.AddFlaw(ref.Kind, ref.Name, fmt.Sprintf("%s %v", field, *value), fmt.Sprintf("taken as %v", valid))
	*value = valid
}

func (d *Document) normalizeService(name string, s Service) {
	if name == "" {
		d.AddFlaw(KindService, name, "has no name", "left out")
		delete(d.Content.Services, name)
		return
	}
	normalizeValue(d, Ref{KindService, name}, "connections", &s.Connections, max(0, s.Connections))
	d.Content.Services[name] = s
}

// normalizePolicy limits the policy's values to their valid ranges. A policy without a
// timeout gets the longest one, so that the callers' own timeouts apply.
func (d *Document) normalizePolicy(name string, p Policy) {
	ref := Ref{KindPolicy, name}
	timeout := min(p.Timeout, MaxTimeout)
	if timeout <= 0 {
		timeout = MaxTimeout
	}
	normalizeValue(d, ref, "timeout", &p.Timeout, timeout)
	normalizeValue(d, ref, "objective", &p.Objective, max(time.Duration(0), p.Objective))
	normalizeValue(d, ref, "urgency", &p.Urgency, min(max(Background, p.Urgency), MostUrgent))
	normalizeValue(d, ref, "retries", &p.Retries, min(max(0, p.Retries), MaxRetries))
	d.Content.Policies[name] = p
}

// normalizeRoute adds the services that the route names and the document does not list.
// They may have upstreams all the same, because upstreams announce themselves.
func (d *Document) normalizeRoute(name string, r Route) {
	ref := Ref{KindRoute, name}
	r.Shares = d.normalizeShares(ref, r.Shares)
	for _, target := range r.Targets() {
		if _, ok := d.Content.Services[target.Service]; !ok {
			d.AddFlaw(KindRoute, name, "names service "+target.Service+", which is not listed", "taken as listed")
			d.Content.Services[target.Service] = Service{Name: target.Service}
		}
	}
	if !r.hasWeightedTarget() {
		d.AddFlaw(KindRoute, name, "gives no service a part of its calls", "they are refused as not run")
	}
	d.Content.Routes[name] = r
}

func (d *Document) normalizeShares(ref Ref, shares []Share) []Share {
	var list []Share
	for _, s := range shares {
		if s.Service == "" {
			d.AddFlaw(ref.Kind, ref.Name, "has a share without a service", "left out")
			continue
		}
		normalizeValue(d, ref, "weight of "+s.Service, &s.Weight, min(max(0, s.Weight), MaxWeight))
		list = append(list, s)
	}
	return list
}

// normalizeWorkspace limits the workspace's values to their valid ranges and drops keys
// that are empty, repeated or used by another workspace. workspaceByKey maps each key to
// the workspace that has it; the first workspace by name keeps a shared key.
func (d *Document) normalizeWorkspace(name string, workspaceByKey map[string]string) {
	ws := d.Content.Workspaces[name]
	if name == "" {
		// Keep a workspace, under another name: if there were none, calls would need no key.
		d.AddFlaw(KindWorkspace, name, "has no name", "its keys let nobody in")
		delete(d.Content.Workspaces, name)
		d.Content.Workspaces[unnamedWorkspace] = Workspace{Name: unnamedWorkspace}
		return
	}
	ref := Ref{KindWorkspace, name}
	normalizeValue(d, ref, "rate", &ws.Rate, min(max(0, ws.Rate), maxRate))
	normalizeValue(d, ref, "burst", &ws.Burst, min(max(0, ws.Burst), maxRate))
	normalizeValue(d, ref, "urgency", &ws.Urgency, min(max(0, ws.Urgency), MostUrgent))
	var keys []string
	for _, hash := range slices.Sorted(slices.Values(ws.KeyHashes)) {
		other, taken := workspaceByKey[hash]
		switch {
		case hash == emptyKeyHash:
			d.AddFlaw(KindWorkspace, name, "has an empty key", "lets nobody in")
		case taken && other == name:
			d.AddFlaw(KindWorkspace, name, "has a key twice", "counts once")
		case taken:
			d.AddFlaw(KindWorkspace, name, "shares a key with workspace "+other, "the key is that one's")
		default:
			workspaceByKey[hash] = name
			keys = append(keys, hash)
		}
	}
	ws.KeyHashes = keys
	d.Content.Workspaces[name] = ws
}
