package config

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Flaw is something in a document that cannot be carried out as it is written.
type Flaw struct {
	Entity Ref
	// Problem says what is wrong, Instead what is done.
	Problem string
	Instead string
}

// String returns the flaw as operators read it.
func (f Flaw) String() string {
	return strings.TrimSpace(f.Entity.String()) + ": " + f.Problem + "; " + f.Instead
}

// Kinds of entity that only flaws name.
const (
	// KindDocument stands for the document as a whole.
	KindDocument Kind = "document"
	kindLimits   Kind = "limits"
)

// MaxWeight bounds a share's weight, so that sums of them can be counted.
const MaxWeight = 1_000_000_000

// nameless is what a workspace without a name is called.
const nameless = "(nameless)"

// Normalize makes the content one that can be put in force, whatever the document says:
// what cannot be carried out as it is written is carried out as nearly as can be, entity by
// entity, and noted as a flaw. Whoever accepted the document cannot be told of a refusal any
// more, and no entity is to wait for another that is odd.
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
	holders := map[string]string{}
	for _, name := range sortedKeys(d.Content.Workspaces) {
		d.normalizeWorkspace(name, holders)
	}
	slices.SortFunc(d.Flaws, func(a, b Flaw) int { return strings.Compare(a.String(), b.String()) })
}

// AddFlaw notes a flaw.
func (d *Document) AddFlaw(kind Kind, name, problem, instead string) {
	d.Flaws = append(d.Flaws, Flaw{Entity: Ref{Kind: kind, Name: name}, Problem: problem, Instead: instead})
}

// AddRoute adds a route. One whose name is missing or taken gets one made of its place:
// calls find routes by host and path, not by name.
func (d *Document) AddRoute(r Route) {
	if r.Path == "" {
		d.AddFlaw(KindRoute, r.Name, "has no path", "left out")
		return
	}
	if _, taken := d.Content.Routes[r.Name]; taken || r.Name == "" {
		place := strings.TrimSpace(r.Name + " " + r.Host + r.Path)
		d.AddFlaw(KindRoute, r.Name, "has no name of its own", fmt.Sprintf("named %q", place))
		r.Name = place
	}
	d.Content.Routes[r.Name] = r
}

// AddWorkspace adds a workspace. If its name stands twice, the keys of both let calls in, and
// what else it says holds.
func (d *Document) AddWorkspace(ws Workspace) {
	if other, taken := d.Content.Workspaces[ws.Name]; taken {
		d.AddFlaw(KindWorkspace, ws.Name, "stands twice", "has the keys of both")
		ws.KeyHashes = slices.Concat(other.KeyHashes, ws.KeyHashes)
	}
	d.Content.Workspaces[ws.Name] = ws
}

func (d *Document) normalizeLimits() {
	l := &d.Content.Limits
	fix(d, Ref{Kind: kindLimits}, "header bytes", &l.HeaderBytes, max(0, l.HeaderBytes))
	fix(d, Ref{Kind: kindLimits}, "body bytes", &l.BodyBytes, max(0, l.BodyBytes))
	fix(d, Ref{Kind: kindLimits}, "header timeout", &l.HeaderTimeout, max(0, l.HeaderTimeout))
	if l.IdleTimeout != 0 {
		fix(d, Ref{Kind: kindLimits}, "idle timeout", &l.IdleTimeout, max(minIdle, l.IdleTimeout))
	}
}

// fix sets a value of an entity to one that can be carried out, and notes a flaw if it was
// another.
func fix[T comparable](d *Document, of Ref, what string, value *T, usable T) {
	if *value == usable {
		return
	}
	d.AddFlaw(of.Kind, of.Name, fmt.Sprintf("%s %v", what, *value), fmt.Sprintf("taken as %v", usable))
	*value = usable
}

func (d *Document) normalizeService(name string, s Service) {
	if name == "" {
		d.AddFlaw(KindService, name, "has no name", "left out")
		delete(d.Content.Services, name)
		return
	}
	fix(d, Ref{KindService, name}, "connections", &s.Connections, max(0, s.Connections))
	d.Content.Services[name] = s
}

// normalizePolicy bounds a policy. Without a timeout, calls have that of their callers.
func (d *Document) normalizePolicy(name string, p Policy) {
	ref := Ref{KindPolicy, name}
	timeout := min(p.Timeout, MaxTimeout)
	if timeout <= 0 {
		timeout = MaxTimeout
	}
	fix(d, ref, "timeout", &p.Timeout, timeout)
	fix(d, ref, "objective", &p.Objective, max(time.Duration(0), p.Objective))
	fix(d, ref, "urgency", &p.Urgency, min(max(Background, p.Urgency), MostUrgent))
	fix(d, ref, "retries", &p.Retries, min(max(0, p.Retries), MaxRetries))
	d.Content.Policies[name] = p
}

// normalizeRoute sees to it that all services that a route names exist. Upstreams tell of
// themselves, so that one that was not listed may well have some.
func (d *Document) normalizeRoute(name string, r Route) {
	ref := Ref{KindRoute, name}
	r.Shares = d.normalizeShares(ref, r.Shares)
	for _, target := range r.Targets() {
		if _, ok := d.Content.Services[target.Service]; !ok {
			d.AddFlaw(KindRoute, name, "names service "+target.Service+", which is not listed", "taken as listed")
			d.Content.Services[target.Service] = Service{Name: target.Service}
		}
	}
	if !r.servable() {
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
		fix(d, ref, "weight of "+s.Service, &s.Weight, min(max(0, s.Weight), MaxWeight))
		list = append(list, s)
	}
	return list
}

// normalizeWorkspace bounds a workspace and drops the keys that can't be its own. Holders
// says which workspace has a key; the first by name keeps it.
func (d *Document) normalizeWorkspace(name string, holders map[string]string) {
	ws := d.Content.Workspaces[name]
	if name == "" {
		// It stays, under another name: where there is no workspace, calls need no key.
		d.AddFlaw(KindWorkspace, name, "has no name", "its keys let nobody in")
		delete(d.Content.Workspaces, name)
		d.Content.Workspaces[nameless] = Workspace{Name: nameless}
		return
	}
	ref := Ref{KindWorkspace, name}
	fix(d, ref, "rate", &ws.Rate, min(max(0, ws.Rate), maxRate))
	fix(d, ref, "burst", &ws.Burst, min(max(0, ws.Burst), maxRate))
	fix(d, ref, "urgency", &ws.Urgency, min(max(0, ws.Urgency), MostUrgent))
	var keys []string
	for _, hash := range slices.Sorted(slices.Values(ws.KeyHashes)) {
		holder, taken := holders[hash]
		switch {
		case hash == emptyKey:
			d.AddFlaw(KindWorkspace, name, "has an empty key", "lets nobody in")
		case taken && holder == name:
			d.AddFlaw(KindWorkspace, name, "has a key twice", "counts once")
		case taken:
			d.AddFlaw(KindWorkspace, name, "shares a key with workspace "+holder, "the key is that one's")
		default:
			holders[hash] = name
			keys = append(keys, hash)
		}
	}
	ws.KeyHashes = keys
	d.Content.Workspaces[name] = ws
}
