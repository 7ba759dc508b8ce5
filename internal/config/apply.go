package config

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
)

// ApplyAll applies encoded records, the first of which is at this offset, and returns the
// resulting state and the number of records applied. Bytes that cannot be decoded as a
// record advance only the position: every daemon reads the same bytes and skips the same
// ones. On an error it returns the state before the record that caused it.
func ApplyAll(s *State, offset uint64, records [][]byte) (*State, int, error) {
	for i, data := range records {
		rec, err := DecodeRecord(data)
		if err != nil {
			rec = Record{Checkpoint: &Checkpoint{}}
		}
		next, err := applyUnhashed(s, offset+uint64(i), rec)
		if err != nil {
			return s.withHash(), i, err
		}
		s = next
	}
	return s.withHash(), len(records), nil
}

// withHash returns the state with its hash computed. Hashing costs more than applying a
// record, so a batch of records is hashed once.
func (s *State) withHash() *State {
	if s.Hash != "" {
		return s
	}
	next := *s
	next.Hash = next.computeHash()
	return &next
}

// Apply returns the state after the record at this offset. It is pure and deterministic:
// every daemon that applies the same log holds the same state. A command that is rejected
// changes only Position and Outcomes.
//
// An error means that the record cannot be applied here (an offset gap, or newer rules).
// The state is unchanged and the caller must not skip the record.
func Apply(s *State, offset uint64, rec Record) (*State, error) {
	next, err := applyUnhashed(s, offset, rec)
	if err != nil {
		return nil, err
	}
	return next.withHash(), nil
}

// applyUnhashed is Apply without computing the hash.
func applyUnhashed(s *State, offset uint64, rec Record) (*State, error) {
	if offset != s.Position {
		return nil, errors.Errorf("apply: record %d does not follow position %d", offset, s.Position)
	}
	if rec.Rules > RulesVersion {
		return nil, errors.Errorf("apply: record %d needs rules %d, this daemon has %d", offset, rec.Rules, RulesVersion)
	}
	next := *s
	next.Position = offset + 1
	next.Hash = ""
	switch {
	case rec.Checkpoint != nil:
		next = *next.applyCheckpoint(offset, *rec.Checkpoint)
	case !s.hasOutcome(rec.Command.ID):
		next.applyCommand(offset, *rec.Command)
	}
	return &next, nil
}

func (s *State) hasOutcome(id string) bool {
	_, ok := s.Outcome(id)
	return ok
}

// applyCheckpoint returns the state after a checkpoint. An ordinary checkpoint changes
// nothing, because the state already includes it. A reseed is adopted unless its version
// or base is lower than the state's.
func (s *State) applyCheckpoint(offset uint64, c Checkpoint) *State {
	if !c.Reseed {
		return s
	}
	seed, err := DecodeState(c.State)
	if err != nil || seed.Version < s.Version || seed.Base < s.Base {
		return s
	}
	return NewReseededState(seed, offset)
}

// NewReseededState returns the state from which a replacement log continues, when its reseed
// checkpoint is at this offset. Base grows by at least one, so that every later version
// and position compares as greater than those of the lost log.
func NewReseededState(s *State, offset uint64) *State {
	next := *s
	next.Base = max(s.Version, s.Base+1)
	next.Position = offset + 1
	next.Hash = next.computeHash()
	return &next
}

// applyCommand accepts or rejects the command and records the outcome.
func (s *State) applyCommand(offset uint64, cmd Command) {
	out := Outcome{ID: cmd.ID, Author: cmd.Author, Refs: changeNames(cmd.Changes)}
	version := s.Base + offset + 1
	content, rej := s.Content.withCommand(cmd, version)
	if rej != nil {
		out.Status = Rejected
		out.Version = s.Version
		out.Reason = rej.Reason
		out.BeatenBy = rej.BeatenBy
	} else {
		out.Status = Accepted
		out.Version = version
		s.Version = version
		s.Content = content
		s.contentDigest = nil
	}
	s.Outcomes = append(slices.Clone(s.Outcomes), out)
	if len(s.Outcomes) > maxOutcomes {
		s.Outcomes = s.Outcomes[len(s.Outcomes)-maxOutcomes:]
	}
}

