package config

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Verb is the operation of a change on its entity.
type Verb string

// Verbs of a change. Publish requires that the entity does not exist, Revise and Withdraw
// that it exists; Put accepts both.
const (
	Publish  Verb = "publish"
	Revise   Verb = "revise"
	Withdraw Verb = "withdraw"
	Put      Verb = "put"
)

// Change is the change of one entity in a change set. Exactly one of the five pointers is
// set, or, for Withdraw, only Ref.
type Change struct {
	Verb      Verb       `json:"verb"`
	Ref       Ref        `json:"ref"`
	Service   *Service   `json:"service,omitempty"`
	Policy    *Policy    `json:"policy,omitempty"`
	Caller    *Caller    `json:"caller,omitempty"`
	Route     *Route     `json:"route,omitempty"`
	Workspace *Workspace `json:"workspace,omitempty"`
}

// Command is an operator's change set as it is written to the log.
type Command struct {
	// ID makes a resend idempotent: a second record with the same ID changes nothing.
	ID     string `json:"id"`
	Author string `json:"author"`
	// IfVersion is the version against which the change set was made. The command is
	// rejected if one of its entities has changed since. Nil: no check.
	IfVersion *uint64  `json:"if_version,omitempty"`
	Changes   []Change `json:"changes"`
}

// Checkpoint is a copy of a state, for readers whose log no longer holds the records that
// led to it. It is a function of the log before its position, so a late or duplicate
// checkpoint is harmless: it only repeats an earlier state.
type Checkpoint struct {
	By    string          `json:"by"`
	State json.RawMessage `json:"state"`
	// Reseed marks the start of a replacement log, whose offsets begin again. Versions
	// continue above the checkpoint's.
	Reseed bool `json:"reseed,omitempty"`
}

// RulesVersion is the version of the rules by which Apply accepts or rejects a record. Daemons
// that read a record with newer rules stop reading, because they could apply it wrongly.
const RulesVersion = 1

// Record is one entry of the configuration stream: a command or a checkpoint.
type Record struct {
	Rules      int         `json:"rules"`
	Command    *Command    `json:"command,omitempty"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

// Encode returns the record's encoding for the log.
func (r Record) Encode() ([]byte, error) {
	r.Rules = RulesVersion
	b, err := json.Marshal(r)
	return b, errors.Wrap(err, "encode record")
}

// DecodeRecord decodes a record of the log.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return r, errors.Wrap(err, "decode record")
	}
	if (r.Command == nil) == (r.Checkpoint == nil) {
		return r, errors.New("decode record: want a command or a checkpoint")
	}
	return r, nil
}
