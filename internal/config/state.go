package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"
)

// maxOutcomes bounds the outcomes a state remembers. It is part of the rules:
// all daemons must forget the same ones, or a resend would be judged
// differently on each.
const maxOutcomes = 512

// Status is what became of a command.
type Status string

// The statuses of a command. Only the first two are ever part of a State.
const (
	Accepted Status = "accepted"
	Rejected Status = "rejected"
	// StatusUnknown: the outcome was not learned; the command may be accepted.
	StatusUnknown Status = "unknown"
)

// Outcome is the judgement on one command.
type Outcome struct {
	ID     string `json:"id"`
	Author string `json:"author"`
	Status Status `json:"status"`
	// Version is the version the command made, or the version in force when
	// it was rejected.
	Version uint64 `json:"version"`
	Reason  string `json:"reason,omitempty"`
	// BeatenBy is the version that changed an entity first, or 0.
	BeatenBy uint64   `json:"beaten_by,omitempty"`
	Refs     []string `json:"refs,omitempty"`
}

// Content is the part of a state that says which callers reach what.
type Content struct {
	Services map[string]Service `json:"services"`
	Policies map[string]Policy  `json:"policies"`
	Callers  map[string]Caller  `json:"callers"`
	Routes   map[string]Route   `json:"routes"`
	// Workspaces are those whose keys calls need. Without any, calls need no key.
	Workspaces map[string]Workspace `json:"workspaces,omitempty"`
	// Revisions holds the version that last changed or withdrew an entity,
	// by Ref.String. It decides races, so it is part of the content.
	Revisions map[string]uint64 `json:"revisions"`
	Limits    Limits            `json:"limits,omitzero"`
}

// State is the configuration after a prefix of the log. A State is immutable:
// Apply returns a new one. Any number of goroutines may read it.
type State struct {
	// Version is Base plus the offset plus one of the last accepted command;
	// it only grows. Zero: nothing was accepted yet.
	Version uint64 `json:"version"`
	// Position is the offset of the next record to apply.
	Position uint64 `json:"position"`
	// Base is added to offsets so that versions go on growing after a lost
	// log was replaced.
	Base     uint64    `json:"base"`
	Content  Content   `json:"content"`
	Outcomes []Outcome `json:"outcomes"`
	// Hash identifies all of the above.
	Hash string `json:"hash"`
	// entities is the digest of Content, or nil if it was not worked out yet.
	entities *digest
}

// Empty returns the state before the first record.
func Empty() *State {
	s := &State{Content: NewContent()}
	s.Hash = s.sum()
	return s
}

// NewContent returns a content without entities.
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

// sum identifies everything but the hash itself: also the outcomes, which
// decide whether a resend runs, and the position.
func (s *State) sum() string {
	entities := s.entityDigest()
	s.entities = &entities
	b, err := json.Marshal(sealedPart{
		Version: s.Version, Position: s.Position, Base: s.Base,
		Limits: s.Content.Limits, Entities: entities, Outcomes: s.Outcomes,
	})
	if err != nil {
		return "unhashable: " + err.Error()
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:16])
}

// sealedPart is what the hash of a state is taken over.
type sealedPart struct {
	Version, Position, Base uint64
	Limits                  Limits
	Entities                digest
	Outcomes                []Outcome
}

// Outcome returns what became of the command with that ID, if it is still
// remembered.
func (s *State) Outcome(id string) (Outcome, bool) {
	for i := len(s.Outcomes) - 1; i >= 0; i-- {
		if s.Outcomes[i].ID == id {
			return s.Outcomes[i], true
		}
	}
	return Outcome{}, false
}

// Encode returns the state's bytes, as sent in snapshots and checkpoints.
func (s *State) Encode() ([]byte, error) {
	b, err := json.Marshal(s)
	return b, errors.Wrap(err, "encode state")
}

// DecodeState reads a state and checks it: its hash must match and its
// content must be consistent. A part of a state is never returned.
func DecodeState(b []byte) (*State, error) {
	s := &State{Content: NewContent()}
	if err := json.Unmarshal(b, s); err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	if got := s.sum(); got != s.Hash {
		return nil, errors.Errorf("decode state: hash is %s, declared %s", got, s.Hash)
	}
	if err := s.Content.Consistent(); err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	return s, nil
}

// Consistent reports two workspaces that share a key, or the first route that names
// something absent. A content must be consistent before it may be served.
func (c Content) Consistent() error {
	if err := c.workspacesConsistent(); err != nil {
		return err
	}
	return c.routesConsistent(Content.routeConsistent)
}

// routesConsistent reports the first route by name that does not pass the check, so that all
// daemons give the same reason.
func (c Content) routesConsistent(check func(Content, Route) error) error {
	for _, r := range c.Routes {
		if check(c, r) != nil {
			return c.firstInconsistent(check)
		}
	}
	return nil
}

func (c Content) firstInconsistent(check func(Content, Route) error) error {
	for _, name := range sortedKeys(c.Routes) {
		if err := check(c, c.Routes[name]); err != nil {
			return err
		}
	}
	return nil
}

// routeConsistent reports the first thing that a route names and the content lacks.
func (c Content) routeConsistent(r Route) error { return c.routeLeads(r, r.Targets(), 0) }

// routeCommandable demands more of a route that a command may have left behind: a service,
// and a weight for each share. Its errors are part of the rules.
func (c Content) routeCommandable(r Route) error {
	targets := r.Targets()
	if len(targets) == 0 {
		targets = []Share{{Service: r.Service, Weight: 1}}
	}
	return c.routeLeads(r, targets, 1)
}

// routeLeads reports the first thing that the content lacks for a route with these targets,
// each of which must have the least weight.
func (c Content) routeLeads(r Route, targets []Share, least int) error {
	for _, t := range targets {
		if _, ok := c.Services[t.Service]; !ok {
			return errors.Errorf("route %s names service %s, which does not exist", r.Name, t.Service)
		}
		if t.Weight < least {
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