// DryRun returns the reason why a command would be rejected in a state, or nil if it would be
// accepted. It does not apply the command.
func DryRun(s *State, cmd Command) error {
	_, rej := s.Content.withCommand(cmd, s.Version+1)
	if rej != nil {
		return rej
	}
	return nil
}

// Rejection is the reason why a command was not accepted.
type Rejection struct {
	Reason string
	// BeatenBy is the version of the conflicting change that was accepted first, or 0.
	BeatenBy uint64
}

// Error returns the reason.
func (r *Rejection) Error() string { return r.Reason }

func rejectf(format string, args ...any) *Rejection {
	return &Rejection{Reason: errors.Errorf(format, args...).Error()}
}

// withCommand returns the content after all of the command's changes. If one of them is
// not allowed, none is applied and the reason is returned.
func (c Content) withCommand(cmd Command, version uint64) (Content, *Rejection) {
	if err := cmd.Validate(); err != nil {
		return c, rejectf("%v", err)
	}
	if rej := c.checkConflicts(cmd); rej != nil {
		return c, rej
	}
	next := c.clone()
	for _, ch := range cmd.Changes {
		if rej := next.applyChange(ch, version); rej != nil {
			return c, rej
		}
	}
	if len(next.Workspaces) > MaxWorkspaces {
		return c, rejectf("there may be %d workspaces, these are %d", MaxWorkspaces, len(next.Workspaces))
	}
	if err := cmp.Or(next.checkWorkspaceKeys(), next.checkRoutes(Content.checkCommandRoute)); err != nil {
		return c, rejectf("%v", err)
	}
	return next, nil
}

// checkConflicts rejects a command if one of its entities changed after the version
// against which the command was made.
func (c Content) checkConflicts(cmd Command) *Rejection {
	if cmd.IfVersion == nil {
		return nil
	}
	for _, ch := range cmd.Changes {
		rev := c.Revisions[ch.Ref.String()]
		if rev > *cmd.IfVersion {
			rej := rejectf("%s was changed by version %d, after version %d", ch.Ref, rev, *cmd.IfVersion)
			rej.BeatenBy = rev
			return rej
		}
	}
	return nil
}

func (c Content) applyChange(ch Change, version uint64) *Rejection {
	exists := c.has(ch.Ref)
	switch {
	case ch.Verb == Publish && exists:
		rej := rejectf("%s exists already: revise it instead", ch.Ref)
		rej.BeatenBy = c.Revisions[ch.Ref.String()]
		return rej
	case (ch.Verb == Revise || ch.Verb == Withdraw) && !exists:
		return rejectf("%s does not exist", ch.Ref)
	}
	c.Revisions[ch.Ref.String()] = version
	if ch.Verb == Withdraw {
		c.remove(ch.Ref)
		return nil
	}
	c.put(ch)
	return nil
}

func (c Content) has(ref Ref) bool {
	var ok bool
	switch ref.Kind {
	case KindService:
		_, ok = c.Services[ref.Name]
	case KindPolicy:
		_, ok = c.Policies[ref.Name]
	case KindCaller:
		_, ok = c.Callers[ref.Name]
	case KindRoute:
		_, ok = c.Routes[ref.Name]
	case KindWorkspace:
		_, ok = c.Workspaces[ref.Name]
	}
	return ok
}

func (c Content) remove(ref Ref) {
	switch ref.Kind {
	case KindService:
		delete(c.Services, ref.Name)
	case KindPolicy:
		delete(c.Policies, ref.Name)
	case KindCaller:
		delete(c.Callers, ref.Name)
	case KindRoute:
		delete(c.Routes, ref.Name)
	case KindWorkspace:
		delete(c.Workspaces, ref.Name)
	}
}

func (c Content) put(ch Change) {
	switch ch.Ref.Kind {
	case KindService:
		c.Services[ch.Ref.Name] = *ch.Service
	case KindPolicy:
		c.Policies[ch.Ref.Name] = *ch.Policy
	case KindCaller:
		c.Callers[ch.Ref.Name] = *ch.Caller
	case KindRoute:
		c.Routes[ch.Ref.Name] = *ch.Route
	case KindWorkspace:
		c.Workspaces[ch.Ref.Name] = *ch.Workspace
	}
}

func changeNames(changes []Change) []string {
	names := make([]string, 0, len(changes))
	for _, ch := range changes {
		names = append(names, string(ch.Verb)+" "+ch.Ref.String())
	}
	return names
}
