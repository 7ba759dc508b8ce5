package config

import (
	"cmp"
	"maps"
	"net/http"
	"path"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Bounds on commands. They are part of the rules: a daemon with other bounds could accept
// a record that others reject.
const (
	MaxChanges      = 2000
	MaxCallers      = 200
	MaxTimeout      = 10 * time.Minute
	MaxRamp         = 10 * time.Minute
	MaxRetries      = 5
	MaxPathLength   = 1024
	maxIDLength     = 64
	maxAuthorLength = 128
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// ValidName reports whether an entity or upstream may have this name.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Validate checks everything in a command that does not depend on a state.
func (c Command) Validate() error {
	switch {
	case c.ID == "" || len(c.ID) > maxIDLength:
		return errors.Errorf("command id must have 1 to %d characters", maxIDLength)
	case len(c.Author) > maxAuthorLength:
		return errors.Errorf("author must have at most %d characters", maxAuthorLength)
	case len(c.Changes) == 0:
		return errors.New("a change set needs at least one change")
	case len(c.Changes) > MaxChanges:
		return errors.Errorf("a change set may have %d changes, this one has %d", MaxChanges, len(c.Changes))
	}
	seen := make(map[Ref]bool, len(c.Changes))
	for _, ch := range c.Changes {
		if seen[ch.Ref] {
			return errors.Errorf("%s is named twice in one change set", ch.Ref)
		}
		seen[ch.Ref] = true
		if err := ch.validate(); err != nil {
			return errors.Wrap(err, ch.Ref.String())
		}
	}
	return nil
}

func (ch Change) validate() error {
	if !ValidName(ch.Ref.Name) {
		return errors.Errorf("name %q must match %s", ch.Ref.Name, namePattern)
	}
	switch ch.Verb {
	case Withdraw:
		if !ch.Ref.Kind.valid() {
			return errors.Errorf("unknown kind %q", ch.Ref.Kind)
		}
		return nil
	case Publish, Revise, Put:
		return ch.validateEntity()
	}
	return errors.Errorf("unknown verb %q", ch.Verb)
}

func (k Kind) valid() bool {
	return k == KindService || k == KindPolicy || k == KindCaller || k == KindRoute || k == KindWorkspace
}

func (ch Change) validateEntity() error {
	switch {
	case ch.Ref.Kind == KindService && ch.Service != nil:
		return cmp.Or(checkEntityName(ch.Ref, ch.Service.Name), ch.Service.validate())
	case ch.Ref.Kind == KindPolicy && ch.Policy != nil:
		return cmp.Or(checkEntityName(ch.Ref, ch.Policy.Name), ch.Policy.validate())
	case ch.Ref.Kind == KindCaller && ch.Caller != nil:
		return cmp.Or(checkEntityName(ch.Ref, ch.Caller.Name), ch.Caller.validate())
	case ch.Ref.Kind == KindRoute && ch.Route != nil:
		return cmp.Or(checkEntityName(ch.Ref, ch.Route.Name), ch.Route.validate())
	case ch.Ref.Kind == KindWorkspace && ch.Workspace != nil:
		return cmp.Or(checkEntityName(ch.Ref, ch.Workspace.Name), ch.Workspace.validate())
	}
	return errors.Errorf("change of kind %q has no entity of that kind", ch.Ref.Kind)
}

func checkEntityName(ref Ref, name string) error {
	if ref.Name != name {
		return errors.Errorf("entity is named %q", name)
	}
	return nil
}

func (s Service) validate() error {
	if s.Ramp < 0 || s.Ramp > MaxRamp {
		return errors.Errorf("ramp %v must be between 0 and %v", s.Ramp, MaxRamp)
	}
	return nil
}

func (p Policy) validate() error {
	switch {
	case p.Urgency < Background || p.Urgency > MostUrgent:
		return errors.Errorf("urgency %d must be between %d and %d", p.Urgency, Background, MostUrgent)
	case p.Timeout <= 0 || p.Timeout > MaxTimeout:
		return errors.Errorf("timeout %v must be above 0 and at most %v", p.Timeout, MaxTimeout)
	case p.Retries < 0 || p.Retries > MaxRetries:
		return errors.Errorf("retries %d must be between 0 and %d", p.Retries, MaxRetries)
	}
	for _, m := range p.Repeatable {
		if !slices.Contains(methods, m) {
			return errors.Errorf("repeatable: unknown method %q", m)
		}
	}
	return nil
}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut,
	http.MethodDelete, http.MethodPost, http.MethodPatch,
}

func (c Caller) validate() error {
	if c.KeyHash == "" {
		return nil
	}
	return checkKeyHash(c.KeyHash)
}

func (r Route) validate() error {
	switch {
	case !strings.HasPrefix(r.Path, "/") || len(r.Path) > MaxPathLength:
		return errors.Errorf("path %q must begin with / and have at most %d characters", r.Path, MaxPathLength)
	case r.Path != "/" && path.Clean(r.Path) != r.Path:
		return errors.Errorf("path %q must be clean and not end with /", r.Path)
	case len(r.Callers) > MaxCallers:
		return errors.Errorf("a route may name %d callers, this one names %d", MaxCallers, len(r.Callers))
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
