package settings

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
)

const minimal = `vm: ikeja-1
failure_domain: ikeja
log: {url: "http://127.0.0.1:7000"}
`

func TestMinimalSettingsTakeTheDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(minimal))
	is.NoErr(err)
	is.Equal(s.Control.Fanout, 8)
	is.Equal(s.Params().Checkpoint, 6*time.Hour)
	is.Equal(s.Listen.SourceAddr(), nil)
	is.Equal(s.Params().Compression, config.CompressionAuto)
	s, err = Parse([]byte(minimal + "calls: {compress: \"off\"}\n"))
	is.NoErr(err)
	is.Equal(s.Params().Compression, config.CompressionOff)
	s, err = Parse([]byte(minimal + "calls: {compress: on}\n"))
	is.NoErr(err)
	is.Equal(s.Params().Compression, config.CompressionOn)
}

func TestBadSettingsNameKeyLineAndReason(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
	}{
		{"no name", "failure_domain: x\nlog: {url: u}\n", []string{"vm: required"}},
		{"unknown key", minimal + "colour: red\n", []string{"colour", "4"}},
		{"unknown key within", minimal + "control:\n  fanuot: 3\n", []string{"fanuot", "5"}},
		{"no duration", minimal + "control:\n  window: soon\n", []string{"window", "soon", "150ms"}},
		{"too short", minimal + "control:\n  window: 1us\n", []string{"line 5: control.window: must be at least 1ms"}},
		{"out of range", minimal + "control:\n  roots: 99\n", []string{"line 5: control.roots"}},
		{"silent before a heartbeat", minimal + "control:\n  silent_after: 1s\n", []string{"line 5: control.silent_after"}},
		{"no address", minimal + "listen:\n  peers: nowhere\n", []string{"line 5: listen.peers: must be IP:port"}},
		{"local not on loopback", minimal + "listen:\n  local: 10.0.0.1:1\n", []string{"listen.local", "loopback"}},
		{"no time to stop in", minimal + "bounds:\n  stop: s\n", []string{"line 5: bounds.stop", "not a duration"}},
		{"no time to stop at all", minimal + "bounds:\n  stop: 0s\n", []string{"line 5: bounds.stop: must be at least 1s"}},
		{"negative bound", minimal + "bounds:\n  in_force: -3000ms\n", []string{"line 5: bounds.in_force: must be at least 1s"}},
		{"bound without a unit", minimal + "bounds:\n  in_force: 3000\n", []string{"line 5: bounds.in_force", "150ms"}},
		{"unknown bound", minimal + "bounds:\n  contact: 3s\n", []string{"contact", "5"}},
		{"unknown part of load control", minimal + "calls:\n  load_control_off: [pace, haste]\n", []string{"line 5: calls.load_control_off", "nested-first"}},
		{"unknown compression", minimal + "calls:\n  compress: always\n", []string{"line 5: calls.compress: must be auto, on or off"}},
		{"negative drain", minimal + "calls:\n  drain: -1s\n", []string{"line 5: calls.drain"}},
		{"wrong type", minimal + "events: many\n", []string{"events", "4"}},
		{"not YAML", "vm: [", []string{"vm"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			if err == nil {
				t.Fatal("got no error")
			}
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("error %q does not contain %q", err, w)
				}
			}
		})
	}
}

// TestVMNames guards against a deployment whose daemons all fail to start because the names
// of its VMs have an unexpected form.
func TestVMNames(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"front-a-1", "Front_A:1", "10.0.0.1", strings.Repeat("long-name-", 20)} {
		s, err := Parse([]byte("vm: " + strconv.Quote(name) + "\nfailure_domain: Zone_A\nregion: EU.West\nlog: {url: u}\n"))
		is.NoErr(err)
		is.Equal(s.VM, name)
	}
	for _, name := range []string{"", "a/b", "a b", "a\tb", "-a", strings.Repeat("x", 300)} {
		_, err := Parse([]byte("vm: " + strconv.Quote(name) + "\nfailure_domain: x\nlog: {url: u}\n"))
		is.True(err != nil)
	}
}
