// Package settings reads a daemon's settings from YAML. Unknown keys and bad
// values are refused with the key, the line and the reason.
package settings

import (
	"net"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/quota"
	"github.com/comfreygate/comfreygate/internal/table"
)

// Settings are everything a daemon is told at its start.
type Settings struct {
	// VM names this machine. Required; unique over all VMs.
	VM string `yaml:"vm"`
	// FailureDomain names the failure domain this VM is in. Required.
	FailureDomain string `yaml:"failure_domain"`
	// FailureDomains are all that the deployment has. Limits of workspaces are divided among
	// them. Default: those that daemons are known in.
	FailureDomains []string `yaml:"failure_domains"`
	// Region names the region of the failure domain. Default: none.
	Region  string  `yaml:"region"`
	Listen  Listen  `yaml:"listen"`
	Log     Log     `yaml:"log"`
	Bounds  Bounds  `yaml:"bounds"`
	Control Control `yaml:"control"`
	Calls   Calls   `yaml:"calls"`
	Admin   Admin   `yaml:"admin"`
	// Platform is set where the users' platform runs this daemon.
	Platform Platform `yaml:"platform"`
	// Logging is the least level that is logged: debug, info, warn or error.
	// Default: info.
	Logging string `yaml:"logging"`
	// GCPercent is the garbage collector's target: how much garbage may come
	// up as a part of what is alive. 400 keeps its pauses out of the 99th
	// percentile of the latency; 100 takes half of the memory and a seventh
	// more processor time. Default: 400.
	GCPercent int `yaml:"gc_percent"`
	// Events is how many events are kept for the time line. Default: 4096.
	Events int `yaml:"events"`
}

// Listen holds the addresses of the listeners, as IP:port. Port 0 takes a
// free one.
type Listen struct {
	// Callers take calls in. Default: 127.0.0.1:8080.
	Callers string `yaml:"callers"`
	// Admin serves the administration API. Default: 127.0.0.1:8081.
	Admin string `yaml:"admin"`
	// Peers takes control connections of other daemons. Default: 127.0.0.1:8082.
	Peers string `yaml:"peers"`
	// Owner takes calls of other daemons. Default: 127.0.0.1:8083.
	Owner string `yaml:"owner"`
	// Local takes the announcements of this VM's upstreams; it must be a
	// loopback address. Default: 127.0.0.1:8084.
	Local string `yaml:"local"`
	// Source is the IP that connections to other daemons and to the log come
	// from. Default: chosen by the system.
	Source string `yaml:"source"`
	// AdvertisePeers and AdvertiseOwner are the addresses told to other
	// daemons, where they differ from listen.peers and listen.owner.
	AdvertisePeers string `yaml:"advertise_peers"`
	AdvertiseOwner string `yaml:"advertise_owner"`
}

// Platform says how this daemon meets the users' platform. Without upstream
// the product's own interfaces are served alone.
type Platform struct {
	// Upstream is the address of the upstream on this VM, as IP:port.
	Upstream string `yaml:"upstream"`
	// Service is what callers on this VM are known as to upstreams.
	Service string `yaml:"service"`
	// Ready answers readiness checks; Heartbeats takes the upstream's.
	Ready      string `yaml:"ready"`
	Heartbeats string `yaml:"heartbeats"`
	// Metrics serves counters and latencies as text.
	Metrics string `yaml:"metrics"`
}

// Enabled reports whether the platform runs this daemon.
func (p Platform) Enabled() bool { return p.Upstream != "" }

// SourceAddr returns the address to open connections from, or nil for any.
func (l Listen) SourceAddr() net.Addr {
	if l.Source == "" {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(l.Source)}
}

// Log is where the platform's log is.
type Log struct {
	// URL of the log service. Required.
	URL string `yaml:"url"`
	// Timeout of an operation. Default: 2s.
	Timeout Duration `yaml:"timeout"`
	// Retention is how long the log keeps records. Checkpoints are appended
	// four times in it. Default: 24h.
	Retention Duration `yaml:"retention"`
}

