package config

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawContent returns a valid content of a few entities, so that two of them differ by
// additions, removals and changes.
func drawContent(t *rapid.T) Content {
	c := NewContent()
	for i := range rapid.IntRange(1, 3).Draw(t, "services") {
		name := "s" + strconv.Itoa(i)
		c.Services[name] = Service{Name: name, Connections: rapid.IntRange(0, 2).Draw(t, "connections")}
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "policies") {
		name := "p" + strconv.Itoa(i)
		c.Policies[name] = Policy{Name: name, Urgency: Normal, Timeout: time.Duration(rapid.IntRange(1, 3).Draw(t, "timeout"))}
	}
	for i := range rapid.IntRange(0, 6).Draw(t, "routes") {
		name := "r" + strconv.Itoa(i)
		c.Routes[name] = Route{
			Name: name, Path: "/" + name + "/", Open: true,
			Service: "s" + strconv.Itoa(rapid.IntRange(0, len(c.Services)-1).Draw(t, "service")),
			Policy:  "p" + strconv.Itoa(rapid.IntRange(0, len(c.Policies)-1).Draw(t, "policy")),
		}
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "workspaces") {
		name := "w" + strconv.Itoa(i)
		key := strconv.Itoa(rapid.IntRange(0, 1).Draw(t, "key"))
		c.Workspaces[name] = Workspace{Name: name, KeyHashes: []string{KeyHash(name + key)}, Rate: float64(rapid.IntRange(0, 2).Draw(t, "rate"))}
	}
	c.Limits.BodyBytes = int64(rapid.IntRange(0, 2).Draw(t, "limit"))
	return c
}

// TestDeltasAndDocumentsGiveTheSameState draws a chain of documents. Applying one document
// after the other, applying the delta of each step, and applying one delta composed of all
// steps must each give the state that the last document gives by itself, including
// the hash.
func TestDeltasAndDocumentsGiveTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		first, err := Document{Version: 1, Content: drawContent(t)}.State()
		is.NoErr(err)
		current, combined := first, Delta{}
		for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
			doc := Document{Version: uint64(i + 2), Content: drawContent(t)}
			next, step, err := doc.ApplyTo(current)
			is.NoErr(err)
			direct, err := doc.State()
			is.NoErr(err)
			is.Equal(next, direct)
			applied, err := current.ApplyDelta(step, doc.Version, direct.Hash)
			is.NoErr(err)
			is.Equal(applied, direct)
			if i == 0 {
				combined = step
			} else {
				combined = combined.Compose(step)
			}
			current = next
		}
		viaCombined, err := first.ApplyDelta(combined, current.Version, current.Hash)
		is.NoErr(err)
		is.Equal(viaCombined, current)
	})
}
