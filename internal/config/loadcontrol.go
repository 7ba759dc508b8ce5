package config

import "slices"

// LoadControl says when load control is in force, which is the name of the decisions under
// load that consider more than the slots of one upstream.
type LoadControl string

// The settings of load control.
const (
	// LoadControlAuto: where the configuration has a workspace with a limit or a policy
	// with large answers, whose callers compete for more than slots.
	LoadControlAuto LoadControl = "auto"
	// LoadControlOn: always.
	LoadControlOn LoadControl = "on"
	// LoadControlOff: never.
	LoadControlOff LoadControl = "off"
)

// Valid reports whether l is one of the settings.
func (l LoadControl) Valid() bool {
	return l == LoadControlAuto || l == LoadControlOn || l == LoadControlOff
}

// InForce reports whether load control is in force under a configuration.
func (l LoadControl) InForce(c Content) bool {
	switch l {
	case LoadControlOn:
		return true
	case LoadControlOff:
		return false
	}
	return c.hasContention()
}

// hasContention reports whether callers compete for more than slots: for a limit that they
// share, or for the network links that large answers use.
func (c Content) hasContention() bool {
	for _, ws := range c.Workspaces {
		if ws.Rate > 0 {
			return true
		}
	}
	return c.countLargeAnswers() > 0
}

// LoadControlPart is a part of load control that can be switched off separately.
type LoadControlPart string

// The parts of load control.
const (
	// NestedFirst: gates admit nested calls before direct ones.
	NestedFirst LoadControlPart = "nested-first"
	// RunLimits: fewer requests of a route start while nested calls of its runs are refused.
	RunLimits LoadControlPart = "run-limits"
	// ReturningCalls: retries by callers are recognized by the time that callers usually allow,
	// and limits of workspaces admit first-time calls first.
	ReturningCalls LoadControlPart = "returning-calls"
	// Pace: waits and selection use the pace that upstreams report.
	Pace LoadControlPart = "pace"
	// CrossDomainCost: the selection of an upstream multiplies the cost of bytes to other failure
	// domains.
	CrossDomainCost LoadControlPart = "cross-domain-cost"
	// FutileRetries: calls that an owner refuses as overload with a retry-after beyond their
	// deadline are not retried.
	FutileRetries LoadControlPart = "futile-retries"
)

// LoadControlParts are all parts of load control.
var LoadControlParts = []LoadControlPart{NestedFirst, RunLimits, ReturningCalls, Pace, CrossDomainCost, FutileRetries}

// Valid reports whether p is one of the parts.
func (p LoadControlPart) Valid() bool { return slices.Contains(LoadControlParts, p) }
