// Package config is the configuration that operators publish: its entities,
// the change sets that alter it, and the deterministic state machine that
// turns the platform's log into one configuration on every daemon.
package config

import (
	"slices"
	"strconv"
	"time"
)

// Urgency orders calls when an upstream cannot run all of them.
type Urgency int

// Urgencies, the least urgent first. The zero value is not valid in a policy.
// The language names three; documents may use all up to MostUrgent.
const (
	Background Urgency = iota + 1
	Normal
	Critical
	// MostUrgent bounds the levels, so that tables by urgency stay small.
	MostUrgent Urgency = 16
)

// urgencyNames maps the words of the language and of YAML to urgencies.
var urgencyNames = map[string]Urgency{
	"background": Background,
	"normal":     Normal,
	"critical":   Critical,
}

// ParseUrgency returns the urgency of that name, and false if there is none.
func ParseUrgency(name string) (Urgency, bool) {
	u, ok := urgencyNames[name]
	return u, ok
}

// String returns the word used in the language and in YAML.
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

// Service is a named group of upstreams. Upstreams announce themselves under
// the service's name; the configuration never lists them.
type Service struct {
	Name string `json:"name"`
	// Ramp is the time over which a new upstream grows from one slot to all
	// of its slots. Zero: at once.
	Ramp time.Duration `json:"ramp,omitempty"`
	// Connections bounds the connections to one upstream. Zero: what the
	// upstream announces.
	Connections int `json:"connections,omitempty"`
}

// Policy says how urgently and how patiently a route's calls are carried.
type Policy struct {
	Name    string  `json:"name"`
	Urgency Urgency `json:"urgency"`
	// Timeout bounds a call from its arrival at the ingress daemon.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time within which an answer is worth its full value;
	// zero: the policy has none.
	Objective time.Duration `json:"objective,omitempty"`
	// Retries is the most further upstreams one call may reach.
	Retries int `json:"retries"`
	// Repeatable lists the methods that may run more than once. A call of any
	// other method is sent again only when it is known not to have run.
	Repeatable []string `json:"repeatable,omitempty"`
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

// Caller is somebody who may send calls.
type Caller struct {
	Name string `json:"name"`
	// KeyHash is the SHA-256 of the caller's key in hexadecimal. Empty: the
	// name alone is believed, for networks that authenticate by themselves.
	KeyHash string `json:"key_hash,omitempty"`
}

// Route lets callers reach a service under a path.
type Route struct {
	Name string `json:"name"`
	// Host restricts the route to requests for it. Empty: any host.
	Host string `json:"host,omitempty"`
	// Path is a prefix that ends at a "/" or at the end of a request's path.
	// One that itself ends with "/" does not cover the path without it.
	Path string `json:"path"`
	// Service is where calls go, or empty if Shares divides them.
	Service string  `json:"service"`
	Shares  []Share `json:"shares,omitempty"`
	Policy  string  `json:"policy"`
	// Callers are those who may use the route. Open: anybody may.
	Callers []string `json:"callers"`
	Open    bool     `json:"open,omitempty"`
	// Public says that calls need no workspace's key.
	Public bool `json:"public,omitempty"`
}

// Share is a service's part of a route's calls.
type Share struct {
	Service string `json:"service"`
	// Weight is the part, in relation to the sum of the route's weights. Zero: no calls.
	Weight int `json:"weight"`
}

// Targets returns the services of the route with their weights.
func (r Route) Targets() []Share {
	if len(r.Shares) > 0 || r.Service == "" {
		return r.Shares
	}
	return []Share{{Service: r.Service, Weight: 1}}
}

// servable reports whether calls of the route have anywhere to go.
func (r Route) servable() bool {
	return slices.ContainsFunc(r.Targets(), func(s Share) bool { return s.Weight > 0 })
}

// Limits bound what a caller may send. Zero: the daemon's own settings hold.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request.
	HeaderBytes int64 `json:"header_bytes,omitempty"`
	BodyBytes   int64 `json:"body_bytes,omitempty"`
	// HeaderTimeout bounds the sending of a request's headers, IdleTimeout
	// the time between two requests on a connection.
	HeaderTimeout time.Duration `json:"header_timeout,omitempty"`
	IdleTimeout   time.Duration `json:"idle_timeout,omitempty"`
}

// Kind names a table of entities.
type Kind string

// The kinds of entity that a change set can name.
const (
	KindService Kind = "service"
	KindPolicy  Kind = "policy"
	KindCaller  Kind = "caller"
	KindRoute   Kind = "route"
	// KindWorkspace names a Workspace.
	KindWorkspace Kind = "workspace"
)

// Ref names one entity.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the entity as it is written in the language.
func (r Ref) String() string { return string(r.Kind) + " " + r.Name }
