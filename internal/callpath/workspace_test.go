package callpath

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/boottime"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/freshness"
	"github.com/comfreygate/comfreygate/internal/view"
)

// keyOf returns the key of a workspace in these tests.
func keyOf(workspace string) string { return "secret-of-" + workspace }

// keyRig is a rig whose calls need the key of workspace a or b, and whose upstream
// records the headers that it receives. All that the daemon writes goes to output.
type keyRig struct {
	*rig
	output *bytes.Buffer

	mu       sync.Mutex
	received []http.Header
}

func newKeyRig(t *testing.T) *keyRig {
	k := &keyRig{rig: newRig(t, 1, 4, 0), output: &bytes.Buffer{}}
	inner := k.workers[0].up.Config.Handler
	k.workers[0].up.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k.mu.Lock()
		k.received = append(k.received, r.Header.Clone())
		k.mu.Unlock()
		inner.ServeHTTP(w, r)
	})
	k.ingress.cfg.Logger = zerolog.New(k.output).Level(zerolog.DebugLevel)
	k.ingress.cfg.Dialect.Key, k.ingress.cfg.Dialect.Workspace = "X-Workspace-Key", "X-Workspace"
	k.workers[0].owner.cfg.Dialect = k.ingress.cfg.Dialect
	k.setWorkspaces(map[string]config.Workspace{"a": {}, "b": {Urgency: config.Critical}})
	return k
}

// setWorkspaces puts these workspaces in force, each with its key, and makes the route of
// background calls public.
func (k *keyRig) setWorkspaces(workspaces map[string]config.Workspace) {
	for name, ws := range workspaces {
		ws.Name, ws.KeyHashes = name, []string{config.KeyHash(keyOf(name))}
		workspaces[name] = ws
	}
	v := *k.ingress.view.Load()
	v.Routes = view.NewRoutes(k.routes(v)...)
	v.Routes.SetWorkspaces(workspaces)
	k.ingress.Update(&v)
}

// routes returns the routes of the view, of which the one of background calls is public.
func (k *keyRig) routes(v view.View) []*view.Route {
	var list []*view.Route
	for _, path := range []string{"/background", "/normal", "/critical"} {
		r, ok := v.Match("", path)
		if !ok {
			k.t.Fatalf("no route for %s", path)
		}
		r.Public = path == "/background"
		list = append(list, r)
	}
	return list
}

// send sends a call with these headers. It returns the status of the response and the
// headers that the upstream received, or nil if it received nothing.
func (k *keyRig) send(path string, h http.Header) (status int, got http.Header) {
	k.t.Helper()
	req := httptest.NewRequest(http.MethodPost, "http://any"+path, strings.NewReader("body"))
	for name, values := range h {
		req.Header[name] = values
	}
	req.Header.Set(HeaderCaller, "c")
	k.mu.Lock()
	k.received = nil
	k.mu.Unlock()
	w := httptest.NewRecorder()
	k.ingress.ServeHTTP(w, req)
	fmt.Fprintln(k.output, w.Code, w.Header(), w.Body)
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.received) > 0 {
		got = k.received[0]
	}
	return w.Code, got
}

