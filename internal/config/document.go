package config

import (
	"maps"
	"reflect"
	"time"

	"github.com/pkg/errors"
)

// Document is a whole configuration that somebody else made and numbered. It
// replaces the one held; nothing of it is applied in part.
type Document struct {
	// Version only grows from one document to the next, in uneven steps.
	Version uint64
	Content Content
}

// InvalidError says why a document that was read cannot be used. The way to
// it works, so asking again does not help; a later document does.
type InvalidError struct{ Err error }

// Error implements error.
func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap returns the reason.
func (e *InvalidError) Unwrap() error { return e.Err }

// NewContent returns a content without entities.
func NewContent() Content { return Empty().Content }

// Validate reports the first thing that makes a document unusable.
func (d Document) Validate() error {
	if d.Version == 0 {
		return errors.New("document has no version")
	}
	for _, name := range sortedKeys(d.Content.Policies) {
		if err := d.Content.Policies[name].validate(); err != nil {
			return errors.Wrapf(err, "policy %s", name)
		}
	}
	if err := d.Content.Limits.validate(); err != nil {
		return err
	}
	return d.Content.Consistent()
}

// minIdle is the least time between two requests that a caller may be given.
const minIdle = time.Second

func (l Limits) validate() error {
	switch {
	case l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0:
		return errors.New("limits must not be negative")
	case l.IdleTimeout != 0 && l.IdleTimeout < minIdle:
		return errors.Errorf("idle timeout %v must be at least %v", l.IdleTimeout, minIdle)
	}
	return nil
}

// State returns the state that holds the document. The version is also its
// position: two daemons with the same version hold the same.
func (d Document) State() (*State, error) {
	if err := d.Validate(); err != nil {
		return nil, errors.Wrapf(err, "document %d", d.Version)
	}
	s := &State{Version: d.Version, Position: d.Version, Content: d.Content}
	s.Hash = s.sum()
	return s, nil
}

// Delta leads from one content to another by whole entities.
type Delta struct {
	Services map[string]Service `json:"services,omitempty"`
	Policies map[string]Policy  `json:"policies,omitempty"`
	Callers  map[string]Caller  `json:"callers,omitempty"`
	Routes   map[string]Route   `json:"routes,omitempty"`
	Removed  []Ref              `json:"removed,omitempty"`
	Limits   Limits             `json:"limits,omitzero"`
}

// Diff returns the delta that leads from one content to the other.
func Diff(from, to Content) Delta {
	d := Delta{
		Services: changed(from.Services, to.Services), Policies: changed(from.Policies, to.Policies),
		Callers: changed(from.Callers, to.Callers), Routes: changed(from.Routes, to.Routes),
		Limits: to.Limits,
	}
	d.Removed = removed(d.Removed, KindService, from.Services, to.Services)
	d.Removed = removed(d.Removed, KindPolicy, from.Policies, to.Policies)
	d.Removed = removed(d.Removed, KindCaller, from.Callers, to.Callers)
	d.Removed = removed(d.Removed, KindRoute, from.Routes, to.Routes)
	return d
}

func changed[E any](from, to map[string]E) map[string]E {
	out := map[string]E{}
	for name, e := range to {
		if old, ok := from[name]; !ok || !reflect.DeepEqual(old, e) {
			out[name] = e
		}
	}
	return out
}

func removed[E any](list []Ref, kind Kind, from, to map[string]E) []Ref {
	for _, name := range sortedKeys(from) {
		if _, ok := to[name]; !ok {
			list = append(list, Ref{Kind: kind, Name: name})
		}
	}
	return list
}

// After returns the state of this version after the delta. It must come out
// with the hash declared; else nothing is returned.
func (s *State) After(d Delta, version uint64, hash string) (*State, error) {
	c := s.Content.clone()
	for _, ref := range d.Removed {
		c.remove(ref)
	}
	maps.Copy(c.Services, d.Services)
	maps.Copy(c.Policies, d.Policies)
	maps.Copy(c.Callers, d.Callers)
	maps.Copy(c.Routes, d.Routes)
	c.Limits = d.Limits
	next, err := Document{Version: version, Content: c}.State()
	if err != nil {
		return nil, errors.Wrap(err, "apply delta")
	}
	if next.Hash != hash {
		return nil, errors.Errorf("apply delta: hash is %s, declared %s", next.Hash, hash)
	}
	return next, nil
}
