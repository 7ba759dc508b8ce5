package config

import (
	"time"

	"github.com/pkg/errors"
)

// Document is a whole configuration, made and numbered outside this system. It replaces
// the current configuration as a whole. Invalid parts are normalized and never prevent it
// from being applied.
type Document struct {
	// Version increases from one document to the next, by any amount.
	Version uint64
	Content Content
	// Flaws are the parts that cannot be applied as written.
	Flaws []Flaw
}

// InvalidError is the reason why a document that was read cannot be used. The document's
// source is reachable, so reading the same document again does not help; only a later
// document does.
type InvalidError struct{ Err error }

// Error implements error.
func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap implements the interface that errors.Is and errors.As use.
func (e *InvalidError) Unwrap() error { return e.Err }

// minIdleTimeout is the shortest time that callers may be allowed between two requests on
// a connection.
const minIdleTimeout = time.Second

func (l Limits) validate() error {
	switch {
	case l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0:
		return errors.New("limits must not be negative")
	case l.IdleTimeout != 0 && l.IdleTimeout < minIdleTimeout:
		return errors.Errorf("idle timeout %v must be at least %v", l.IdleTimeout, minIdleTimeout)
	}
	return nil
}

// State returns the state for the document. Its position equals its version, so that two
// daemons with the same version hold the same state.
func (d Document) State() (*State, error) {
	next, _, err := d.ApplyTo(Empty())
	return next, err
}

// ApplyTo returns the state in which the document replaces the content of s, and the delta
// between the two. Only the delta is checked and hashed.
func (d Document) ApplyTo(s *State) (*State, Delta, error) {
	delta := Diff(s.Content, d.Content)
	next, err := s.withDelta(delta, d.Version)
	return next, delta, errors.Wrapf(err, "document %d", d.Version)
}
