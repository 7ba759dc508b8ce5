package config

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Workspace is a group of callers that share keys, an urgency and a rate limit.
type Workspace struct {
	Name string `json:"name"`
	// KeyHashes are the sorted hashes of its keys, as returned by KeyHash. The keys
	// themselves are secrets and are not stored.
	KeyHashes []string `json:"key_hashes,omitempty"`
	// Urgency takes precedence over that of a call's route. Zero: the route's applies.
	Urgency Urgency `json:"urgency,omitempty"`
	// Rate is how many calls per second all daemons together may admit. Zero: no limit.
	Rate float64 `json:"rate,omitempty"`
	// Burst is how many calls beyond the rate may arrive at once.
	Burst float64 `json:"burst,omitempty"`
}

// Bounds on workspaces. They are part of the rules, like the bounds on commands. The
// workspaces and keys of a document are bounded by the document's size instead.
const (
	// MaxWorkspaces and MaxKeys bound the memory used by a Content.
	MaxWorkspaces = 10_000
	MaxKeys       = 16
	// maxRate bounds the rate and the burst, in calls.
	maxRate = 1e9
)

// KeyHash returns the SHA-256 of a key in hexadecimal. It identifies the key of a
// workspace or a caller in the configuration, in records and in messages. Keys are random,
// so no salt is needed to prevent guessing.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Equal reports whether two workspaces have the same values.
func (ws Workspace) Equal(o Workspace) bool {
	return ws.Name == o.Name && ws.Urgency == o.Urgency && ws.Rate == o.Rate && ws.Burst == o.Burst &&
		slices.Equal(ws.KeyHashes, o.KeyHashes)
}

// validate checks a workspace in a command.
func (ws Workspace) validate() error {
	if len(ws.KeyHashes) > MaxKeys {
		return errors.Errorf("a workspace may have %d keys, this one has %d", MaxKeys, len(ws.KeyHashes))
	}
	return ws.validateFields()
}

// validateFields returns the first error that makes the workspace unusable, whether it
// comes from a command or from a document.
func (ws Workspace) validateFields() error {
	switch {
	case ws.Name == "":
		return errors.New("a workspace needs a name")
	case ws.Urgency < 0 || ws.Urgency > MostUrgent:
		return errors.Errorf("urgency %d must be between %d and %d", ws.Urgency, Background, MostUrgent)
	case !(ws.Rate >= 0 && ws.Rate <= maxRate):
		return errors.Errorf("rate %v must be between 0 and %v calls a second", ws.Rate, maxRate)
	case !(ws.Burst >= 0 && ws.Burst <= maxRate):
		return errors.Errorf("burst %v must be between 0 and %v calls", ws.Burst, maxRate)
	}
	for i, hash := range ws.KeyHashes {
		if err := checkKeyHash(hash); err != nil {
			return err
		}
		if hash == emptyKeyHash {
			return errors.New("a key is empty")
		}
		if i > 0 && hash <= ws.KeyHashes[i-1] {
			return errors.New("keys are not in order, or one stands twice")
		}
	}
	return nil
}

// emptyKeyHash is the hash of the empty key, which any caller could send.
var emptyKeyHash = KeyHash("")

func checkKeyHash(hash string) error {
	b, err := hex.DecodeString(hash)
	if err != nil || len(b) != sha256.Size || hex.EncodeToString(b) != hash {
		return errors.New("a key must be given as its SHA-256 in hexadecimal, in lower case")
	}
	return nil
}

// checkWorkspaceKeys returns an error for the first workspace by name that shares a
// key with an earlier one.
func (c Content) checkWorkspaceKeys() error {
	workspaceByKey := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Workspaces)) {
		for _, hash := range c.Workspaces[name].KeyHashes {
			if other, taken := workspaceByKey[hash]; taken {
				return errors.Errorf("workspaces %s and %s share a key", other, name)
			}
			workspaceByKey[hash] = name
		}
	}
	return nil
}
