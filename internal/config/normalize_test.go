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

// documentWith returns a document with one valid route and what add puts into it.
func documentWith(add func(*Document)) Document {
	d := Document{Version: 7, Content: NewContent()}
	d.Content.Services["a"] = Service{Name: "a"}
	d.Content.Services["b"] = Service{Name: "b"}
	d.Content.Policies["p"] = Policy{Name: "p", Urgency: Normal, Timeout: time.Second}
	d.AddRoute(validRoute)
	add(&d)
	return d
}

var validRoute = Route{Name: "sound", Host: "h", Path: "/sound/", Service: "a", Policy: "p", Open: true}

// TestNormalizeCorrectsFlaws covers the correction of each flaw. No correction may admit a
// call that the document does not allow, or refuse a call because of another entity.
func TestNormalizeCorrectsFlaws(t *testing.T) {
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
			func(c Content) bool { return len(c.Routes) == 2 && !c.Routes["odd"].hasWeightedTarget() },
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
			"limits: idle timeout 1ms; taken as 1s", func(c Content) bool { return c.Limits.IdleTimeout == minIdleTimeout },
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
			func(c Content) bool {
				return len(c.Workspaces) == 1 && len(c.Workspaces[unnamedWorkspace].KeyHashes) == 0
			},
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
			is.True(s.Content.Routes["sound"].Equal(validRoute))
		})
	}
}

// drawNumber returns a number, often a negative or very large one.
func drawNumber(t *rapid.T, label string) float64 {
	return rapid.OneOf(rapid.SampledFrom([]float64{0, -1, 1, 90, 1e18, -1e18}), rapid.Float64()).Draw(t, label)
}

// TestAnyDocumentCanBePutInForce guards against a version of which nothing is applied
// because of one invalid entity. It draws documents of invalid entities beside a valid
// route, which must be in force as written.
func TestAnyDocumentCanBePutInForce(t *testing.T) {
	names := rapid.SampledFrom([]string{"", "a", "b", "zz", "sound", "Front Desk"})
	rapid.Check(t, func(t *rapid.T) {
		d := documentWith(func(d *Document) {
			d.Content.Limits = Limits{BodyBytes: int64(drawNumber(t, "body")), IdleTimeout: time.Duration(drawNumber(t, "idle"))}
			for i := range rapid.IntRange(0, 4).Draw(t, "routes") {
				policy := fmt.Sprintf("p%d", i)
				d.Content.Policies[policy] = Policy{
					Name: policy, Urgency: Urgency(drawNumber(t, "urgency")), Timeout: time.Duration(drawNumber(t, "timeout")),
					Objective: time.Duration(drawNumber(t, "objective")), Retries: int(drawNumber(t, "retries")),
				}
				r := Route{Name: names.Draw(t, "route"), Host: "h", Path: fmt.Sprintf("/odd%d/", i), Policy: policy, Service: names.Draw(t, "service")}
				for range rapid.IntRange(0, 3).Draw(t, "shares") {
					r.Shares = append(r.Shares, Share{names.Draw(t, "share"), int(drawNumber(t, "weight"))})
				}
				d.AddRoute(r)
			}
			for range rapid.IntRange(0, 4).Draw(t, "workspaces") {
				d.AddWorkspace(Workspace{
					Name: names.Draw(t, "workspace"), KeyHashes: []string{KeyHash(names.Draw(t, "key")), KeyHash(names.Draw(t, "key"))},
					Rate: drawNumber(t, "rate"), Burst: drawNumber(t, "burst"), Urgency: Urgency(drawNumber(t, "urgency")),
				})
			}
		})
		hadWorkspaces := len(d.Content.Workspaces) > 0
		d.Normalize()
		s, err := d.State()
		if err != nil {
			t.Fatal(err)
		}
		if !s.Content.Routes["sound"].Equal(validRoute) {
			t.Fatalf("the valid route became %v", s.Content.Routes["sound"])
		}
		if len(s.Content.Routes) != len(d.Content.Routes) {
			t.Fatal("state has fewer routes than the normalized document")
		}
		if hadWorkspaces && len(s.Content.Workspaces) == 0 {
			t.Fatal("no workspace is left: calls would need no key")
		}
		b, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeState(b); err != nil {
			t.Fatalf("encoded state cannot be decoded by a peer: %v", err)
		}
	})
}
