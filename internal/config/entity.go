// Package config defines the configuration that operators publish: its entities, the
// change sets that modify it, and the deterministic state machine that turns the
// platform's log into the same configuration on every daemon.
package config

import (
	"slices"
	"strconv"
	"time"
)

// Urgency is the priority of a call when an upstream cannot run all of them.
type Urgency int

// Urgency levels, the least urgent first. The zero value is not valid in a policy. The
// command language names three; documents may use all levels up to MostUrgent.
const (
	Background Urgency = iota + 1
	Normal
	Critical
	// MostUrgent is the highest level. The bound keeps tables indexed by urgency small.
	MostUrgent Urgency = 16
)

// urgencyNames maps the names used in the command language and in YAML to urgencies.
var urgencyNames = map[string]Urgency{
	"background": Background,
	"normal":     Normal,
	"critical":   Critical,
}

// ParseUrgency returns the urgency with this name, and false if there is none.
func ParseUrgency(name string) (Urgency, bool) {
	u, ok := urgencyNames[name]
	return u, ok
}

// String returns the name used in the command language and in YAML.
func (u Urgency) String() string {
	for name, v := range urgencyNames {
		if v == u {
			return name
		}
	}
	if u < Background || u > MostUrgent {
		return "invalid"
	}
	return "level-" + strconv.Itoa(int(u))
}

// Service is a named group of upstreams. Upstreams announce themselves under the service's
// name; the configuration does not list them.
type Service struct {
	Name string `json:"name"`
	// Ramp is the time over which a new upstream grows from one slot to all of its slots.
	// Zero: it has all of them at once.
	Ramp time.Duration `json:"ramp,omitempty"`
	// Connections limits the connections to one upstream. Zero: the number that the
	// upstream announces.
	Connections int `json:"connections,omitempty"`
	// HealthPath is the path at which upstreams answer health checks, or "" if they do not.
	// It is not part of a state's digest: builds that do not know the field compute the same
	// one. In a state that such a build has passed on it is missing until the next version.
	HealthPath string `json:"health_path,omitempty"`
}

// Policy sets the urgency, timeout, latency objective and retries of a route's calls.
type Policy struct {
	Name    string  `json:"name"`
	Urgency Urgency `json:"urgency"`
	// Timeout bounds a call, measured from its arrival at the ingress daemon.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency within which an answer has its full value. Zero: the policy
	// has no objective.
	Objective time.Duration `json:"objective,omitempty"`
	// Retries is the maximum number of further upstreams to which a call may be sent.
	Retries int `json:"retries"`
	// Repeatable lists the methods that may run more than once. A call of any other method
	// is retried only when it is known not to have run.
	Repeatable []string `json:"repeatable,omitempty"`
	// LargeAnswers is set if the answers are expected to be large. It is not part of a
	// state's digest: builds that do not know the field compute the same one. A state in
	// which such a build dropped it is replaced, see State.Restores.
	LargeAnswers bool `json:"large_answers,omitempty"`
}

// MayRepeat reports whether calls of this method may run more than once.
func (p Policy) MayRepeat(method string) bool {
	for _, m := range p.Repeatable {
		if m == method {
			return true
		}
	}
	return false
}

// Caller is a client that may send calls.
type Caller struct {
	Name string `json:"name"`
	// KeyHash is the SHA-256 of the caller's key in hexadecimal. Empty: the name alone
	// identifies the caller, for networks that authenticate callers themselves.
	KeyHash string `json:"key_hash,omitempty"`
}

// Route makes a service available to callers under a path.
type Route struct {
	Name string `json:"name"`
	// Host restricts the route to requests for it. Empty: any host.
	Host string `json:"host,omitempty"`
	// Path is a prefix that ends at a "/" or at the end of a request's path. A Path that
	// itself ends with "/" does not match the path without the slash.
	Path string `json:"path"`
	// Service receives the calls. It is empty if Shares divides them among services.
	Service string  `json:"service"`
	Shares  []Share `json:"shares,omitempty"`
	Policy  string  `json:"policy"`
	// Callers are the callers that may use the route. With Open, any caller may.
	Callers []string `json:"callers"`
	Open    bool     `json:"open,omitempty"`
	// Public routes need no workspace key.
	Public bool `json:"public,omitempty"`
}

// Share is the part of a route's calls that a service receives.
type Share struct {
	Service string `json:"service"`
	// Weight is relative to the sum of the route's weights. Zero: the service gets no
	// calls.
	Weight int `json:"weight"`
}

// Targets returns the services of the route with their weights.
func (r Route) Targets() []Share {
	if len(r.Shares) > 0 || r.Service == "" {
		return r.Shares
	}
	return []Share{{Service: r.Service, Weight: 1}}
}

// hasWeightedTarget reports whether a target has a weight above zero, so that the route's
// calls can be served.
func (r Route) hasWeightedTarget() bool {
	return slices.ContainsFunc(r.Targets(), func(s Share) bool { return s.Weight > 0 })
}

// Limits bound what a caller may send. Where a value is zero, the daemon's own setting
// applies.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of a request.
	HeaderBytes int64 `json:"header_bytes,omitempty"`
	BodyBytes   int64 `json:"body_bytes,omitempty"`
	// HeaderTimeout bounds the time for sending a request's headers, IdleTimeout the time
	// between two requests on a connection.
	HeaderTimeout time.Duration `json:"header_timeout,omitempty"`
	IdleTimeout   time.Duration `json:"idle_timeout,omitempty"`
}

// Kind is the type of an entity.
type Kind string

// Kinds of entity that a change set can contain.
const (
	KindService   Kind = "service"
	KindPolicy    Kind = "policy"
	KindCaller    Kind = "caller"
	KindRoute     Kind = "route"
	KindWorkspace Kind = "workspace"
)

// Ref identifies an entity.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the reference as it is written in the command language.
func (r Ref) String() string { return string(r.Kind) + " " + r.Name }
