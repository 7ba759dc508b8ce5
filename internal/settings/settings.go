// Package settings reads a daemon's settings from YAML. Unknown keys and invalid values
// are rejected with the key, the line and the reason.
package settings

import (
	"net"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/quota"
	"github.com/comfreygate/comfreygate/internal/table"
)

// Settings are all settings with which a daemon starts.
type Settings struct {
	// VM is the name of this VM. Required; unique among all VMs.
	VM string `yaml:"vm"`
	// FailureDomain is the name of the failure domain of this VM. Required.
	FailureDomain string `yaml:"failure_domain"`
	// FailureDomains are all failure domains of the deployment. The limits of workspaces
	// are divided among them. Default: those in which daemons are known.
	FailureDomains []string `yaml:"failure_domains"`
	// Region is the name of the failure domain's region. Default: none.
	Region  string  `yaml:"region"`
	Listen  Listen  `yaml:"listen"`
	Log     Log     `yaml:"log"`
	Bounds  Bounds  `yaml:"bounds"`
	Control Control `yaml:"control"`
	Calls   Calls   `yaml:"calls"`
	Admin   Admin   `yaml:"admin"`
	// Platform is set where the platform runs this daemon.
	Platform Platform `yaml:"platform"`
	// Logging is the lowest level that is logged: debug, info, warn or error. Default:
	// info.
	Logging string `yaml:"logging"`
	// GCPercent is the garbage collector's target, as in GOGC: the garbage that may
	// accumulate as a percentage of the live heap. 400 keeps the collector's pauses out of
	// the 99th percentile of the latency; 100 needs half of the memory and a seventh more
	// processor time. Default: 400.
	GCPercent int `yaml:"gc_percent"`
	// MemoryMB is the memory that the VM gives this process, in MB. Half of it is for the bodies of
	// requests and responses on their way through the daemon, and at least enough for one body of
	// calls.max_body. A request whose body finds no memory is refused with 503 and not run, and bodies
	// and answers that make no progress give way. Default: 128.
	MemoryMB int `yaml:"memory_mb"`
	// MaxDescriptors is how many file descriptors the VM gives this process; zero: as the operating
	// system limits it. A third of them is for connections of callers: for one more, the one on which
	// nothing has happened for the longest time is closed, and while all have calls in flight it waits for
	// up to a second. Default: 0.
	MaxDescriptors int `yaml:"max_descriptors"`
	// MaxEvents is how many events are kept for the timeline. Default: 4096.
	MaxEvents int `yaml:"events"`
}

// Listen holds the addresses of the listeners, as IP:port. Port 0 selects a free port.
type Listen struct {
	// Callers accepts calls from callers. Default: 127.0.0.1:8080.
	Callers string `yaml:"callers"`
	// Admin serves the administration API. Default: 127.0.0.1:8081.
	Admin string `yaml:"admin"`
	// Peers accepts control connections from other daemons. Default: 127.0.0.1:8082.
	Peers string `yaml:"peers"`
	// Owner accepts attempts and inquiries from other daemons, for the upstreams on this
	// VM. Default: 127.0.0.1:8083.
	Owner string `yaml:"owner"`
	// Local accepts the announcements of this VM's upstreams; it must be a loopback
	// address. Default: 127.0.0.1:8084.
	Local string `yaml:"local"`
	// Source is the local IP address of connections to other daemons and to the log.
	// Default: chosen by the system.
	Source string `yaml:"source"`
	// AdvertisePeers and AdvertiseOwner are the addresses announced to other daemons,
	// where they differ from listen.peers and listen.owner.
	AdvertisePeers string `yaml:"advertise_peers"`
	AdvertiseOwner string `yaml:"advertise_owner"`
}

// Platform configures the interfaces to the platform that runs this daemon. Without an
// upstream, only the product's own interfaces are served.
type Platform struct {
	// Upstream is the address of the upstream on this VM, as IP:port.
	Upstream string `yaml:"upstream"`
	// Service is the name under which upstreams know the callers on this VM.
	Service string `yaml:"service"`
	// Ready answers readiness checks; Heartbeats receives the upstream's heartbeats.
	Ready      string `yaml:"ready"`
	Heartbeats string `yaml:"heartbeats"`
	// Metrics serves counters and latencies as text.
	Metrics string `yaml:"metrics"`
}

// Enabled reports whether the platform runs this daemon.
func (p Platform) Enabled() bool { return p.Upstream != "" }

// SourceAddr returns the local address for outgoing connections, or nil for any.
func (l Listen) SourceAddr() net.Addr {
	if l.Source == "" {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(l.Source)}
}

// Log configures the access to the platform's log.
type Log struct {
	// URL is the address of the log service. Required.
	URL string `yaml:"url"`
	// Timeout bounds one operation on the log. Default: 2s.
	Timeout Duration `yaml:"timeout"`
	// Retention is how long the log keeps records. Four checkpoints are appended in that
	// time. Default: 24h.
	Retention Duration `yaml:"retention"`
}

