package config

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Delta is the difference between two contents, as whole entities.
type Delta struct {
	Services   map[string]Service   `json:"services,omitempty"`
	Policies   map[string]Policy    `json:"policies,omitempty"`
	Callers    map[string]Caller    `json:"callers,omitempty"`
	Routes     map[string]Route     `json:"routes,omitempty"`
	Workspaces map[string]Workspace `json:"workspaces,omitempty"`
	Removed    []Ref                `json:"removed,omitempty"`
	Limits     Limits               `json:"limits,omitzero"`
}

// Diff returns the delta from one content to another.
func Diff(from, to Content) Delta {
	d := Delta{
		Services:   changedEntities(from.Services, to.Services, func(a, b Service) bool { return a == b }),
		Policies:   changedEntities(from.Policies, to.Policies, Policy.Equal),
		Callers:    changedEntities(from.Callers, to.Callers, func(a, b Caller) bool { return a == b }),
		Routes:     changedEntities(from.Routes, to.Routes, Route.Equal),
		Workspaces: changedEntities(from.Workspaces, to.Workspaces, Workspace.Equal),
		Limits:     to.Limits,
	}
	d.Removed = appendRemoved(d.Removed, KindService, from.Services, to.Services)
	d.Removed = appendRemoved(d.Removed, KindPolicy, from.Policies, to.Policies)
	d.Removed = appendRemoved(d.Removed, KindCaller, from.Callers, to.Callers)
	d.Removed = appendRemoved(d.Removed, KindRoute, from.Routes, to.Routes)
	d.Removed = appendRemoved(d.Removed, KindWorkspace, from.Workspaces, to.Workspaces)
	return d
}

// Equal reports whether two policies have the same values.
func (p Policy) Equal(o Policy) bool {
	return p.Name == o.Name && p.Urgency == o.Urgency && p.Timeout == o.Timeout && p.Objective == o.Objective &&
		p.Retries == o.Retries && slices.Equal(p.Repeatable, o.Repeatable) && p.LargeAnswers == o.LargeAnswers
}

// Equal reports whether two routes have the same values.
func (r Route) Equal(o Route) bool {
	return r.Name == o.Name && r.Host == o.Host && r.Path == o.Path && r.Service == o.Service && r.Policy == o.Policy &&
		r.Open == o.Open && r.Public == o.Public && slices.Equal(r.Shares, o.Shares) && slices.Equal(r.Callers, o.Callers)
}

func changedEntities[E any](from, to map[string]E, equal func(E, E) bool) map[string]E {
	out := map[string]E{}
	for name, e := range to {
		if old, ok := from[name]; !ok || !equal(old, e) {
			out[name] = e
		}
	}
	return out
}

func appendRemoved[E any](list []Ref, kind Kind, from, to map[string]E) []Ref {
	for name := range from {
		if _, ok := to[name]; !ok {
			list = append(list, Ref{Kind: kind, Name: name})
		}
	}
	return list
}

// Compose returns the delta that has the effect of applying d and then next.
func (d Delta) Compose(next Delta) Delta {
	out := Delta{
		Services: mergeEntities(d.Services, next.Services), Policies: mergeEntities(d.Policies, next.Policies),
		Callers: mergeEntities(d.Callers, next.Callers), Routes: mergeEntities(d.Routes, next.Routes),
		Workspaces: mergeEntities(d.Workspaces, next.Workspaces), Limits: next.Limits,
	}
	for _, ref := range d.Removed {
		if !next.contains(ref) {
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

func mergeEntities[E any](a, b map[string]E) map[string]E {
	out := make(map[string]E, len(a)+len(b))
	maps.Copy(out, a)
	maps.Copy(out, b)
	return out
}

// content returns the delta's entities as a Content that shares the delta's maps.
func (d Delta) content() Content {
	return Content{Services: d.Services, Policies: d.Policies, Callers: d.Callers, Routes: d.Routes, Workspaces: d.Workspaces}
}

func (d Delta) contains(ref Ref) bool { return d.content().has(ref) }

func (d Delta) drop(ref Ref) { d.content().remove(ref) }

// ApplyDelta returns the state of this version after the delta is applied. It returns an error
// if the resulting hash differs from the declared one.
func (s *State) ApplyDelta(d Delta, version uint64, hash string) (*State, error) {
	next, err := s.withDelta(d, version)
	if err != nil {
		return nil, errors.Wrap(err, "apply delta")
	}
	if next.Hash != hash {
		return nil, errors.Errorf("apply delta: hash is %s, declared %s", next.Hash, hash)
	}
	return next, nil
}

// withDelta returns the state for the document of this version, whose content differs from
// that of s by the delta.
func (s *State) withDelta(d Delta, version uint64) (*State, error) {
	if version == 0 {
		return nil, errors.New("document has no version")
	}
	contentDigest := s.digest()
	next := &State{Version: version, Position: version, Content: s.Content.clone(), contentDigest: &contentDigest}
	next.Content.Limits = d.Limits
	for _, ref := range d.Removed {
		contentDigest.removeEntity(s.Content, ref)
		next.Content.remove(ref)
	}
	replaceEntities(&contentDigest, KindService, next.Content.Services, d.Services)
	replaceEntities(&contentDigest, KindPolicy, next.Content.Policies, d.Policies)
	replaceEntities(&contentDigest, KindCaller, next.Content.Callers, d.Callers)
	replaceEntities(&contentDigest, KindRoute, next.Content.Routes, d.Routes)
	replaceEntities(&contentDigest, KindWorkspace, next.Content.Workspaces, d.Workspaces)
	if err := next.Content.validateDelta(d); err != nil {
		return nil, err
	}
	next.Hash = next.computeHash()
	return next, nil
}

// referencedByRoutes reports whether routes can refer to an entity of this kind.
func (r Ref) referencedByRoutes() bool { return r.Kind != KindRoute && r.Kind != KindWorkspace }

// replaceEntities puts entities into a table and updates the digest.
func replaceEntities[E any](sum *digest, kind Kind, table, entities map[string]E) {
	for name, e := range entities {
		if old, ok := table[name]; ok {
			sum.remove(entityDigest(kind, name, old))
		}
		table[name] = e
		sum.add(entityDigest(kind, name, e))
	}
}

// validateDelta returns the first error that makes the content unusable. The content was
// valid before the delta was applied, so only what the delta affects is checked.
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
		if err := d.Workspaces[name].validateFields(); err != nil {
			return errors.Wrapf(err, "workspace %s", name)
		}
	}
	if len(d.Workspaces) > 0 {
		if err := c.checkWorkspaceKeys(); err != nil {
			return err
		}
	}
	if slices.ContainsFunc(d.Removed, Ref.referencedByRoutes) {
		return c.checkRoutes(Content.checkRoute) // any route may still refer to a removed entity
	}
	for _, name := range sortedKeys(d.Routes) {
		if err := c.checkRoute(d.Routes[name]); err != nil {
			return err
		}
	}
	return nil
}
