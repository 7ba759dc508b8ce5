package config

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func exampleChanges() []Change {
	return []Change{
		{Verb: Publish, Ref: Ref{KindService, "s"}, Service: &Service{Name: "s"}},
		{Verb: Publish, Ref: Ref{KindPolicy, "p"}, Policy: &Policy{Name: "p", Urgency: Normal, Timeout: time.Second}},
		{Verb: Publish, Ref: Ref{KindCaller, "c"}, Caller: &Caller{Name: "c"}},
		{Verb: Publish, Ref: Ref{KindRoute, "r"}, Route: &Route{Name: "r", Path: "/r", Service: "s", Policy: "p", Callers: []string{"c"}}},
	}
}

func apply(t testing.TB, s *State, id string, changes ...Change) *State {
	t.Helper()
	next, err := Apply(s, s.Position, Record{Command: &Command{ID: id, Changes: changes}})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestChangeSetIsAtomic(t *testing.T) {
	base := apply(t, Empty(), "basics", exampleChanges()...)
	service := func(name string) Change {
		return Change{Verb: Publish, Ref: Ref{KindService, name}, Service: &Service{Name: name}}
	}
	for _, c := range []struct {
		name    string
		changes []Change
		reason  string
	}{
		{"one entity exists", []Change{service("new"), service("s")}, "service s exists already: revise it instead"},
		{"one route without its service", []Change{service("new"), {Verb: Publish, Ref: Ref{KindRoute, "x"}, Route: &Route{
			Name: "x", Path: "/x", Service: "absent", Policy: "p"}}}, "route x names service absent, which does not exist"},
		{"service still in use", []Change{service("new"), {Verb: Withdraw, Ref: Ref{KindService, "s"}}},
			"route r names service s, which does not exist"},
		{"caller still in use", []Change{{Verb: Withdraw, Ref: Ref{KindCaller, "c"}}}, "route r names caller c, which does not exist"},
		{"named twice", []Change{service("new"), service("new")}, "service new is named twice in one change set"},
		{"absent", []Change{service("new"), {Verb: Withdraw, Ref: Ref{KindRoute, "absent"}}}, "route absent does not exist"},
		{"bad name", []Change{service("new"), service("Bad Name")}, ""},
		{"empty", nil, "a change set needs at least one change"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			after := apply(t, base, "cmd", c.changes...)
			o, ok := after.Outcome("cmd")
			is.True(ok)
			is.Equal(o.Status, Rejected)
			is.True(c.reason == "" || o.Reason == c.reason)
			is.Equal(after.Version, base.Version)
			is.True(sameContent(after, base))
			is.Equal(after.Position, base.Position+1)
		})
	}
}

func TestCommandIsIdempotent(t *testing.T) {
	is := is.New(t)
	once := apply(t, Empty(), "basics", exampleChanges()...)
	twice := apply(t, once, "basics", exampleChanges()...)
	is.Equal(twice.Version, once.Version)
	is.True(sameContent(twice, once))
	is.Equal(len(twice.Outcomes), 1)
}

func TestEarlierCommandWins(t *testing.T) {
	is := is.New(t)
	s := apply(t, Empty(), "basics", exampleChanges()...)
	baseVersion := s.Version
	revise := func(id, path string) Record {
		return Record{Command: &Command{ID: id, IfVersion: &baseVersion, Changes: []Change{{Verb: Revise, Ref: Ref{KindRoute, "r"},
			Route: &Route{Name: "r", Path: path, Service: "s", Policy: "p", Callers: []string{"c"}}}}}}
	}
	s, err := Apply(s, s.Position, revise("first", "/a"))
	is.NoErr(err)
	winner := s.Version
	s, err = Apply(s, s.Position, revise("second", "/b"))
	is.NoErr(err)
	o, _ := s.Outcome("second")
	is.Equal(o.Status, Rejected)
	is.Equal(o.BeatenBy, winner)
	is.Equal(s.Content.Routes["r"].Path, "/a")
}

