package callpath

import (
	"sync"
	"sync/atomic"

	"github.com/comfreygate/comfreygate/internal/admission"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// runningRequests holds the requests that are running at the upstreams of this VM, so
// that nested calls can be recognized. It is safe for concurrent use.
type runningRequests struct {
	mu       sync.Mutex
	requests map[string]*parentRequest
}

// parentRequest holds what nested calls inherit from the request that makes them.
type parentRequest struct {
	urgency  config.Urgency
	flow     string
	repeated bool
	gate     *admission.Gate
	// starved is set once one of the nested calls was refused or found no upstream.
	starved atomic.Bool
}

func newRunningRequests() *runningRequests {
	return &runningRequests{requests: map[string]*parentRequest{}}
}

func (r *runningRequests) begin(a *Attempt, g *admission.Gate) *parentRequest {
	p := &parentRequest{urgency: a.Urgency, flow: a.Flow, repeated: a.Repeated, gate: g}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[a.Request] = p
	return p
}

func (r *runningRequests) end(a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, a.Request)
}

// parent returns the request with this ID and whether it is running on this VM.
func (r *runningRequests) parent(request string) (*parentRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.requests[request]
	return p, ok
}

// inheritFromParent marks a call as nested if an upstream of this VM makes it for a
// request that the upstream is running, and lets the call inherit that request's urgency,
// flow and repeat mark. With the urgency of its own route, a nested call of a less urgent
// request could be served before one of a more urgent request.
func (in *Ingress) inheritFromParent(a *Attempt) {
	if in.cfg.Dialect.ParentRequest == nil || in.owner == nil {
		return
	}
	id := in.cfg.Dialect.ParentRequest(a.Request)
	if id == "" {
		return
	}
	if p, ok := in.owner.running.parent(id); ok {
		a.Nested = true
		a.parent = p
		a.Urgency = p.urgency
		a.Flow = p.flow
		a.Repeated = p.repeated
		a.ParentServedPermille = int(permille * p.gate.ServedFraction())
		a.WaitFraction = in.cfg.Dialect.waitFraction(a.Request)
	}
}

// recordNested marks the parent of a nested call as starved if the call's final result says
// so.
func recordNested(a *Attempt, r outcome.Result) {
	if a.parent != nil && r.Starved() {
		a.parent.starved.Store(true)
	}
}