// Bounds are the limits that the deployment sets for a daemon. Internal timeouts that
// depend on them are derived from them.
type Bounds struct {
	// Stop is the time after SIGTERM at which a process is killed. Default: 60s.
	Stop Duration `yaml:"stop"`
	// InForce is the time within which an accepted configuration must be in force on every
	// daemon. Default: 15s.
	InForce Duration `yaml:"in_force"`
	// Revoke is the time within which a removed key stops admitting calls, also at
	// partitioned daemons: these then refuse calls that need a key. Default: 0, no bound
	// for partitioned daemons; on all others the removal is in force within in_force.
	Revoke Duration `yaml:"revoke"`
	// LimitWindow, LimitPart and LimitCalls define by how much the limits of workspaces
	// may be exceeded: in each window by this fraction of the calls that they allow in it, and
	// by this number of calls. Default: 5s, 0.1 and 0.
	LimitWindow Duration `yaml:"limit_window"`
	LimitPart   float64  `yaml:"limit_part"`
	LimitCalls  float64  `yaml:"limit_calls"`
	// Exposure is the fraction of a service's calls that a bad version may get during its
	// rollout. Default: 0.1.
	Exposure float64 `yaml:"exposure"`
}

// Tolerance returns by how much the limits of workspaces may be exceeded.
func (b Bounds) Tolerance() quota.Tolerance {
	return quota.Tolerance{Window: time.Duration(b.LimitWindow), Fraction: b.LimitPart, Calls: b.LimitCalls}
}

// Control configures the distribution of configuration and membership.
type Control struct {
	// Peers are addresses of some other daemons (their listen.peers). Default: none; other
	// daemons are then found through the log.
	Peers []string `yaml:"peers"`
	// Window is how long changes are batched before they are passed on. 20ms converges
	// fastest, 1s sends the fewest bytes. Default: 100ms.
	Window Duration `yaml:"window"`
	// Fanout is the maximum number of children of a daemon in the distribution tree.
	// Default: 8.
	Fanout int `yaml:"fanout"`
	// Roots is the number of roots of the distribution tree in each failure domain: the
	// daemons that read the log. Default: 2.
	Roots int `yaml:"roots"`
	// Heartbeat is the interval of heartbeats on a control connection. Default: 2s.
	Heartbeat Duration `yaml:"heartbeat"`
	// SilentAfter is how long a connection may be silent in one direction before it is
	// closed. It must be above twice the heartbeat. Default: 7s.
	SilentAfter Duration `yaml:"silent_after"`
	// Renew is the interval at which a daemon renews its membership record. Default: 60s.
	Renew Duration `yaml:"renew"`
	// Lapse is the time without a renewal after which a daemon is no longer a member. It
	// must be above twice renew. Default: 180s.
	Lapse Duration `yaml:"lapse"`
	// UpstreamLapse is the time without an announcement after which an upstream is
	// removed. Default: 3s.
	UpstreamLapse Duration `yaml:"upstream_lapse"`
	// AnnouncementDelay is the longest time by which an upstream's numbered announcement may
	// be delayed. A daemon that has been running for less time uses an upstream only once
	// others confirm that it has not left before the daemon was started. 0: none is delayed.
	// Default: 10s.
	AnnouncementDelay Duration `yaml:"announcement_delay"`
	// Grace is how long a starting daemon waits for its first peer. Default: 3s.
	Grace Duration `yaml:"grace"`
	// Probe is the interval at which state is compared with a random daemon. Default: 60s.
	Probe Duration `yaml:"probe"`
	// MaxLinks limits the control connections that are accepted. Default: 64.
	MaxLinks int `yaml:"max_links"`
	// SnapshotsPerSecond limits the rate of snapshots sent. Default: 20.
	SnapshotsPerSecond int `yaml:"snapshots_per_second"`
}