// Bounds are what the deployment holds a daemon to. Lengths that depend on them
// follow from them.
type Bounds struct {
	// Stop is how long after SIGTERM a process is killed. Default: 60s.
	Stop Duration `yaml:"stop"`
	// InForce is within which an accepted configuration is to be in force
	// everywhere. Default: 15s.
	InForce Duration `yaml:"in_force"`
	// Revoke is within which a key that was taken away lets no call in any more, also at
	// daemons that are out of touch: they refuse what needs a key. Default: 0, no such
	// bound; daemons in touch keep to in_force.
	Revoke Duration `yaml:"revoke"`
	// LimitWindow, LimitPart and LimitCalls say by how much the limits of workspaces may
	// be passed: in each window by a part of what they allow there, and so many calls.
	// Default: 5s, 0.1 and 0.
	LimitWindow Duration `yaml:"limit_window"`
	LimitPart   float64  `yaml:"limit_part"`
	LimitCalls  float64  `yaml:"limit_calls"`
	// Exposure is the part of a service's calls that a bad version may get while it is
	// rolled out. Default: 0.1.
	Exposure float64 `yaml:"exposure"`
}

// Tolerance returns by how much the limits of workspaces may be passed.
func (b Bounds) Tolerance() quota.Tolerance {
	return quota.Tolerance{Window: time.Duration(b.LimitWindow), Part: b.LimitPart, Calls: b.LimitCalls}
}

// Control steers the distribution of configuration and membership.
type Control struct {
	// Peers are addresses (their listen.peers) of some other daemons.
	// Default: none; daemons are then found through the log.
	Peers []string `yaml:"peers"`
	// Window is how long changes are gathered before they are passed on.
	// 20ms converges fastest, 1s takes the fewest bytes. Default: 100ms.
	Window Duration `yaml:"window"`
	// Fanout is how many children a relay has. Default: 8.
	Fanout int `yaml:"fanout"`
	// Roots is how many daemons of a failure domain read the log. Default: 2.
	Roots int `yaml:"roots"`
	// Heartbeat is the interval of pings on a connection. Default: 2s.
	Heartbeat Duration `yaml:"heartbeat"`
	// SilentAfter is when a silent connection is given up; above twice the
	// heartbeat. Default: 7s.
	SilentAfter Duration `yaml:"silent_after"`
	// Renew is the interval at which a daemon renews its record. Default: 60s.
	Renew Duration `yaml:"renew"`
	// Lapse is when a daemon that does not renew is left out; above twice
	// renew. Default: 180s.
	Lapse Duration `yaml:"lapse"`
	// UpstreamLapse is when an upstream that does not announce itself any
	// more is gone. Default: 3s.
	UpstreamLapse Duration `yaml:"upstream_lapse"`
	// Grace is how long a starting daemon waits for its first peer. Default: 3s.
	Grace Duration `yaml:"grace"`
	// Probe is the interval of comparisons with a random daemon. Default: 60s.
	Probe Duration `yaml:"probe"`
	// MaxLinks bounds the control connections accepted. Default: 64.
	MaxLinks int `yaml:"max_links"`
	// SnapshotsPerSecond bounds the snapshots sent. Default: 20.
	SnapshotsPerSecond int `yaml:"snapshots_per_second"`
}

// Calls steers the call path.
type Calls struct {
	// MaxBody bounds a request's body, in bytes. Default: 1048576.
	MaxBody int64 `yaml:"max_body"`
	// MaxHeader bounds a request's headers, in bytes. Default: 65536.
	MaxHeader int `yaml:"max_header"`
	// QueueFactor is an upstream's queue as a multiple of its slots.
	// Default: 1.
	QueueFactor float64 `yaml:"queue_factor"`
	// ConnectTimeout bounds the opening of a connection. Default: 500ms.
	ConnectTimeout Duration `yaml:"connect_timeout"`
	// UpstreamIdle is how long an idle connection to an upstream is kept; it
	// must be shorter than the upstream keeps it. Default: 20s.
	UpstreamIdle Duration `yaml:"upstream_idle"`
	// InquireAfter is when the owner of an unanswered call is asked about it
	// over a fresh connection. Default: 1s.
	InquireAfter Duration `yaml:"inquire_after"`
	// RetryRatio is how many retries a call may reach a service, from all daemons
	// together. Default: 0.1.
	RetryRatio float64 `yaml:"retry_ratio"`
	// RetryBurst bounds the retries saved up for a service. Default: 50.
	RetryBurst float64 `yaml:"retry_burst"`
	// CrossDomainCost is what a megabyte between failure domains costs as a
	// multiple of a call's worth. A call leaves its failure domain only if the
	// time gained is worth more. Default: 40.
	CrossDomainCost float64 `yaml:"cross_domain_cost"`
	// LinkMbps is this VM's link, in Mbit/s. Long bodies from other VMs are
	// let in no faster than a part of it. Default: 0, no bound.
	LinkMbps float64 `yaml:"link_mbps"`
	// Drain is how long callers take to notice that a daemon leaves. A stopping
	// daemon goes on taking calls for as long, but no longer than 0.4 of
	// bounds.stop. Default: 2500ms, two readiness checks a second apart and half a
	// second for those who have just asked.
	Drain Duration `yaml:"drain"`
}

