package config

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Delta leads from one content to another by whole entities.
type Delta struct {
	Services   map[string]Service   `json:"services,omitempty"`
	Policies   map[string]Policy    `json:"policies,omitempty"`
	Callers    map[string]Caller    `json:"callers,omitempty"`
	Routes     map[string]Route     `json:"routes,omitempty"`
	Workspaces map[string]Workspace `json:"workspaces,omitempty"`
	Removed    []Ref                `json:"removed,omitempty"`
	Limits     Limits               `json:"limits,omitzero"`
}

// Diff returns the delta that leads from one content to the other.
func Diff(from, to Content) Delta {
	d := Delta{
		Services:   changed(from.Services, to.Services, func(a, b Service) bool { return a == b }),
		Policies:   changed(from.Policies, to.Policies, Policy.Equal),
		Callers:    changed(from.Callers, to.Callers, func(a, b Caller) bool { return a == b }),
		Routes:     changed(from.Routes, to.Routes, Route.Equal),
		Workspaces: changed(from.Workspaces, to.Workspaces, Workspace.Equal),
		Limits:     to.Limits,
	}
	d.Removed = removed(d.Removed, KindService, from.Services, to.Services)
	d.Removed = removed(d.Removed, KindPolicy, from.Policies, to.Policies)
	d.Removed = removed(d.Removed, KindCaller, from.Callers, to.Callers)
	d.Removed = removed(d.Removed, KindRoute, from.Routes, to.Routes)
	d.Removed = removed(d.Removed, KindWorkspace, from.Workspaces, to.Workspaces)
	return d
}

// Equal reports whether two policies say the same.
func (p Policy) Equal(o Policy) bool {
	return p.Name == o.Name && p.Urgency == o.Urgency && p.Timeout == o.Timeout && p.Objective == o.Objective &&
		p.Retries == o.Retries && slices.Equal(p.Repeatable, o.Repeatable)
}

// Equal reports whether two routes say the same.
func (r Route) Equal(o Route) bool {
	return r.Name == o.Name && r.Host == o.Host && r.Path == o.Path && r.Service == o.Service && r.Policy == o.Policy &&
		r.Open == o.Open && r.Public == o.Public && slices.Equal(r.Shares, o.Shares) && slices.Equal(r.Callers, o.Callers)
}

func changed[E any](from, to map[string]E, equal func(E, E) bool) map[string]E {
	out := map[string]E{}
	for name, e := range to {
		if old, ok := from[name]; !ok || !equal(old, e) {
			out[name] = e
		}
	}
	return out
}

func removed[E any](list []Ref, kind Kind, from, to map[string]E) []Ref {
	for name := range from {
		if _, ok := to[name]; !ok {
			list = append(list, Ref{Kind: kind, Name: name})
		}
	}
	return list
}

// Then returns the delta that leads where d and then next lead.
func (d Delta) Then(next Delta) Delta {
	out := Delta{
		Services: merged(d.Services, next.Services), Policies: merged(d.Policies, next.Policies),
		Callers: merged(d.Callers, next.Callers), Routes: merged(d.Routes, next.Routes),
		Workspaces: merged(d.Workspaces, next.Workspaces), Limits: next.Limits,
	}
	for _, ref := range d.Removed {
		if !next.sets(ref) {
			out.Removed = append(out.Removed, ref)
		}
	}
	for _, ref := range next.Removed {
		out.drop(ref)
		if !slices.Contains(out.Removed, ref) {
			out.Removed = append(out.Removed, ref)
		}
	}
	return out
}

func merged[E any](a, b map[string]E) map[string]E {
	out := make(map[string]E, len(a)+len(b))
	maps.Copy(out, a)
	maps.Copy(out, b)
	return out
}

// content returns the delta's entities. It shares their maps.
func (d Delta) content() Content {
	return Content{Services: d.Services, Policies: d.Policies, Callers: d.Callers, Routes: d.Routes, Workspaces: d.Workspaces}
}

func (d Delta) sets(ref Ref) bool { return d.content().has(ref) }

func (d Delta) drop(ref Ref) { d.content().remove(ref) }

// After returns the state of this version after the delta. It must come out
// with the hash declared; else nothing is returned.
func (s *State) After(d Delta, version uint64, hash string) (*State, error) {
	next, err := s.replaced(d, version)
	if err != nil {
		return nil, errors.Wrap(err, "apply delta")
	}
	if next.Hash != hash {
		return nil, errors.Errorf("apply delta: hash is %s, declared %s", next.Hash, hash)
	}
	return next, nil
}

// replaced returns the state that holds a document of this version, which
// differs from the one held by the delta.
func (s *State) replaced(d Delta, version uint64) (*State, error) {
	if version == 0 {
		return nil, errors.New("document has no version")
	}
	entities := s.entityDigest()
	next := &State{Version: version, Position: version, Content: s.Content.clone(), entities: &entities}
	next.Content.Limits = d.Limits
	for _, ref := range d.Removed {
		entities.removeEntity(s.Content, ref)
		next.Content.remove(ref)
	}
	replaceAll(&entities, KindService, next.Content.Services, d.Services)
	replaceAll(&entities, KindPolicy, next.Content.Policies, d.Policies)
	replaceAll(&entities, KindCaller, next.Content.Callers, d.Callers)
	replaceAll(&entities, KindRoute, next.Content.Routes, d.Routes)
	replaceAll(&entities, KindWorkspace, next.Content.Workspaces, d.Workspaces)
	if err := next.Content.validateDelta(d); err != nil {
		return nil, err
	}
	next.Hash = next.sum()
	return next, nil
}

// named reports whether routes may name the entity.
func (r Ref) named() bool { return r.Kind != KindRoute && r.Kind != KindWorkspace }

// replaceAll puts entities into a table and counts them in its digest.
func replaceAll[E any](sum *digest, kind Kind, table, entities map[string]E) {
	for name, e := range entities {
		if old, ok := table[name]; ok {
			sum.remove(entityDigest(kind, name, old))
		}
		table[name] = e
		sum.add(entityDigest(kind, name, e))
	}
}

// validateDelta reports the first thing that makes a content unusable, which
// came to be by the delta from one that was usable.
func (c Content) validateDelta(d Delta) error {
	for _, name := range sortedKeys(d.Policies) {
		if err := d.Policies[name].validate(); err != nil {
			return errors.Wrapf(err, "policy %s", name)
		}
	}
	if err := c.Limits.validate(); err != nil {
		return err
	}
	for _, name := range sortedKeys(d.Workspaces) {
		if err := d.Workspaces[name].consistent(); err != nil {
			return errors.Wrapf(err, "workspace %s", name)
		}
	}
	if len(d.Workspaces) > 0 {
		if err := c.workspacesConsistent(); err != nil {
			return err
		}
	}
	if slices.ContainsFunc(d.Removed, Ref.named) {
		return c.routesConsistent(Content.routeConsistent) // any route may have named what is gone
	}
	for _, name := range sortedKeys(d.Routes) {
		if err := c.routeConsistent(d.Routes[name]); err != nil {
			return err
		}
	}
	return nil
}