func TestApplyRejectsOffsetGapsAndNewerRules(t *testing.T) {
	is := is.New(t)
	_, err := Apply(Empty(), 1, Record{Command: &Command{ID: "x"}})
	is.True(err != nil)
	_, err = Apply(Empty(), 0, Record{Rules: RulesVersion + 1, Command: &Command{ID: "x"}})
	is.True(err != nil)
}

// TestDamagedStateIsNotDecoded cuts an encoded state at every byte and flips bits of every
// byte. Decoding must never return a part of the state or a different state.
func TestDamagedStateIsNotDecoded(t *testing.T) {
	is := is.New(t)
	s := apply(t, Empty(), "basics", exampleChanges()...)
	b, err := s.Encode()
	is.NoErr(err)
	for i := range b {
		if _, err := DecodeState(b[:i]); err == nil {
			t.Fatalf("a state cut at byte %d of %d was decoded", i, len(b))
		}
		for _, bit := range []byte{0x01, 0x20} {
			damaged := append([]byte(nil), b...)
			damaged[i] ^= bit
			if got, err := DecodeState(damaged); err == nil && got.Hash != s.Hash {
				t.Fatalf("byte %d damaged: a different state was decoded", i)
			}
		}
	}
}

func sameContent(a, b *State) bool {
	x, errA := json.Marshal(a.Content)
	y, errB := json.Marshal(b.Content)
	return errA == nil && errB == nil && string(x) == string(y)
}

// TestApplyIsDeterministicAndConsistent applies generated commands to two states, one of
// which is encoded and decoded at every step. Both must have the same hash, versions must
// not decrease, and the content must stay consistent.
func TestApplyIsDeterministicAndConsistent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := Empty(), Empty()
		for i := range rapid.IntRange(1, 30).Draw(rt, "records") {
			rec := Record{Command: &Command{ID: fmt.Sprint(rapid.IntRange(0, 20).Draw(rt, "id")), Changes: drawChanges(rt)}}
			if rapid.Bool().Draw(rt, "conditional") {
				v := uint64(rapid.IntRange(0, i+1).Draw(rt, "version"))
				rec.Command.IfVersion = &v
			}
			data, err := rec.Encode()
			if err != nil {
				rt.Fatal(err)
			}
			decoded, err := DecodeRecord(data)
			if err != nil {
				rt.Fatal(err)
			}
			before := a
			if a, err = Apply(a, a.Position, rec); err != nil {
				rt.Fatal(err)
			}
			if b, err = Apply(b, b.Position, decoded); err != nil {
				rt.Fatal(err)
			}
			encoded, err := b.Encode()
			if err != nil {
				rt.Fatal(err)
			}
			if b, err = DecodeState(encoded); err != nil {
				rt.Fatal(err)
			}
			if a.Hash != b.Hash || a.Version != b.Version || a.Position != b.Position {
				rt.Fatalf("states differ after record %d", i)
			}
			if a.Version < before.Version || a.Content.CheckConsistency() != nil {
				rt.Fatalf("version decreased or content became inconsistent")
			}
		}
	})
}

func drawChanges(rt *rapid.T) []Change {
	var changes []Change
	for range rapid.IntRange(1, 4).Draw(rt, "changes") {
		verb := rapid.SampledFrom([]Verb{Publish, Revise, Withdraw, Put}).Draw(rt, "verb")
		name := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "name")
		kind := rapid.SampledFrom([]Kind{KindService, KindPolicy, KindCaller, KindRoute, KindWorkspace}).Draw(rt, "kind")
		ch := Change{Verb: verb, Ref: Ref{kind, name}}
		switch kind {
		case KindService:
			ch.Service = &Service{Name: name}
		case KindPolicy:
			ch.Policy = &Policy{Name: name, Urgency: Normal, Timeout: time.Second}
		case KindCaller:
			ch.Caller = &Caller{Name: name}
		case KindRoute:
			ch.Route = &Route{Name: name, Path: "/" + name, Service: "a", Policy: "b", Callers: []string{"a"}}
		case KindWorkspace:
			ch.Workspace = &Workspace{Name: name, KeyHashes: []string{KeyHash(name)}}
		}
		changes = append(changes, ch)
	}
	return changes
}

