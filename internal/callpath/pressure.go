package callpath

import (
	"math"
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/pressure"
	"github.com/comfreygate/comfreygate/internal/view"
)

// recordRefusedCall records that a call was finally refused for lack of a resource. The place
// is the failure domain of this daemon: no upstream within its reach had room.
func (in *Ingress) recordRefusedCall(c *call, r outcome.Result) {
	resource, ok := pressure.ResourceOf(r.Reason)
	if !ok || r.Outcome != outcome.NotRun || c.service == nil {
		return
	}
	name := c.service.Name
	if resource == pressure.Limit {
		name = c.attempt.Workspace
	}
	in.cfg.Pressure.Refused(pressure.Key{Resource: resource, Name: name, Where: in.cfg.Domain}, c.attempt.Urgency)
}

// longWaitDivisor divides the objective of a call to give the wait from which on a resource
// counts as scarce.
const longWaitDivisor = 2

// recordAttemptPressure records an attempt that was refused for lack of a resource, and the
// waits that its owner reported. The place is the VM of the owner.
func (in *Ingress) recordAttemptPressure(c *call, u view.Upstream, r outcome.Result) {
	key := pressure.Key{Name: u.Service, Where: u.Domain + "/" + u.Daemon}
	if resource, ok := pressure.ResourceOf(r.Reason); ok && r.Outcome == outcome.NotRun {
		key.Resource = resource
		in.cfg.Pressure.Refused(key, c.attempt.Urgency)
	}
	if !r.HasLoad {
		return
	}
	longWait := objectiveOf(c.route.Policy) / longWaitDivisor
	key.Resource = pressure.Slots
	in.cfg.Pressure.Waited(key, queueWait(r.Load), longWait)
	key.Resource = pressure.Link
	if !c.attempt.usesLink() {
		longWait = math.MaxInt64 // this call does not wait for the link
	}
	in.cfg.Pressure.Waited(key, max(r.Load.Egress, r.Load.Intake), longWait)
}

// usesLink reports whether the attempt has a long body, or is expected to have a long response,
// which wait for the link of the upstream's VM.
func (a *Attempt) usesLink() bool {
	return a.Body.Len() >= outcome.LongBody || a.AnswerBytes > 0
}

// queueWait returns the expected wait of an attempt that joins the end of an upstream's queue.
func queueWait(l outcome.Load) time.Duration {
	return time.Duration(l.Queued) * l.Service / time.Duration(max(1, l.Slots))
}
