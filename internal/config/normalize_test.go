package config

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// documentWith returns a document with a route that has nothing odd, and what add puts in.
func documentWith(add func(*Document)) Document {
	d := Document{Version: 7, Content: NewContent()}
	d.Content.Services["a"] = Service{Name: "a"}
	d.Content.Services["b"] = Service{Name: "b"}
	d.Content.Policies["p"] = Policy{Name: "p", Urgency: Normal, Timeout: time.Second}
	d.AddRoute(soundRoute)
	add(&d)
	return d
}

var soundRoute = Route{Name: "sound", Host: "h", Path: "/sound/", Service: "a", Policy: "p", Open: true}

// TestFlawsAreCarriedOutAsNearlyAsCanBe covers what becomes of each flaw. None lets a call in
// that the document does not, and none refuses a call for another entity's sake.
func TestFlawsAreCarriedOutAsNearlyAsCanBe(t *testing.T) {
	keys := func(texts ...string) (hashes []string) {
		for _, text := range texts {
			hashes = append(hashes, KeyHash(text))
		}
		return hashes
	}
	route := func(change func(*Route)) func(*Document) {
		return func(d *Document) {
			r := Route{Name: "odd", Host: "h", Path: "/odd/", Policy: "p", Open: true}
			change(&r)
			d.AddRoute(r)
		}
	}
	for _, c := range []struct {
		name string
		add  func(*Document)
		flaw string
		is   func(Content) bool
	}{
		{
			"negative weight", route(func(r *Route) { r.Shares = []Share{{"a", 4}, {"b", -3}} }),
			"route odd: weight of b -3; taken as 0",
			func(c Content) bool { return slices.Equal(c.Routes["odd"].Shares, []Share{{"a", 4}, {"b", 0}}) },
		}, {
			"huge weight", route(func(r *Route) { r.Shares = []Share{{"a", math.MaxInt}, {"b", 1}} }),
			"route odd: weight of a 9223372036854775807; taken as 1000000000",
			func(c Content) bool { return c.Routes["odd"].Shares[0].Weight == MaxWeight },
		}, {
			"no share with a weight", route(func(r *Route) { r.Shares = []Share{{"a", 0}, {"b", 0}} }),
			"route odd: gives no service a part of its calls; they are refused as not run",
			func(c Content) bool { return len(c.Routes) == 2 && !c.Routes["odd"].servable() },
		}, {
			"no service", route(func(*Route) {}),
			"route odd: gives no service a part of its calls; they are refused as not run",
			func(c Content) bool { return len(c.Routes["odd"].Targets()) == 0 },
		}, {
			"share without a service", route(func(r *Route) { r.Shares = []Share{{"", 5}, {"b", 1}} }),
			"route odd: has a share without a service; left out",
			func(c Content) bool { return slices.Equal(c.Routes["odd"].Shares, []Share{{"b", 1}}) },
		}, {
			"service not listed", route(func(r *Route) { r.Service = "zz" }),
			"route odd: names service zz, which is not listed; taken as listed",
			func(c Content) bool { return c.Services["zz"].Name == "zz" && c.Routes["odd"].Service == "zz" },
		}, {
			"no path", route(func(r *Route) { r.Service, r.Path = "a", "" }),
			"route odd: has no path; left out", func(c Content) bool { return len(c.Routes) == 1 },
		}, {
			"another's name", route(func(r *Route) { r.Service, r.Name = "b", "sound" }),
			`route sound: has no name of its own; named "sound h/odd/"`,
			func(c Content) bool { return c.Routes["sound h/odd/"].Service == "b" },
		}, {
			"no timeout", func(d *Document) { d.Content.Policies["q"] = Policy{Name: "q", Urgency: Normal} },
			"policy q: timeout 0s; taken as 10m0s", func(c Content) bool { return c.Policies["q"].Timeout == MaxTimeout },
		}, {
			"nameless service", func(d *Document) { d.Content.Services[""] = Service{} },
			"service: has no name; left out", func(c Content) bool { return len(c.Services) == 2 },
		}, {
			"short idle timeout", func(d *Document) { d.Content.Limits.IdleTimeout = time.Millisecond },
			"limits: idle timeout 1ms; taken as 1s", func(c Content) bool { return c.Limits.IdleTimeout == minIdle },
		}, {
			"shared key", func(d *Document) {
				d.AddWorkspace(Workspace{Name: "y", KeyHashes: keys("one", "two")})
				d.AddWorkspace(Workspace{Name: "x", KeyHashes: keys("one")})
			},
			"workspace y: shares a key with workspace x; the key is that one's",
			func(c Content) bool {
				return slices.Equal(c.Workspaces["x"].KeyHashes, keys("one")) && slices.Equal(c.Workspaces["y"].KeyHashes, keys("two"))
			},
		}, {
			"workspace twice", func(d *Document) {
				d.AddWorkspace(Workspace{Name: "x", KeyHashes: keys("one"), Rate: 3})
				d.AddWorkspace(Workspace{Name: "x", KeyHashes: keys("two"), Rate: 5})
			},
			"workspace x: stands twice; has the keys of both",
			func(c Content) bool { return len(c.Workspaces["x"].KeyHashes) == 2 && c.Workspaces["x"].Rate == 5 },
		}, {
			"empty key", func(d *Document) { d.AddWorkspace(Workspace{Name: "x", KeyHashes: keys("")}) },
			"workspace x: has an empty key; lets nobody in",
			func(c Content) bool { return len(c.Workspaces) == 1 && len(c.Workspaces["x"].KeyHashes) == 0 },
		}, {
			// Without any workspace, calls would need no key.
			"nameless workspace", func(d *Document) { d.AddWorkspace(Workspace{KeyHashes: keys("one")}) },
			"workspace: has no name; its keys let nobody in",
			func(c Content) bool { return len(c.Workspaces) == 1 && len(c.Workspaces[nameless].KeyHashes) == 0 },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := documentWith(c.add)
			d.Normalize()
			is.Equal(len(d.Flaws), 1)
			is.Equal(d.Flaws[0].String(), c.flaw)
			s, err := d.State()
			is.NoErr(err)
			is.True(c.is(s.Content))
			is.True(s.Content.Routes["sound"].Equal(soundRoute))
		})
	}
}