// TestInvalidWorkspacesAreRejected covers the workspaces that a change set must not
// contain.
func TestInvalidWorkspacesAreRejected(t *testing.T) {
	key := func(text string) []string { return []string{KeyHash(text)} }
	base := Empty()
	publish := func(s *State, ws Workspace) (*State, error) {
		rec := Record{Command: &Command{ID: "c-" + ws.Name, Changes: []Change{{Verb: Put, Ref: Ref{KindWorkspace, ws.Name}, Workspace: &ws}}}}
		next, err := Apply(s, s.Position, rec)
		if err != nil {
			return nil, err
		}
		if o := next.Outcomes[len(next.Outcomes)-1]; o.Status != Accepted {
			return nil, errors.New(o.Reason)
		}
		return next, nil
	}
	base, err := publish(base, Workspace{Name: "a", KeyHashes: key("one"), Rate: 5, Burst: 2})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		ws   Workspace
		want string
	}{
		{"another's key", Workspace{Name: "b", KeyHashes: key("one")}, "share a key"},
		{"its own key again", Workspace{Name: "a", KeyHashes: key("one")}, ""},
		{"no name", Workspace{KeyHashes: key("two")}, "name"},
		{"empty key", Workspace{Name: "b", KeyHashes: key("")}, "empty"},
		{"key in the clear", Workspace{Name: "b", KeyHashes: []string{"two"}}, "SHA-256"},
		{"key twice", Workspace{Name: "b", KeyHashes: append(key("two"), KeyHash("two"))}, "twice"},
		{"too many keys", Workspace{Name: "b", KeyHashes: make([]string, MaxKeys+1)}, "16 keys"},
		{"rate below zero", Workspace{Name: "b", Rate: -1}, "rate -1"},
		{"rate not a number", Workspace{Name: "b", Rate: math.NaN()}, "rate NaN"},
		{"burst below zero", Workspace{Name: "b", Burst: -1}, "burst -1"},
		{"urgency beyond the last", Workspace{Name: "b", Urgency: MostUrgent + 1}, "urgency"},
		{"no keys", Workspace{Name: "b"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := publish(base, c.ws)
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want one that contains %q", err, c.want)
			}
		})
	}
}

// TestRouteRejectionReasonsAreStable guards against daemons of two releases that reject a
// command for different reasons: reasons are part of the state's hash, which daemons
// compare.
func TestRouteRejectionReasonsAreStable(t *testing.T) {
	policy := Change{Verb: Put, Ref: Ref{KindPolicy, "p"}, Policy: &Policy{Name: "p", Urgency: Normal, Timeout: time.Second}}
	service := Change{Verb: Put, Ref: Ref{KindService, "a"}, Service: &Service{Name: "a"}}
	for want, r := range map[string]Route{
		"route r gives service a the weight 0":            {Shares: []Share{{"a", 0}}},
		"route r gives service a the weight -1":           {Shares: []Share{{"a", 1}, {"a", -1}}},
		"route r names service , which does not exist":    {},
		"route r names service zz, which does not exist":  {Service: "zz"},
		"route r names service zzz, which does not exist": {Shares: []Share{{"a", 1}, {"zzz", 0}}},
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			r.Name, r.Path, r.Policy = "r", "/r", "p"
			route := Change{Verb: Put, Ref: Ref{KindRoute, "r"}, Route: &r}
			s, err := Apply(Empty(), 0, Record{Command: &Command{ID: "c", Changes: []Change{policy, service, route}}})
			is.NoErr(err)
			is.Equal(s.Outcomes[0].Status, Rejected)
			is.Equal(s.Outcomes[0].Reason, want)
		})
	}
}