// TestCallsRequireAWorkspaceKey covers valid, invalid, repeated and missing keys. No key,
// and no workspace name made up by the caller, may reach an upstream.
func TestCallsRequireAWorkspaceKey(t *testing.T) {
	k := newKeyRig(t)
	key := func(values ...string) http.Header { return http.Header{"X-Workspace-Key": values} }
	for _, c := range []struct {
		name, path string
		header     http.Header
		status     int
		workspace  string
	}{
		{"right", "/normal", key(keyOf("a")), http.StatusOK, "a"},
		{"the other's", "/normal", key(keyOf("b")), http.StatusOK, "b"},
		{"none", "/normal", nil, http.StatusUnauthorized, ""},
		{"empty", "/normal", key(""), http.StatusUnauthorized, ""},
		{"unknown", "/normal", key("nobody's"), http.StatusUnauthorized, ""},
		{"longer than the right one", "/normal", key(keyOf("a") + "x"), http.StatusUnauthorized, ""},
		{"in another case", "/normal", key(strings.ToUpper(keyOf("a"))), http.StatusUnauthorized, ""},
		{"its hash", "/normal", key(config.KeyHash(keyOf("a"))), http.StatusUnauthorized, ""},
		{"twice", "/normal", key(keyOf("a"), keyOf("a")), http.StatusUnauthorized, ""},
		{"of two workspaces", "/normal", key(keyOf("a"), keyOf("b")), http.StatusUnauthorized, ""},
		{"64 KB", "/normal", key(strings.Repeat("k", 1<<16)), http.StatusUnauthorized, ""},
		{"not ASCII", "/normal", key("schl\xfcssel\x00"), http.StatusUnauthorized, ""},
		{"not needed, right", "/background", key(keyOf("a")), http.StatusOK, ""},
		{"not needed, unknown", "/background", key("nobody's"), http.StatusOK, ""},
		{"not needed, none", "/background", nil, http.StatusOK, ""},
		{"no such route", "/nowhere", key(keyOf("a")), http.StatusNotFound, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := c.header.Clone()
			if h == nil {
				h = http.Header{}
			}
			h["X-Workspace"] = []string{"b", "made-up"}
			status, got := k.send(c.path, h)
			is.Equal(status, c.status)
			is.Equal(got != nil, c.status == http.StatusOK)
			is.Equal(got.Values("X-Workspace-Key"), nil)
			if c.workspace == "" {
				is.Equal(got.Values("X-Workspace"), nil)
			} else {
				is.Equal(got.Values("X-Workspace"), []string{c.workspace})
			}
		})
	}
}

// TestWorkspaceUrgencyOverridesTheRoutes sends calls of two workspaces to one route; only
// one of the workspaces has an urgency of its own.
func TestWorkspaceUrgencyOverridesTheRoutes(t *testing.T) {
	is := is.New(t)
	k := newKeyRig(t)
	urgency := func(workspace string) config.Urgency {
		r := httptest.NewRequest(http.MethodPost, "http://any/normal", nil)
		r.Header.Set(HeaderCaller, "c")
		r.Header.Set("X-Workspace-Key", keyOf(workspace))
		c, _ := k.ingress.parse(k.ingress.view.Load(), true, httptest.NewRecorder(), r, time.Now())
		return c.attempt.Urgency
	}
	is.Equal(urgency("a"), config.Normal)
	is.Equal(urgency("b"), config.Critical)
}

// TestKeysAreCheckedAgainstTheConfigurationInForce removes a key and adds another.
func TestKeysAreCheckedAgainstTheConfigurationInForce(t *testing.T) {
	is := is.New(t)
	k := newKeyRig(t)
	status, _ := k.send("/normal", http.Header{"X-Workspace-Key": {keyOf("a")}})
	is.Equal(status, http.StatusOK)
	k.setWorkspaces(map[string]config.Workspace{"c": {}})
	status, _ = k.send("/normal", http.Header{"X-Workspace-Key": {keyOf("a")}})
	is.Equal(status, http.StatusUnauthorized)
	status, _ = k.send("/normal", http.Header{"X-Workspace-Key": {keyOf("c")}})
	is.Equal(status, http.StatusOK)
	k.setWorkspaces(nil) // without workspaces no call needs a key, and none is forwarded
	status, got := k.send("/normal", http.Header{"X-Workspace-Key": {keyOf("a")}, "X-Workspace": {"a"}})
	is.Equal(status, http.StatusOK)
	is.Equal(got.Values("X-Workspace-Key"), nil)
	is.Equal(got.Values("X-Workspace"), nil)
}