// Admin steers the administration API.
type Admin struct {
	// TokenFile holds the operators' bearer token. The environment variable
	// COMFREY_TOKEN goes first. Without either, the API answers loopback
	// clients only if listen.admin is a loopback address. Default: none.
	TokenFile string `yaml:"token_file"`
}

// Duration is a time.Duration written as in 150ms or 2m.
type Duration time.Duration

// UnmarshalYAML reads the duration. The error names the line and the key.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	v, err := time.ParseDuration(text)
	if err != nil {
		key := strings.TrimPrefix(node.GetPath(), "$.")
		return errors.Errorf("line %d: %s: %q is not a duration such as 150ms or 2m", node.GetToken().Position.Line, key, text)
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML writes the duration.
func (d Duration) MarshalYAML() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// checkpointsPerRetention is how often the state is written to the log while
// it keeps a record.
const checkpointsPerRetention = 4

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	p := table.DefaultParams()
	return Settings{
		Listen: Listen{
			Callers: "127.0.0.1:8080", Admin: "127.0.0.1:8081", Peers: "127.0.0.1:8082",
			Owner: "127.0.0.1:8083", Local: "127.0.0.1:8084",
		},
		Log:    Log{Timeout: Duration(2 * time.Second), Retention: Duration(24 * time.Hour)},
		Bounds: Bounds{Stop: Duration(time.Minute), InForce: Duration(p.InForce), LimitWindow: Duration(5 * time.Second), LimitPart: 0.1, Exposure: p.Exposure},
		Control: Control{
			Window: Duration(p.Window), Fanout: p.Fanout, Roots: p.Roots,
			Heartbeat: Duration(p.Heartbeat), SilentAfter: Duration(p.SilentAfter),
			Renew: Duration(p.Renew), Lapse: Duration(p.Lapse), UpstreamLapse: Duration(p.UpstreamLapse),
			Grace: Duration(p.Grace), Probe: Duration(p.Probe), MaxLinks: p.MaxLinks,
			SnapshotsPerSecond: p.SnapshotsPerSecond,
		},
		Calls: Calls{
			MaxBody: 1 << 20, MaxHeader: 1 << 16, QueueFactor: 1,
			ConnectTimeout: Duration(500 * time.Millisecond), UpstreamIdle: Duration(20 * time.Second),
			InquireAfter: Duration(time.Second), RetryRatio: 0.1, RetryBurst: 50, CrossDomainCost: 40,
			Drain: Duration(2500 * time.Millisecond),
		},
		Logging: "info", GCPercent: 400,
		Events: 4096,
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	s, err := Parse(b)
	return s, errors.Wrap(err, path)
}

// Parse reads and checks settings.
func Parse(b []byte) (Settings, error) {
	s := Default()
	if err := yaml.UnmarshalWithOptions(b, &s, yaml.Strict()); err != nil {
		return s, errors.Errorf("%s", yaml.FormatError(err, false, true))
	}
	if p := s.problem(); p != nil {
		return s, errors.Errorf("line %d: %s: %s", lineOf(b, p.key), p.key, p.reason)
	}
	return s, nil
}

// Params returns the settings of the control systems.
func (s Settings) Params() table.Params {
	c := s.Control
	return table.Params{
		Window: time.Duration(c.Window), Fanout: c.Fanout, Roots: c.Roots,
		Heartbeat: time.Duration(c.Heartbeat), SilentAfter: time.Duration(c.SilentAfter),
		Renew: time.Duration(c.Renew), Lapse: time.Duration(c.Lapse),
		UpstreamLapse: time.Duration(c.UpstreamLapse), Grace: time.Duration(c.Grace),
		MaxLinks: c.MaxLinks, SnapshotsPerSecond: c.SnapshotsPerSecond,
		Probe: time.Duration(c.Probe), Checkpoint: time.Duration(s.Log.Retention) / checkpointsPerRetention,
		Seeds: c.Peers, Domains: len(s.FailureDomains), InForce: time.Duration(s.Bounds.InForce), Revoke: time.Duration(s.Bounds.Revoke), Exposure: s.Bounds.Exposure,
	}
}