// Calls configures the call path.
type Calls struct {
	// MaxBody bounds a request's body, in bytes. Default: 1048576.
	MaxBody int64 `yaml:"max_body"`
	// MaxHeader bounds the headers of a request and of an upstream's response, in bytes.
	// Default: 65536.
	MaxHeader int `yaml:"max_header"`
	// MaxResponse bounds the body of an upstream's response, in bytes; zero: unlimited.
	// Default: 1073741824.
	MaxResponse int64 `yaml:"max_response"`
	// QueueFactor is the length of an upstream's queue as a multiple of its slots.
	// Default: 1.
	QueueFactor float64 `yaml:"queue_factor"`
	// ConnectTimeout bounds the opening of a connection. Default: 500ms.
	ConnectTimeout Duration `yaml:"connect_timeout"`
	// UpstreamIdle is how long an idle connection to an upstream is kept. It must be
	// shorter than the upstream's own idle timeout. Default: 20s.
	UpstreamIdle Duration `yaml:"upstream_idle"`
	// InquireAfter is the time after which an inquiry about an unanswered attempt is sent
	// to its owner over a new connection. Default: 1s.
	InquireAfter Duration `yaml:"inquire_after"`
	// RetryRatio is how many retries per call a service may get, from all daemons
	// together. Default: 0.1.
	RetryRatio float64 `yaml:"retry_ratio"`
	// RetryBurst limits the unused retries that accumulate for a service. Default: 50.
	RetryBurst float64 `yaml:"retry_burst"`
	// CrossDomainCost is the cost of a megabyte sent between failure domains, as a
	// multiple of a call's worth. A call leaves its failure domain only if the time gained
	// is worth more. Default: 40.
	CrossDomainCost float64 `yaml:"cross_domain_cost"`
	// LinkMbps is the bandwidth of this VM's link, in Mbit/s. Long bodies from other VMs
	// are accepted, and long responses to them sent, no faster than a part of it. Default:
	// 0, no limit.
	LinkMbps float64 `yaml:"link_mbps"`
	// LoadControl says when load control is in force: auto, on or off. It covers nested
	// calls, workspaces' limits and the pace of upstreams. Default: auto, which is where the
	// configuration has a workspace with a limit or a policy with large answers.
	LoadControl config.LoadControl `yaml:"load_control"`
	// DisabledParts lists the parts of load control that are not in force: nested-first,
	// run-limits, returning-calls, pace, cross-domain-cost, futile-retries. Default: none.
	DisabledParts []config.LoadControlPart `yaml:"load_control_off"`
	// Compress says when calls to other failure domains are compressed: auto, on or off.
	// Calls to daemons that do not accept compressed connections never are. Default: auto,
	// which is where load control is in force.
	Compress config.Compression `yaml:"compress"`
	// Drain is how long callers take to notice that a daemon is stopping. A stopping
	// daemon keeps accepting calls for this long, but no longer than 0.4 of bounds.stop.
	// Default: 2500ms, which is two readiness checks one second apart, and half a second
	// for callers that have just checked.
	Drain Duration `yaml:"drain"`
}

// Admin configures the administration API.
type Admin struct {
	// TokenFile holds the operators' bearer token. The environment variable COMFREY_TOKEN
	// takes precedence. Without either, listen.admin must be a loopback address. Default:
	// none.
	TokenFile string `yaml:"token_file"`
}

// Duration is a time.Duration that is written like 150ms or 2m.
type Duration time.Duration

// UnmarshalYAML parses the duration. Its error names the line and the key.
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

// MarshalYAML formats the duration.
func (d Duration) MarshalYAML() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// checkpointsPerRetention is how many times the state is written to the log within the
// log's retention.
const checkpointsPerRetention = 4

// Default returns the settings that apply where a file sets no value.
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
			AnnouncementDelay: Duration(p.AnnouncementDelay), Grace: Duration(p.Grace), Probe: Duration(p.Probe), MaxLinks: p.MaxLinks,
			SnapshotsPerSecond: p.SnapshotsPerSecond,
		},
		Calls: Calls{
			MaxBody: 1 << 20, MaxHeader: 1 << 16, MaxResponse: 1 << 30, QueueFactor: 1,
			ConnectTimeout: Duration(500 * time.Millisecond), UpstreamIdle: Duration(20 * time.Second),
			InquireAfter: Duration(time.Second), RetryRatio: 0.1, RetryBurst: 50, CrossDomainCost: 40, LoadControl: config.LoadControlAuto, Compress: config.CompressionAuto,
			Drain: Duration(2500 * time.Millisecond),
		},
		Logging: "info", GCPercent: 400, MemoryMB: 128,
		MaxEvents: 4096,
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
	if p := s.firstInvalid(); p != nil {
		return s, errors.Errorf("line %d: %s: %s", lineOf(b, p.key), p.key, p.reason)
	}
	return s, nil
}

// Params returns the parameters of the control systems.
func (s Settings) Params() table.Params {
	c := s.Control
	return table.Params{
		Window: time.Duration(c.Window), Fanout: c.Fanout, Roots: c.Roots,
		Heartbeat: time.Duration(c.Heartbeat), SilentAfter: time.Duration(c.SilentAfter),
		Renew: time.Duration(c.Renew), Lapse: time.Duration(c.Lapse),
		UpstreamLapse: time.Duration(c.UpstreamLapse), AnnouncementDelay: time.Duration(c.AnnouncementDelay), Grace: time.Duration(c.Grace),
		MaxLinks: c.MaxLinks, SnapshotsPerSecond: c.SnapshotsPerSecond,
		Probe: time.Duration(c.Probe), Checkpoint: time.Duration(s.Log.Retention) / checkpointsPerRetention,
		Seeds: c.Peers, Domains: len(s.FailureDomains),
		InForce: time.Duration(s.Bounds.InForce), Revoke: time.Duration(s.Bounds.Revoke), Exposure: s.Bounds.Exposure,
		LoadControl: s.Calls.LoadControl, DisabledParts: s.Calls.DisabledParts, Compression: s.Calls.Compress,
	}
}