// drawOdd returns a value that may be odd in any way that its type lets it be.
func drawOdd(t *rapid.T, label string) float64 {
	return rapid.OneOf(rapid.SampledFrom([]float64{0, -1, 1, 90, 1e18, -1e18}), rapid.Float64()).Draw(t, label)
}

// TestAnyDocumentCanBePutInForce guards against whole versions held back for one entity: it
// draws documents of odd entities beside a sound route, which must be in force as written.
func TestAnyDocumentCanBePutInForce(t *testing.T) {
	names := rapid.SampledFrom([]string{"", "a", "b", "zz", "sound", "Front Desk"})
	rapid.Check(t, func(t *rapid.T) {
		d := documentWith(func(d *Document) {
			d.Content.Limits = Limits{BodyBytes: int64(drawOdd(t, "body")), IdleTimeout: time.Duration(drawOdd(t, "idle"))}
			for i := range rapid.IntRange(0, 4).Draw(t, "routes") {
				policy := fmt.Sprintf("p%d", i)
				d.Content.Policies[policy] = Policy{
					Name: policy, Urgency: Urgency(drawOdd(t, "urgency")), Timeout: time.Duration(drawOdd(t, "timeout")),
					Objective: time.Duration(drawOdd(t, "objective")), Retries: int(drawOdd(t, "retries")),
				}
				r := Route{Name: names.Draw(t, "route"), Host: "h", Path: fmt.Sprintf("/odd%d/", i), Policy: policy, Service: names.Draw(t, "service")}
				for range rapid.IntRange(0, 3).Draw(t, "shares") {
					r.Shares = append(r.Shares, Share{names.Draw(t, "share"), int(drawOdd(t, "weight"))})
				}
				d.AddRoute(r)
			}
			for range rapid.IntRange(0, 4).Draw(t, "workspaces") {
				d.AddWorkspace(Workspace{
					Name: names.Draw(t, "workspace"), KeyHashes: []string{KeyHash(names.Draw(t, "key")), KeyHash(names.Draw(t, "key"))},
					Rate: drawOdd(t, "rate"), Burst: drawOdd(t, "burst"), Urgency: Urgency(drawOdd(t, "urgency")),
				})
			}
		})
		keyed := len(d.Content.Workspaces) > 0
		d.Normalize()
		s, err := d.State()
		if err != nil {
			t.Fatal(err)
		}
		if !s.Content.Routes["sound"].Equal(soundRoute) {
			t.Fatalf("the sound route became %v", s.Content.Routes["sound"])
		}
		if len(s.Content.Routes) != len(d.Content.Routes) {
			t.Fatal("routes were lost")
		}
		if keyed && len(s.Content.Workspaces) == 0 {
			t.Fatal("calls need no key any more")
		}
		b, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeState(b); err != nil {
			t.Fatalf("a peer refuses it: %v", err)
		}
	})
}
