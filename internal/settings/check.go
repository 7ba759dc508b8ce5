package settings

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
)

// invalidSetting is a setting whose value is not allowed.
type invalidSetting struct {
	key    string
	reason string
}

func (s Settings) firstInvalid() *invalidSetting {
	for _, check := range []func() *invalidSetting{s.checkNames, s.checkAddresses, s.checkDurations, s.checkNumbers} {
		if p := check(); p != nil {
			return p
		}
	}
	return nil
}

// namePattern matches the names that a VM, a failure domain or a region may have. An
// upstream's full name is its VM's name, a slash and its own name.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,252}$`)

const nameRule = "letters, digits, dots, dashes, colons and underscores, at most 253"

func (s Settings) checkNames() *invalidSetting {
	switch {
	case !namePattern.MatchString(s.VM):
		return &invalidSetting{"vm", "required: " + nameRule}
	case !namePattern.MatchString(s.FailureDomain):
		return &invalidSetting{"failure_domain", "required: " + nameRule}
	case s.Region != "" && !namePattern.MatchString(s.Region):
		return &invalidSetting{"region", nameRule}
	case s.Log.URL == "":
		return &invalidSetting{"log.url", "required"}
	}
	switch s.Logging {
	case "debug", "info", "warn", "error":
		return nil
	}
	return &invalidSetting{"logging", "must be debug, info, warn or error"}
}

type addressSetting struct {
	key  string
	addr string
}

func (s Settings) checkAddresses() *invalidSetting {
	list := []addressSetting{
		{"listen.callers", s.Listen.Callers}, {"listen.admin", s.Listen.Admin},
		{"listen.peers", s.Listen.Peers}, {"listen.owner", s.Listen.Owner}, {"listen.local", s.Listen.Local},
	}
	for _, a := range []addressSetting{
		{"listen.advertise_peers", s.Listen.AdvertisePeers}, {"listen.advertise_owner", s.Listen.AdvertiseOwner},
	} {
		if a.addr != "" {
			list = append(list, a)
		}
	}
	if s.Platform.Enabled() {
		list = append(list,
			addressSetting{"platform.upstream", s.Platform.Upstream}, addressSetting{"platform.ready", s.Platform.Ready},
			addressSetting{"platform.heartbeats", s.Platform.Heartbeats}, addressSetting{"platform.metrics", s.Platform.Metrics})
	}
	if src := s.Listen.Source; src != "" && net.ParseIP(src) == nil {
		return &invalidSetting{"listen.source", "must be an IP address, is " + src}
	}
	for _, a := range s.Control.Peers {
		list = append(list, addressSetting{"control.peers", a})
	}
	for _, a := range list {
		host, _, err := net.SplitHostPort(a.addr)
		if err != nil || net.ParseIP(host) == nil {
			return &invalidSetting{a.key, "must be IP:port, is " + a.addr}
		}
	}
	if !IsLoopback(s.Listen.Local) {
		return &invalidSetting{"listen.local", "must be a loopback address"}
	}
	return nil
}

// IsLoopback reports whether an IP:port has a loopback address.
func IsLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}

const (
	// minStopTime is the shortest stop in which callers can be sent elsewhere, running
	// calls finished and the last answers delivered.
	minStopTime = time.Second
	// minInForce is the shortest time in which a change can be read and distributed to
	// every daemon: two reads of a store that has failed to notify its readers.
	minInForce = time.Second
	// minRevoke is the shortest time in which the freshness of a configuration can be
	// passed down a tree of three levels, with one heartbeat per level.
	minRevoke = 2 * time.Second
)

type durationSetting struct {
	key   string
	value Duration
	min   time.Duration
}

func (s Settings) checkDurations() *invalidSetting {
	c, l := s.Control, s.Calls
	for _, n := range []durationSetting{
		{"log.timeout", s.Log.Timeout, time.Millisecond},
		{"log.retention", s.Log.Retention, 10 * time.Second},
		{"bounds.stop", s.Bounds.Stop, minStopTime},
		{"bounds.in_force", s.Bounds.InForce, minInForce},
		{"bounds.revoke", s.Bounds.Revoke, 0},
		{"bounds.limit_window", s.Bounds.LimitWindow, time.Second},
		{"control.window", c.Window, time.Millisecond},
		{"control.heartbeat", c.Heartbeat, 50 * time.Millisecond},
		{"control.silent_after", c.SilentAfter, 2*time.Duration(c.Heartbeat) + 1},
		{"control.renew", c.Renew, 500 * time.Millisecond},
		{"control.lapse", c.Lapse, 2*time.Duration(c.Renew) + 1},
		{"control.upstream_lapse", c.UpstreamLapse, 100 * time.Millisecond},
		{"control.announcement_delay", c.AnnouncementDelay, 0},
		{"control.grace", c.Grace, 100 * time.Millisecond},
		{"control.probe", c.Probe, time.Second},
		{"calls.connect_timeout", l.ConnectTimeout, time.Millisecond},
		{"calls.upstream_idle", l.UpstreamIdle, time.Millisecond},
		{"calls.inquire_after", l.InquireAfter, 10 * time.Millisecond},
		{"calls.drain", l.Drain, 0},
	} {
		if time.Duration(n.value) < n.min {
			return &invalidSetting{n.key, "must be at least " + n.min.String() + ", is " + time.Duration(n.value).String()}
		}
	}
	return nil
}

