package config

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