// TestKeysAreNotLeaked searches everything that a daemon writes for the keys presented to
// it: its log at the most detailed level, events, metrics and responses. It first checks
// that the search finds a planted leak.
func TestKeysAreNotLeaked(t *testing.T) {
	is := is.New(t)
	k := newKeyRig(t)
	for _, keys := range [][]string{{keyOf("a")}, {"secret-of-nobody"}, {keyOf("a"), keyOf("b")}, nil} {
		k.send("/normal", http.Header{"X-Workspace-Key": keys})
		k.send("/background", http.Header{"X-Workspace-Key": keys})
	}
	k.workers[0].fail.Store(true)
	k.send("/normal", http.Header{"X-Workspace-Key": {keyOf("a")}})
	k.workers[0].up.Close()
	k.send("/normal", http.Header{"X-Workspace-Key": {keyOf("a")}})
	for _, e := range k.ingress.cfg.Events.List() {
		fmt.Fprintf(k.output, "%+v\n", e)
	}
	r := metrics.NewRegistry()
	NewMetrics(r)
	metrics.WriteOnce(r, k.output)
	written := k.output.String()
	is.True(strings.Contains(written, "unknown-key")) // the output to be searched is not empty
	leaks := func(text string) bool { return strings.Contains(text, "secret-of-") }
	is.True(leaks(written + keyOf("a")))
	is.True(!leaks(written))
}

// FuzzWorkspaceKeys presents arbitrary keys: only those of a workspace may be accepted,
// and none may be forwarded.
func FuzzWorkspaceKeys(f *testing.F) {
	for _, key := range []string{"", keyOf("a"), keyOf("a") + ",", " " + keyOf("a"), "\x00", "\xff", strings.Repeat("k", 1<<10)} {
		f.Add(key, "X-Workspace-Key")
	}
	f.Add(keyOf("a"), "x-workspace-key")
	f.Add(keyOf("b"), "Connection")
	keys := map[string]string{keyOf("a"): "a", keyOf("b"): "b"}
	f.Fuzz(func(t *testing.T, key, header string) {
		in := &Ingress{cfg: IngressConfig{Dialect: Dialect{Key: "X-Workspace-Key", Workspace: "X-Workspace"}}}
		v := &view.View{Routes: view.NewRoutes()}
		v.Routes.SetWorkspaces(map[string]config.Workspace{
			"a": {Name: "a", KeyHashes: []string{config.KeyHash(keyOf("a"))}}, "b": {Name: "b", KeyHashes: []string{config.KeyHash(keyOf("b"))}},
		})
		r := httptest.NewRequest(http.MethodGet, "http://any/", nil)
		r.Header.Set(header, key)
		ws, ok := in.workspace(v, &view.Route{}, r)
		if want := keys[key]; ok != (want != "" && http.CanonicalHeaderKey(header) == "X-Workspace-Key") || ok && ws.Name != want {
			t.Fatalf("key %q in header %q: got workspace %v, accepted %v", key, header, ws, ok)
		}
		for name := range in.forwarded(r.Header) {
			if name == "X-Workspace-Key" || name == "X-Workspace" {
				t.Fatalf("header %s is forwarded, want it removed", name)
			}
		}
	})
}

// TestStaleConfigurationRefusesKeyedCalls covers a daemon whose configuration has not
// been confirmed as the newest for too long: calls that need a key must be refused,
// others served.
func TestStaleConfigurationRefusesKeyedCalls(t *testing.T) {
	is := is.New(t)
	k := newKeyRig(t)
	k.ingress.cfg.MaxConfigAge = time.Minute
	status := func(path string) int {
		code, _ := k.send(path, http.Header{"X-Workspace-Key": {keyOf("a")}})
		return code
	}
	is.Equal(status("/normal"), http.StatusServiceUnavailable) // not confirmed yet
	is.True(k.ingress.Stale())
	k.ingress.SetFreshAt(freshness.Timestamp(boottime.Now()))
	is.Equal(status("/normal"), http.StatusOK)
	is.True(!k.ingress.Stale())
	k.ingress.SetFreshAt(freshness.Timestamp(boottime.Now() - time.Minute))
	is.Equal(status("/normal"), http.StatusServiceUnavailable)
	is.Equal(status("/background"), http.StatusOK) // public
	is.Equal(status("/nowhere"), http.StatusNotFound)
	is.True(k.ingress.Stale())
	k.setWorkspaces(nil)
	is.Equal(status("/normal"), http.StatusOK) // no call needs a key
	is.True(!k.ingress.Stale())
}