func (s Settings) checkNumbers() *invalidSetting {
	switch {
	case s.Bounds.LimitPart < 0 || s.Bounds.LimitPart > 1:
		return &invalidSetting{"bounds.limit_part", "must be between 0 and 1"}
	case s.Bounds.LimitCalls < 0 || s.Bounds.LimitCalls > 1e6:
		return &invalidSetting{"bounds.limit_calls", "must be between 0 and 1000000"}
	case s.Bounds.Revoke != 0 && time.Duration(s.Bounds.Revoke) < minRevoke:
		return &invalidSetting{"bounds.revoke", "must be 0 or at least " + minRevoke.String()}
	case s.Bounds.Exposure <= 0 || s.Bounds.Exposure > 1:
		return &invalidSetting{"bounds.exposure", "must be above 0 and at most 1"}
	case s.Control.Fanout < 2 || s.Control.Fanout > 64:
		return &invalidSetting{"control.fanout", "must be between 2 and 64"}
	case s.Control.Roots < 1 || s.Control.Roots > 8:
		return &invalidSetting{"control.roots", "must be between 1 and 8"}
	case s.Control.MaxLinks < 4*s.Control.Fanout:
		return &invalidSetting{"control.max_links", "must be at least four times control.fanout"}
	case s.Control.SnapshotsPerSecond < 1:
		return &invalidSetting{"control.snapshots_per_second", "must be at least 1"}
	case s.Calls.MaxBody < 0 || s.Calls.MaxHeader < 1024:
		return &invalidSetting{"calls.max_header", "calls.max_body must be at least 0 and calls.max_header at least 1024"}
	case s.Calls.MaxResponse < 0:
		return &invalidSetting{"calls.max_response", "must be at least 0"}
	case s.Calls.QueueFactor < 0 || s.Calls.QueueFactor > 100:
		return &invalidSetting{"calls.queue_factor", "must be between 0 and 100"}
	case s.Calls.RetryRatio < 0 || s.Calls.RetryRatio > 1:
		return &invalidSetting{"calls.retry_ratio", "must be between 0 and 1"}
	case s.Calls.RetryBurst < 0 || s.Calls.RetryBurst > 10_000:
		return &invalidSetting{"calls.retry_burst", "must be between 0 and 10000"}
	case s.Calls.CrossDomainCost < 0 || s.Calls.CrossDomainCost > 1e6:
		return &invalidSetting{"calls.cross_domain_cost", "must be between 0 and 1000000"}
	case s.Calls.LinkMbps < 0 || s.Calls.LinkMbps > 1e6:
		return &invalidSetting{"calls.link_mbps", "must be between 0 and 1000000"}
	case !s.Calls.LoadControl.Valid():
		return &invalidSetting{"calls.load_control", "must be auto, on or off"}
	case slices.ContainsFunc(s.Calls.DisabledParts, func(p config.LoadControlPart) bool { return !p.Valid() }):
		return &invalidSetting{"calls.load_control_off", fmt.Sprintf("must be a list of parts of load control: %s", config.LoadControlParts)}
	case !s.Calls.Compress.Valid():
		return &invalidSetting{"calls.compress", "must be auto, on or off"}
	case s.GCPercent < 10 || s.GCPercent > 10_000:
		return &invalidSetting{"gc_percent", "must be between 10 and 10000"}
	case s.MemoryMB < 32:
		return &invalidSetting{"memory_mb", "must be at least 32"}
	case s.MaxDescriptors != 0 && s.MaxDescriptors < 64:
		return &invalidSetting{"max_descriptors", "must be 0 or at least 64"}
	case s.MaxEvents < 16:
		return &invalidSetting{"events", "must be at least 16"}
	}
	return nil
}
