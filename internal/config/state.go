package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"
)

// maxOutcomes bounds the outcomes that a state keeps. It is part of the rules: all daemons
// must drop the same ones, or they would treat a resent command differently.
const maxOutcomes = 512

// Status is the result of a command.
type Status string

// Statuses of a command. Only the first two occur in a State.
const (
	Accepted Status = "accepted"
	Rejected Status = "rejected"
	// StatusUnknown means that the outcome was not learned; the command may be accepted.
	StatusUnknown Status = "unknown"
)

// Outcome describes how a command was decided.
type Outcome struct {
	ID     string `json:"id"`
	Author string `json:"author"`
	Status Status `json:"status"`
	// Version is the version that the command created, or the version in force when it was
	// rejected.
	Version uint64 `json:"version"`
	Reason  string `json:"reason,omitempty"`
	// BeatenBy is the version of the conflicting change that was accepted first, or 0.
	BeatenBy uint64   `json:"beaten_by,omitempty"`
	Refs     []string `json:"refs,omitempty"`
}

// Content is the part of a state that defines which callers reach which services.
type Content struct {
	Services map[string]Service `json:"services"`
	Policies map[string]Policy  `json:"policies"`
	Callers  map[string]Caller  `json:"callers"`
	Routes   map[string]Route   `json:"routes"`
	// Workspaces holds the workspaces. If there are any, calls need a key of one of them,
	// except on public routes.
	Workspaces map[string]Workspace `json:"workspaces,omitempty"`
	// Revisions holds the version that last changed or withdrew an entity, by Ref.String.
	// It decides which of two conflicting commands is accepted, so it is part of the
	// content.
	Revisions map[string]uint64 `json:"revisions"`
	Limits    Limits            `json:"limits,omitzero"`
}

// State is the configuration after a prefix of the log. A State is immutable: Apply
// returns a new one. Any number of goroutines may read it.
type State struct {
	// Version is Base plus the offset plus one of the last accepted command. It only
	// increases. Zero: no command has been accepted.
	Version uint64 `json:"version"`
	// Position is the offset of the next record to apply.
	Position uint64 `json:"position"`
	// Base is added to offsets so that versions keep increasing after a lost log is
	// replaced.
	Base     uint64    `json:"base"`
	Content  Content   `json:"content"`
	Outcomes []Outcome `json:"outcomes"`
	// Hash is computed over all fields above.
	Hash string `json:"hash"`
	// contentDigest is the digest of Content, or nil if it has not been computed.
	contentDigest *digest
	// largeAnswers is the number of policies with large answers, computed with Hash.
	largeAnswers int
}

// Empty returns the state before the first record.
func Empty() *State {
	s := &State{Content: NewContent()}
	s.Hash = s.computeHash()
	return s
}

// NewContent returns a Content without entities.
func NewContent() Content {
	return Content{
		Services:   map[string]Service{},
		Policies:   map[string]Policy{},
		Callers:    map[string]Caller{},
		Routes:     map[string]Route{},
		Workspaces: map[string]Workspace{},
		Revisions:  map[string]uint64{},
	}
}

// computeHash returns the hash of everything but the hash itself. That includes the
// position and the outcomes, which decide whether a resent command runs.
func (s *State) computeHash() string {
	contentDigest := s.digest()
	s.contentDigest = &contentDigest
	s.largeAnswers = s.Content.countLargeAnswers()
	b, err := json.Marshal(hashInput{
		Version: s.Version, Position: s.Position, Base: s.Base,
		Limits: s.Content.Limits, Entities: contentDigest, Outcomes: s.Outcomes,
	})
	if err != nil {
		return "unhashable: " + err.Error()
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:16])
}

// hashInput holds the values over which the hash of a state is computed.
type hashInput struct {
	Version, Position, Base uint64
	Limits                  Limits
	Entities                digest
	Outcomes                []Outcome
}

// Outcome returns the outcome of the command with this ID, if it is still kept.
func (s *State) Outcome(id string) (Outcome, bool) {
	for i := len(s.Outcomes) - 1; i >= 0; i-- {
		if s.Outcomes[i].ID == id {
			return s.Outcomes[i], true
		}
	}
	return Outcome{}, false
}

// Encode returns the state's encoding, as sent in snapshots and checkpoints.
func (s *State) Encode() ([]byte, error) {
	b, err := json.Marshal(s)
	return b, errors.Wrap(err, "encode state")
}

// DecodeState decodes a state and checks it: its hash must match and its content must be
// consistent. It never returns a part of a state.
func DecodeState(b []byte) (*State, error) {
	s := &State{Content: NewContent()}
	if err := json.Unmarshal(b, s); err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	if got := s.computeHash(); got != s.Hash {
		return nil, errors.Errorf("decode state: hash is %s, declared %s", got, s.Hash)
	}
	if err := s.Content.CheckConsistency(); err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	return s, nil
}

// CheckConsistency returns an error if two workspaces share a key or a route refers to an
// entity that does not exist. Only consistent content may be served.
func (c Content) CheckConsistency() error {
	if err := c.checkWorkspaceKeys(); err != nil {
		return err
	}
	return c.checkRoutes(Content.checkRoute)
}

// checkRoutes returns the error of the first route by name that fails the check, so that
// all daemons give the same reason.
func (c Content) checkRoutes(check func(Content, Route) error) error {
	for _, r := range c.Routes {
		if check(c, r) != nil {
			return c.firstRouteError(check)
		}
	}
	return nil
}

func (c Content) firstRouteError(check func(Content, Route) error) error {
	for _, name := range sortedKeys(c.Routes) {
		if err := check(c, c.Routes[name]); err != nil {
			return err
		}
	}
	return nil
}

// checkRoute returns an error if the route refers to an entity that does not exist.
func (c Content) checkRoute(r Route) error { return c.checkReferences(r, r.Targets(), 0) }

// checkCommandRoute checks a route after a command, by stricter rules than checkRoute: it
// must have a service, and each share a weight of at least 1. Its errors are part of the
// rules.
func (c Content) checkCommandRoute(r Route) error {
	targets := r.Targets()
	if len(targets) == 0 {
		targets = []Share{{Service: r.Service, Weight: 1}}
	}
	return c.checkReferences(r, targets, 1)
}

// checkReferences returns an error if a route with these targets refers to an entity that
// does not exist, or if a target's weight is below minWeight.
func (c Content) checkReferences(r Route, targets []Share, minWeight int) error {
	for _, t := range targets {
		if _, ok := c.Services[t.Service]; !ok {
			return errors.Errorf("route %s names service %s, which does not exist", r.Name, t.Service)
		}
		if t.Weight < minWeight {
			return errors.Errorf("route %s gives service %s the weight %d", r.Name, t.Service, t.Weight)
		}
	}
	if _, ok := c.Policies[r.Policy]; !ok {
		return errors.Errorf("route %s names policy %s, which does not exist", r.Name, r.Policy)
	}
	for _, caller := range r.Callers {
		if _, ok := c.Callers[caller]; !ok {
			return errors.Errorf("route %s names caller %s, which does not exist", r.Name, caller)
		}
	}
	return nil
}

func (c Content) clone() Content {
	return Content{
		Services:   maps.Clone(c.Services),
		Policies:   maps.Clone(c.Policies),
		Callers:    maps.Clone(c.Callers),
		Routes:     maps.Clone(c.Routes),
		Workspaces: maps.Clone(c.Workspaces),
		Revisions:  maps.Clone(c.Revisions),
		Limits:     c.Limits,
	}
}
